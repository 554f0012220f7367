"""Decision log and metrics of the platform's gateway and control roles."""

from collections.abc import Iterator
import contextlib
import logging
import os

from wisteriawall.observability import decisions
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.observability import prometheus
from wisteriawall.platform import settings as settings_lib
from wisteriawall.web import memory_budget

__all__ = ["end_on_failure", "open_log", "open_memory", "open_metrics"]

FAILURE_EXIT_CODE = 1


@contextlib.contextmanager
def end_on_failure(log: decisions.DecisionLog) -> Iterator[None]:
    """Log an exception of the role and end the process.

    The worker threads of servers that were already opened would otherwise keep
    the process alive without serving.
    """
    try:
        yield
    except Exception:
        logging.getLogger("process").exception("process: the role failed")
        log.close()
        os._exit(FAILURE_EXIT_CODE)


def open_memory(
    settings: settings_lib.Settings,
) -> memory_budget.MemoryBudget:
    """Return the budget that all listeners of the process share."""
    memory_budget.return_large_blocks()
    return memory_budget.for_limits(
        memory_mb=settings.limits.memory_mb,
        file_descriptors=settings.limits.file_descriptors,
    )


def open_metrics(
    settings: settings_lib.Settings,
    port: int,
    memory: memory_budget.MemoryBudget,
) -> metrics_lib.Metrics:
    """Return metrics and serve them over HTTP at `port`; 0 serves none."""
    if not port:
        return metrics_lib.NullMetrics()
    served = prometheus.PrometheusMetrics(
        address=f"{settings.ip_address}:{port}", memory=memory
    )
    served.start()
    return served


def open_log(
    settings: settings_lib.Settings, program: str
) -> decisions.DecisionLog:
    """Return the decision log, and direct standard logging to it.

    Records of level INFO and above are written as lines of the decision log.
    """
    log = decisions.DecisionLog(process=f"{program}/{settings.node_name}")
    root = logging.getLogger()
    root.handlers = [decisions.DecisionLogHandler(log)]
    root.setLevel(logging.INFO)
    return log

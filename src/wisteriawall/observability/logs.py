"""Setup of `logging`: one line per record, as text or JSON."""

import enum
import logging
from typing import final

from pythonjsonlogger import json as json_logger

__all__ = ["LogFormat", "configure"]

TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


@final
class LogFormat(enum.StrEnum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


def configure(*, log_format: LogFormat, level: str) -> None:
    """Write the records of every logger to standard error.

    Args:
        log_format: Format of the lines.
        level: Lowest level that is written, such as `INFO`.
    """
    handler = logging.StreamHandler()
    if log_format is LogFormat.JSON:
        handler.setFormatter(json_logger.JsonFormatter(JSON_FIELDS))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    logging.getLogger("urllib3").setLevel(logging.WARNING)
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)

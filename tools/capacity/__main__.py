"""Write the measured slopes to docs/CAPACITY.md (`make capacity`).

With `--print`, the tables are printed only. The exit status is the number of
roles that exceed the budget of a node.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import sys

from tools.capacity import model
from tools.capacity import processes
from tools.capacity import slopes

PAGE = pathlib.Path("docs/CAPACITY.md")
BEGIN = "<!-- slopes: written by make capacity -->\n"
END = "<!-- end of slopes -->\n"


def main() -> int:
    """Measure, print the tables and write them; return the exit code."""
    measured = list(slopes.measure())
    roles = list(model.estimate_loads(measured))
    idle = processes.measure()
    table = "\n".join(
        "".join(lines)
        for lines in (
            _slope_table(measured),
            _role_table(roles),
            _idle_table(idle),
        )
    )
    sys.stdout.write(table)
    if "--print" in sys.argv:
        return _exit_code(roles)
    head, _, rest = PAGE.read_text().partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(head + BEGIN + table + END + tail)
    return _exit_code(roles)


def _exit_code(roles: Iterable[model.RoleLoad]) -> int:
    """Return how many roles exceed the budget of a node."""
    return sum(not role.within_node_budget for role in roles)


def _role_table(roles: Iterable[model.RoleLoad]) -> Iterator[str]:
    yield "| role | core | network | state |\n|---|---|---|---|\n"
    for role in roles:
        core = f"{role.core_percent:.2f}%"
        network = f"{role.bytes_per_s / 1000:,.1f} KB/s"
        state = f"{role.state_bytes / 1e6:,.2f} MB"
        yield f"| {role.name} | {core} | {network} | {state} |\n"


def _idle_table(idle: Iterable[processes.IdleProcess]) -> Iterator[str]:
    yield "| idle process | core | resident | threads |\n|---|---|---|---|\n"
    for process in idle:
        core = f"{process.core_percent:.1f}%"
        resident = f"{process.resident_bytes / 1e6:,.0f} MB"
        yield f"| {process.name} | {core} | {resident} | {process.threads} |\n"


def _slope_table(measured: Iterable[slopes.Slope]) -> Iterator[str]:
    yield "| slope | value | each | measured on |\n|---|---|---|---|\n"
    for slope in measured:
        value = f"{slope.value:,.0f} {slope.unit}"
        yield f"| {slope.name} | {value} | {slope.each} | {slope.source} |\n"


if __name__ == "__main__":
    sys.exit(main())

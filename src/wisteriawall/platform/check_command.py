"""Check of a routing table in a file, without publishing it."""

import pathlib

from wisteriawall import errors
from wisteriawall.config import check
from wisteriawall.config import table_check
from wisteriawall.operator import findings_output
from wisteriawall.platform import operators

__all__ = ["run"]


def run(
    *, file: pathlib.Path, against: pathlib.Path | None, as_json: bool
) -> None:
    """Print the findings about `file`, with differences from `against`.

    Raises:
        UsageError: A file can't be read, or `against` holds no valid table.
        typer.Exit: There are findings.
    """
    findings: list[check.Finding] = []
    source = _read(file)
    base_source = None if against is None else _read(against)
    try:
        base = (
            None if base_source is None else operators.decode_table(base_source)
        )
    except operators.TableInvalid as error:
        raise errors.UsageError(f"--against {against}: {error}") from error
    try:
        table = operators.decode_table(source)
    except operators.TableInvalid as error:
        findings += check.from_faults(error.faults)
    else:
        findings += table_check.check_table(table)
        if base is not None:
            findings += table_check.compare_tables(base, table)
    findings_output.report(str(file), findings, as_json=as_json)


def _read(file: pathlib.Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise errors.UsageError(f"{file}: {error.strerror}") from error

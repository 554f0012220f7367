"""Output of the findings of a check, and the exit code that they lead to."""

from collections.abc import Sequence

import msgspec
import typer

from wisteriawall import errors
from wisteriawall.config import check

__all__ = ["report"]


def report(
    file: str, findings: Sequence[check.Finding], *, as_json: bool
) -> None:
    """Print the findings about `file`.

    Raises:
        typer.Exit: There are findings; the exit code is 1.
    """
    if as_json:
        body = msgspec.json.encode({"file": file, "findings": findings})
        typer.echo(msgspec.json.format(body, indent=2))
    else:
        for finding in findings:
            typer.echo(
                f"{file}: {finding.severity}: {finding.place}: "
                f"{finding.message}"
            )
        plural = "" if len(findings) == 1 else "s"
        typer.echo(f"{len(findings) or 'no'} finding{plural}")
    if findings:
        raise typer.Exit(errors.ExitCode.FAILED)

"""Generate docs/reference/settings.md from the command line's options.

Run `python -m tools.settings_reference` to write the page, or with `--check`
to exit with 1 when the page is out of date.
"""

from collections.abc import Iterator
import pathlib
import sys

from typer import core
from typer import main as typer_main

from wisteriawall import cli

PAGE = pathlib.Path("docs/reference/settings.md")
HEAD = """# Settings

Generated from the command line by `make docs`. Each setting is a flag and,
where one is named, an environment variable; the flag takes precedence.
Settings are checked before anything starts: `wisteriawall check-settings
PROGRAM` runs only this check. Invalid settings exit with 2 and a line for each
fault.
"""
TABLE_HEAD = """
| setting | variable | default | meaning |
|---|---|---|---|
"""


def render() -> str:
    """Return the page as Markdown."""
    root = typer_main.get_command(cli.app)
    return HEAD + "".join(_command_lines("wisteriawall", root))


def _command_lines(name: str, command: object) -> Iterator[str]:
    if not isinstance(command, core.TyperCommand | core.TyperGroup):
        return
    if command.hidden:
        return
    yield f"\n## {name}\n\n{_first_line(command.help)}\n"
    rows = list(_option_rows(command))
    if rows:
        yield TABLE_HEAD
        yield from rows
    if isinstance(command, core.TyperGroup):
        for child in sorted(command.commands):
            yield from _command_lines(
                f"{name} {child}", command.commands[child]
            )


def _option_rows(
    command: core.TyperCommand | core.TyperGroup,
) -> Iterator[str]:
    for parameter in command.params:
        if not isinstance(parameter, core.TyperOption):
            continue
        if parameter.name in ("help", "version"):
            continue
        flag = ", ".join(f"`{text}`" for text in parameter.opts)
        variable = f"`{parameter.envvar}`" if parameter.envvar else ""
        default = "required" if parameter.required else parameter.default
        help_text = (parameter.help or "").replace("|", "\\|")
        shown = (
            f"`{default}`" if default not in ("", None, "required") else default
        )
        yield f"| {flag} | {variable} | {shown or ''} | {help_text} |\n"


def _first_line(text: str | None) -> str:
    return (text or "").split("\n", 1)[0]


def main() -> int:
    """Write or check the page; return the exit code."""
    page = render()
    if "--check" not in sys.argv:
        PAGE.write_text(page)
        return 0
    if PAGE.read_text() == page:
        return 0
    sys.stderr.write(
        f"{PAGE}: out of date with the command line; run `make docs`\n"
    )
    return 1


if __name__ == "__main__":
    sys.exit(main())

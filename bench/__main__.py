"""Run every benchmark; exit nonzero when a bound is broken."""

import pathlib
import runpy
import sys


def main() -> int:
    """Run each module of this package; return how many broke a bound."""
    folder = pathlib.Path(__file__).parent
    names = sorted(
        path.stem for path in folder.glob("*.py") if path.stem[0] != "_"
    )
    return sum(_run(f"bench.{name}") for name in names)


def _run(module: str) -> bool:
    """Run one benchmark module; return whether it broke a bound."""
    print(f"== {module}", flush=True)
    try:
        runpy.run_module(module, run_name="__main__", alter_sys=True)
    except SystemExit as exit_request:
        return bool(exit_request.code)
    return False


if __name__ == "__main__":
    sys.exit(main())

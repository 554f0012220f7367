"""Base errors of every program, and the exit code that each maps to."""

import enum
from typing import final

__all__ = ["ExitCode", "InternalError", "UsageError", "WisteriawallError"]


@final
class ExitCode(enum.IntEnum):
    """Exit codes of the process; a stable interface for scripts."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    INTERNAL = 70


class WisteriawallError(Exception):
    """Base of every error that this project raises."""

    exit_code = ExitCode.FAILED


class UsageError(WisteriawallError):
    """A setting, argument or document that the user must correct."""

    exit_code = ExitCode.USAGE


class InternalError(WisteriawallError):
    """An invariant is violated: a bug in this software, not in its input."""

    exit_code = ExitCode.INTERNAL

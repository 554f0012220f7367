"""Errors shared by every program, and the exit code each one maps to."""

import enum
from typing import final

__all__ = ["ExitCode", "InternalError", "UsageError", "WisteriawallError"]


@final
class ExitCode(enum.IntEnum):
    """Process exit codes that scripts may rely on."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    INTERNAL = 70


class WisteriawallError(Exception):
    """Base of every error raised on purpose by this project."""

    exit_code = ExitCode.FAILED


class UsageError(WisteriawallError):
    """A setting, argument or document that the user must correct."""

    exit_code = ExitCode.USAGE


class InternalError(WisteriawallError):
    """A broken invariant: a defect of this project, never of its input."""

    exit_code = ExitCode.INTERNAL

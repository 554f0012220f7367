"""What callers, runners, operators and the fleet saw during a soak.

All times are of `time.monotonic`, in seconds.
"""

import dataclasses
import enum
import threading
from typing import final

from support import duty_platform

SEAL = "x-wisteriawall-response-seal"
ATTEMPT_ID = "x-wisteriawall-attempt-id"


@final
class Kind(enum.StrEnum):
    """Kind of a caller's request."""

    LOOKUP = "lookup"
    PAYMENT = "payment"
    STREAM = "stream"
    RESUMABLE = "resumable stream"
    # A lookup on a route that may have been added or removed.
    PROBE = "probe"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self in (Kind.LOOKUP, Kind.RESUMABLE, Kind.PROBE)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer consists of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@final
class Ending(enum.StrEnum):
    """How a call ended for its caller."""

    COMPLETE = "complete answer"
    UNCONNECTED = "no connection"
    RESET = "reset"
    CLOSED = "closed within the answer"
    UNANSWERED = "closed before any byte"
    MALFORMED = "bytes that are no answer"
    LEFT = "the caller left"
    DEADLINE = "deadline"


@final
class RunEnding(enum.StrEnum):
    """How a runner ended its work on a request."""

    OPEN = "open"
    ANSWERED = "answered"
    REJECTED = "rejected"
    BROKE_OFF = "broke off"
    ABANDONED = "the gateway left"


# Attempt id and target: a caller may send an attempt id again.
CallKey = tuple[str, str]


@final
@dataclasses.dataclass(slots=True)
class Call:
    """One attempt of a caller."""

    attempt: str
    kind: Kind
    gateway: str
    connection: int
    use: int
    method: str
    target: str
    header_by_name: dict[str, str]
    body: bytes
    deadline_s: float
    started_s: float
    sent_s: float = 0.0
    first_byte_s: float = 0.0
    ended_s: float = 0.0
    ending: Ending = Ending.UNCONNECTED
    status: int = 0
    answer_header_by_name: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    answer: bytes = b""
    # Bytes that arrived while no request was waiting on the connection.
    surplus: bytes = b""
    error: str = ""

    @property
    def resumes(self) -> str:
        """Return the attempt id of the stream that is taken up, if any."""
        return self.header_by_name.get("Resumes", "")

    @property
    def key(self) -> CallKey:
        """Return what no other call has."""
        return self.attempt, self.target


@final
@dataclasses.dataclass(slots=True)
class Arrival:
    """One request at a runner."""

    attempt: str
    # Identifier of the runner's start, and name of its place.
    runner: str
    place: str
    stage: str
    service: str
    method: str
    target: str
    header_by_name: dict[str, str]
    body: bytes
    at_s: float
    # Version of the runner's software.
    version: str = ""
    has_run: bool = False
    ending: RunEnding = RunEnding.OPEN
    ended_s: float = 0.0
    # When the proxy had passed the whole answer on, or the gateway had closed;
    # infinite before, None if it isn't known or the runner broke off.
    passed_s: float | None = None
    # Whether it was passed on whole.
    is_passed: bool = False
    status: int = 0
    seal: str = ""
    # Whole body of the answer, also if only a part of it was sent.
    answer: bytes = b""
    # Number of the last event of a stream.
    last_event: int = 0
    misbehavior: str = ""
    # What the runner sent before this answer, when the request had arrived.
    preceded_by: str = ""
    # Limit that the answer named, and when.
    named_limit: float | None = None
    named_s: float = 0.0


@final
class Change(enum.StrEnum):
    """What happened to a process or a runner."""

    START = "start"
    END = "end"
    TERM = "SIGTERM"
    HUP = "SIGHUP"
    FREEZE = "SIGSTOP"
    THAW = "SIGCONT"
    KILL = "SIGKILL"
    GRACE_KILL = "SIGKILL at the end of the grace period"
    DISTURBED = "link disturbed"
    RUNNER_ENDED = "runner ended"
    # The links between two machines carry nothing.
    CUT = "links cut"
    REMOVED = "removed for good"
    DISK_LOST = "disk lost"
    # Syncs of a replica wait until `until_s`.
    DISK_STALLED = "disk stalled"


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Incident:
    """A change of a process or runner; `code` is the exit code of an end.

    `other` is the machine from which a machine is cut.
    """

    name: str
    change: Change
    at_s: float
    pid: int = 0
    code: int = 0
    until_s: float = 0.0
    other: str = ""


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Try:
    """One try to send a configuration; without an answer, the status is 0.

    `replica` gave the answer, or was asked last.
    """

    at_s: float
    ended_s: float
    replica: str
    status: int
    error: str = ""


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Publication:
    """A configuration that an operator sent; 0 if it is not acknowledged."""

    version: int
    content: str
    sent_s: float
    acknowledged_s: float = 0.0
    # Prefixes of the routes.
    prefixes: frozenset[str] = frozenset()
    # Keys of the accounts, None without accounts.
    keys: frozenset[str] | None = None
    tries: tuple[Try, ...] = ()
    # Prefix and service of each route, several for a split one.
    services: frozenset[tuple[str, str]] = frozenset()


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """A read of the configuration that was answered with 200."""

    replica: str
    version: int
    content: str
    sent_s: float
    ended_s: float
    is_final: bool = False


@final
class Records:
    """Everything that was seen; threads may add to it at any time."""

    def __init__(self) -> None:
        """Start without records."""
        self.calls: list[Call] = []
        self.arrivals: list[Arrival] = []
        self.incidents: list[Incident] = []
        self.publications: list[Publication] = []
        self.readings: list[Reading] = []
        # When all first replicas had answered an operator.
        self.all_answer_s = 0.0
        # Calls of singleton duties, and whether the platform took them.
        self.duty_calls: list[tuple[duty_platform.DutyCall, bool]] = []
        self.attempt_by_handle: dict[str, str] = {}
        self._lock = threading.Lock()
        self._number = 0

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        with self._lock:
            self._number += 1
            return self._number

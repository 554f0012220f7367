"""How a stand-in runner answers, drawn from the seed and the attempt id."""

import enum
import random
from typing import final

from soak import records

NOT_EXECUTED = "X-Wisteriawall-Not-Executed"
GARBAGE = (
    b"\x16\x03\x01\x00*\x02\x00\x00\r\n",
    b"HTTP/1.1 OK 200\r\n\r\n",
    b"\r\n\r\nnothing\r\n\r\n",
    b"HTTP/1.1 2000000 Fine\r\nContent-Length: 0\r\n\r\n",
)
FAULT_SHARE = 0.08
REJECTION_SHARE = 0.03
SOUND_SHARE = 0.35


@final
class Manner(enum.StrEnum):
    """How the answer to a request is sent."""

    PLAIN = "plain"
    CLOSE = "with Connection: close"
    SPLIT = "in small writes"
    SLOW = "slow"
    # Rejections are proper: the request does not run.
    REJECTED = "rejected"
    # Faults, from here on.
    GARBAGE = "bytes that are no answer"
    TRUNCATED = "truncated"
    HEAD_CUT = "closed within the head"
    RESET = "reset after the run"
    STALLED = "stalled until the gateway leaves"


PLAIN_FAULTS = (
    Manner.GARBAGE,
    Manner.TRUNCATED,
    Manner.HEAD_CUT,
    Manner.RESET,
)
FAULTS = (*PLAIN_FAULTS, Manner.STALLED)
# A stalled stream is the longest piece of work that a gateway can have.
STREAM_FAULTS = (*FAULTS, Manner.STALLED, Manner.STALLED)
# An answer that ends with its connection is truncated by a reset.
CLOSING = (Manner.CLOSE, Manner.TRUNCATED)
SOUND = (Manner.CLOSE, Manner.SPLIT, Manner.SLOW)


@final
class Late(enum.StrEnum):
    """What follows an answer once the next request has arrived."""

    NOTHING = ""
    AGAIN = "the previous answer again"
    HEAD = "the head of the previous answer"
    HEAD_START = "the start of the head of the previous answer"
    INTERIM = "an interim answer"
    ERROR = "an error without an attempt id"
    REJECTION = "a rejection of an older attempt"
    REJECTION_START = "the start of a rejection of an older attempt"
    GARBAGE = "bytes that are no answer"


def draw_manner(chance: random.Random, *, is_stream: bool) -> Manner:
    """Draw how a request is answered."""
    drawn = chance.random()
    if drawn < FAULT_SHARE:
        return chance.choice(STREAM_FAULTS if is_stream else PLAIN_FAULTS)
    if drawn < FAULT_SHARE + REJECTION_SHARE:
        return Manner.REJECTED
    if drawn < SOUND_SHARE:
        return chance.choice(SOUND)
    return Manner.PLAIN


def draw_late(chance: random.Random, *, share: float) -> Late:
    """Draw what follows an answer; `share` of all answers get something."""
    if chance.random() >= share:
        return Late.NOTHING
    return chance.choice(list(Late)[1:])


def late_bytes(
    late: Late, *, attempt: str, answer: bytes, chance: random.Random
) -> bytes:
    """Return what is sent after `answer`, the whole answer to `attempt`."""
    named = f"{records.ATTEMPT_ID}: {attempt}\r\n"
    head = answer[: answer.find(b"\r\n\r\n") + 4]
    rejection = (
        f"HTTP/1.1 503 Busy\r\n{NOT_EXECUTED}: 1\r\n{named}"
        "Content-Length: 0\r\n\r\n"
    ).encode()
    match late:
        case Late.NOTHING:
            return b""
        case Late.AGAIN:
            return answer
        case Late.HEAD:
            return head
        case Late.HEAD_START:
            return _start(head, chance)
        case Late.INTERIM:
            return f"HTTP/1.1 103 Early Hints\r\n{named}\r\n".encode()
        case Late.ERROR:
            return b"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad"
        case Late.REJECTION:
            return rejection
        case Late.REJECTION_START:
            return _start(rejection, chance)
        case Late.GARBAGE:
            return chance.choice(GARBAGE)


def _start(head: bytes, chance: random.Random) -> bytes:
    """Return a part of a head that ends within a line or after one."""
    return head[: chance.randint(1, max(1, len(head) - len(b"\r\n\r\n")))]

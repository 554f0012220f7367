"""Parts of prompts under which runners crash.

A part of a prompt may crash every runner that begins to write an answer on it,
whatever else the request holds. A crash cuts off all requests of a runner, so
each of their parts is suspected at first. Only those that were just begun count
if there are any, and the last part of a prompt belongs to one request alone.

A complete answer clears the parts of its prompt. A part that was in crashes at
several moments without one is blocked: requests with it are refused. Parts that
were in the same crashes are blocked together: requests with all of them are
refused. A block ends after a time that doubles with each further crash; one
request is then let through.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random as random_lib
from typing import TypeAlias
from typing import final

__all__ = ["BEGIN_MS", "Parts", "SuspectParts"]

# A runner that crashes under a part does so this soon after the answer began.
BEGIN_MS = 1_000
# Losses of requests at one runner that belong to one crash.
CRASH_MS = 500
# A failed connection to the runner confirms a crash for this long.
CONFIRM_MS = 2_000
# Crashes at one moment may have one cause that is none of their parts.
MOMENT_MS = 500
MOMENTS_TO_BLOCK = 2
# Runners that cut an answer off count without another sign of a crash.
RUNNERS_TO_BLOCK = 3
# A part of complete answers was in many crashes by chance.
MOMENTS_TO_BLOCK_SOUND = 5
FORGET_MS = 60_000
FIRST_BLOCK_MS = 60_000
MAX_DOUBLINGS = 4
# Longer than a request that is let through takes.
TRIAL_MS = 10_000
TELL_INTERVAL_MS = 1_000
MAX_PARTS = 4_096
MAX_BLOCKS = 64
MAX_CRASHES = 256
# No part id contains it: ids are listed with commas in between.
SEPARATOR = ","

Parts: TypeAlias = frozenset[str]


@final
@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Crash:
    """A possible crash of one runner, confirmed if there is another sign of it.

    `parts_by_request` are the suspect parts of each request that was cut off,
    and `has_begun` says that one of them had just begun.
    """

    runner: str
    at_ms: int
    parts_by_request: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    is_confirmed: bool = False
    has_begun: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Part:
    """What is known of a part.

    `has_begun_by_crash` holds the crashes since the last complete answer, and
    whether a request with this part had just begun. All gateways heard of a
    complete answer at `told_ms`.
    """

    is_sound: bool = False
    has_begun_by_crash: dict[_Crash, bool] = dataclasses.field(
        default_factory=dict
    )
    told_ms: int = -TELL_INTERVAL_MS


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Block:
    """A set of parts that is blocked for the time number `count`."""

    until_ms: int
    count: int = 1


@final
class SuspectParts:
    """Crashes by part, from requests of this and all other gateways.

    Args:
        random: Spreads the ends of blocks, so that gateways don't let requests
            through at once.
    """

    __slots__ = (
        "_block_by_parts",
        "_crash_by_runner",
        "_part_by_id",
        "_random",
    )

    def __init__(self, random: random_lib.Random) -> None:
        self._random = random
        self._part_by_id: OrderedDict[str, _Part] = OrderedDict()
        self._crash_by_runner: OrderedDict[str, _Crash] = OrderedDict()
        # Every set that was blocked and not cleared since, the oldest first.
        self._block_by_parts: OrderedDict[Parts, _Block] = OrderedDict()

    def note_loss(
        self,
        runner: str,
        request_id: str,
        parts: Iterable[str],
        *,
        has_begun: bool,
        now_ms: int,
    ) -> list[Parts]:
        """Record that a request was cut off; return the sets now blocked.

        Args:
            runner: The runner that cut it off.
            request_id: Id of the request.
            parts: Its parts except the last.
            has_begun: Whether its answer had just begun.
            now_ms: Time of the loss.
        """
        crash = self._crash_by_runner.get(runner)
        if crash is None or now_ms - crash.at_ms > CRASH_MS:
            crash = _Crash(runner=runner, at_ms=now_ms)
            self._crash_by_runner[runner] = crash
            self._crash_by_runner.move_to_end(runner)
            while len(self._crash_by_runner) > MAX_CRASHES:
                self._crash_by_runner.popitem(last=False)
        crash.parts_by_request[request_id] = frozenset(parts)
        crash.has_begun = crash.has_begun or has_begun
        crash.is_confirmed = (
            crash.is_confirmed or len(crash.parts_by_request) > 1
        )
        for part_id in crash.parts_by_request[request_id]:
            part = self._touch(part_id)
            begun_before = part.has_begun_by_crash.get(crash, False)
            part.has_begun_by_crash[crash] = begun_before or has_begun
        return self._block_suspects(crash, now_ms)

    def note_unreachable(self, runner: str, now_ms: int) -> list[Parts]:
        """Record that a runner can't be reached; return sets now blocked."""
        crash = self._crash_by_runner.get(runner)
        if crash is None or now_ms - crash.at_ms > CONFIRM_MS:
            return []
        crash.is_confirmed = True
        return self._block_suspects(crash, now_ms)

    def note_answer(
        self, parts: Iterable[str], now_ms: int, *, is_own: bool = True
    ) -> list[str]:
        """Record a complete answer; return the parts to tell others of.

        Those are the ones that other gateways may suspect or have heard nothing
        of lately. There are none if the answer was another gateway's.
        """
        answered = frozenset(parts)
        told = []
        for part_id in answered:
            part = self._touch(part_id)
            is_told = now_ms - part.told_ms < TELL_INTERVAL_MS
            if is_own and is_told and not part.has_begun_by_crash:
                told_ms = part.told_ms
            else:
                told_ms = now_ms
                told.append(part_id)
            self._part_by_id[part_id] = _Part(is_sound=True, told_ms=told_ms)
        self._clear_blocks(answered)
        return told if is_own else []

    def note_sent(self, parts: Iterable[str], now_ms: int) -> None:
        """Record that a request is sent: it is the one that is let through."""
        for block in self._blocks_of(parts):
            block.until_ms = max(block.until_ms, now_ms + TRIAL_MS)

    def add_blocked(
        self, remaining_ms_by_parts: Mapping[str, int], now_ms: int
    ) -> None:
        """Block sets of parts that another gateway has blocked.

        They are keyed as by `remaining_ms_by_parts`.
        """
        for name, remaining_ms in remaining_ms_by_parts.items():
            blocked = frozenset(name.split(SEPARATOR))
            if blocked not in self._block_by_parts and not any(
                self._touch(part_id).is_sound for part_id in blocked
            ):
                self._block(blocked, now_ms, remaining_ms)

    def blocked_ms(self, parts: Iterable[str], now_ms: int) -> int:
        """Return for how long a request with these parts is blocked."""
        remaining_ms = (b.until_ms - now_ms for b in self._blocks_of(parts))
        return max(0, max(remaining_ms, default=0))

    def remaining_ms_by_parts(self, now_ms: int) -> dict[str, int]:
        """Return the time for which each set is blocked, by its parts."""
        return {
            SEPARATOR.join(sorted(parts)): block.until_ms - now_ms
            for parts, block in self._block_by_parts.items()
            if block.until_ms > now_ms
        }

    def _blocks_of(self, parts: Iterable[str]) -> list[_Block]:
        if not self._block_by_parts:
            return []
        given = frozenset(parts)
        return [
            block
            for blocked, block in self._block_by_parts.items()
            if blocked <= given
        ]

    def _clear_blocks(self, answered: Parts) -> None:
        """End the blocks that a complete answer shows to be wrong.

        A set that was answered in part keeps the parts that were not.
        """
        for blocked in [b for b in self._block_by_parts if b & answered]:
            block = self._block_by_parts.pop(blocked)
            if blocked - answered:
                self._block_by_parts.setdefault(blocked - answered, block)

    def _touch(self, part_id: str) -> _Part:
        """Return the record of a part, and forget the one not seen longest."""
        part = self._part_by_id.setdefault(part_id, _Part())
        self._part_by_id.move_to_end(part_id)
        while len(self._part_by_id) > MAX_PARTS:
            self._part_by_id.popitem(last=False)
        return part

    def _block_suspects(self, crash: _Crash, now_ms: int) -> list[Parts]:
        blocked_again = (
            self._block_again(crash, now_ms) if crash.is_confirmed else []
        )
        return [*blocked_again, *self._block_first(crash, now_ms)]

    def _block_again(self, crash: _Crash, now_ms: int) -> list[Parts]:
        """Block sets whose request that was let through was cut off."""
        ended = [
            parts
            for parts, block in self._block_by_parts.items()
            if block.until_ms - TRIAL_MS <= now_ms
            and any(parts <= lost for lost in crash.parts_by_request.values())
        ]
        for parts in ended:
            self._block(parts, now_ms, FIRST_BLOCK_MS)
        return ended

    def _block_first(self, crash: _Crash, now_ms: int) -> list[Parts]:
        """Block the suspects of a crash, those with the same crashes as one."""
        suspects_by_crashes: dict[frozenset[_Crash], set[str]] = {}
        for part_id in frozenset[str]().union(*crash.parts_by_request.values()):
            part = self._touch(part_id)
            crashes = _crashes_of(part, now_ms)
            if crash in crashes and _is_suspect(part, crashes):
                suspects_by_crashes.setdefault(crashes, set()).add(part_id)
        blocked = [
            parts
            for parts in map(frozenset, suspects_by_crashes.values())
            if not any(known <= parts for known in self._block_by_parts)
        ]
        for parts in blocked:
            self._block(parts, now_ms, FIRST_BLOCK_MS)
        return blocked

    def _block(self, parts: Parts, now_ms: int, time_ms: int) -> None:
        block = self._block_by_parts.get(parts)
        if block is None:
            block = _Block(until_ms=0, count=0)
            self._block_by_parts[parts] = block
            while len(self._block_by_parts) > MAX_BLOCKS:
                self._block_by_parts.popitem(last=False)
        doublings = min(block.count, MAX_DOUBLINGS)
        spread = 1 + self._random.random()
        block.until_ms = now_ms + int((time_ms << doublings) * spread)
        block.count += 1


def _crashes_of(part: _Part, now_ms: int) -> frozenset[_Crash]:
    """Return the crashes that may speak against a part."""
    return frozenset(
        crash
        for crash, has_begun in part.has_begun_by_crash.items()
        if (has_begun or not crash.has_begun)
        and now_ms - crash.at_ms <= FORGET_MS
    )


def _is_suspect(part: _Part, crashes: frozenset[_Crash]) -> bool:
    confirmed = _count_moments(c for c in crashes if c.is_confirmed)
    if part.is_sound:
        return confirmed >= MOMENTS_TO_BLOCK_SOUND
    begun = [c for c in crashes if part.has_begun_by_crash[c]]
    return confirmed >= MOMENTS_TO_BLOCK or (
        len({c.runner for c in begun}) >= RUNNERS_TO_BLOCK
        and _count_moments(begun) >= MOMENTS_TO_BLOCK
    )


def _count_moments(crashes: Iterable[_Crash]) -> int:
    """Return the number of crashes, those shortly after another left out."""
    moments = 0
    moment_ms = -MOMENT_MS
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if at_ms - moment_ms >= MOMENT_MS:
            moments += 1
            moment_ms = at_ms
    return moments

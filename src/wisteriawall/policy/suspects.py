"""Requests, and parts of prompts, under which runners crash.

A request may crash every runner that begins to run it, and its caller sends it
again and again. A part of a prompt may do the same, whatever else the request
holds. Both are traits of a request: its shared parts, and its fingerprint. A
crash cuts off all requests of a runner, so each of their traits is suspected at
first. Only those that were just begun count if there are any. The last part of
a prompt belongs to one request alone, which its fingerprint identifies better.

A complete answer clears the traits of its request. Traits that were in several
crashes without one are blocked: requests with them are refused. Traits that
were in the same crashes are blocked together: requests with all of them are
refused.

A block has no end of its own, so that the number of runners that a request
crashes stays bounded. Control keeps it, and grants one gateway after another
a trial: it lets one request through. A complete answer ends the block.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias
from typing import final

__all__ = ["BEGIN_MS", "Report", "Suspects", "Traits", "request_trait"]

# A runner that crashes under a request does so this soon after its answer
# began.
BEGIN_MS = 1_000
# Losses of requests at one runner that belong to one crash.
CRASH_MS = 500
# A failed connection to the runner confirms a crash for this long.
CONFIRM_MS = 2_000
# Crashes at one moment may have one cause that is none of their parts.
MOMENT_MS = 500
CRASHES_TO_BLOCK = 2
# Runners that cut an answer off count without another sign of a crash.
RUNNERS_TO_BLOCK = 3
# A trait of complete answers was in many crashes by chance.
CRASHES_TO_BLOCK_SOUND = 5
# Many requests share a part, so that it is in unrelated crashes by chance.
FORGET_PART_MS = 60_000
FORGET_REQUEST_MS = 24 * 3_600_000
# Time to the first trial, for the callers until control names it.
FIRST_BLOCK_MS = 60_000
# Callers of a block whose trial is due are asked back after this time.
DUE_RETRY_MS = 1_000
# Other gateways hear of complete answers at these intervals. Most requests are
# never repeated, so the first answer to one is not told.
TELL_PART_INTERVAL_MS = 1_000
TELL_REQUEST_INTERVAL_MS = 60_000
MAX_TRAITS = 4_096
MAX_BLOCKS = 64
MAX_CRASHES = 256
# No trait contains it: part ids are listed with commas in between.
SEPARATOR = ","
REQUEST_PREFIX = "request/"

Traits: TypeAlias = frozenset[str]


def request_trait(fingerprint: str) -> str:
    """Return the trait of all requests with this fingerprint."""
    return f"{REQUEST_PREFIX}{fingerprint}"


@final
@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Crash:
    """A possible crash of one runner, confirmed if there is another sign of it.

    `traits_by_request` are the suspect traits of each request that was cut off,
    and `has_begun` says that one of them had just begun.
    """

    runner: str
    at_ms: int
    traits_by_request: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    is_confirmed: bool = False
    has_begun: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """What is known of a trait.

    `has_begun_by_crash` holds the crashes since the last complete answer, and
    whether a request with this trait had just begun. All gateways heard of a
    complete answer at `told_ms`.
    """

    is_sound: bool = False
    has_begun_by_crash: dict[_Crash, bool] = dataclasses.field(
        default_factory=dict
    )
    told_ms: int = -TELL_REQUEST_INTERVAL_MS


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Block:
    """A blocked set of traits; its next trial is due at `until_ms`.

    `trial` is the number of the last trial that control granted here, and
    `has_trial` whether it is still unused. `is_wanted` is set when a request
    was refused since the last report.
    """

    until_ms: int
    trial: int = 0
    has_trial: bool = False
    is_wanted: bool = False


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What a gateway tells control, sets of traits as comma-separated names.

    `remaining_ms_by_block` are the sets that it blocks, `cleared` those that a
    complete answer cleared, and `wanted` those whose requests it refused.
    """

    remaining_ms_by_block: dict[str, int]
    cleared: list[str]
    wanted: list[str]


@final
class Suspects:
    """Crashes by trait, from requests of this and all other gateways."""

    __slots__ = (
        "_block_by_traits",
        "_cleared",
        "_crash_by_runner",
        "_record_by_part",
        "_record_by_request",
    )

    def __init__(self) -> None:
        self._record_by_part: OrderedDict[str, _Record] = OrderedDict()
        self._record_by_request: OrderedDict[str, _Record] = OrderedDict()
        self._crash_by_runner: OrderedDict[str, _Crash] = OrderedDict()
        # Every set that is blocked, the oldest first.
        self._block_by_traits: OrderedDict[Traits, _Block] = OrderedDict()
        # Sets that a complete answer cleared, until control knows.
        self._cleared: OrderedDict[str, None] = OrderedDict()

    def note_loss(
        self,
        runner: str,
        request_id: str,
        traits: Iterable[str],
        *,
        has_begun: bool,
        now_ms: int,
        has_crashed: bool = False,
    ) -> list[Traits]:
        """Record that a request was cut off; return the sets now blocked.

        Args:
            runner: The runner that cut it off.
            request_id: Id of the request.
            traits: Its traits, none if they are not suspect.
            has_begun: Whether its answer had just begun.
            now_ms: Time of the loss.
            has_crashed: Whether the runner took no connection right after.
        """
        crash = self._crash_by_runner.get(runner)
        if crash is None or abs(now_ms - crash.at_ms) > CRASH_MS:
            crash = _Crash(runner=runner, at_ms=now_ms)
            self._crash_by_runner[runner] = crash
            self._crash_by_runner.move_to_end(runner)
            while len(self._crash_by_runner) > MAX_CRASHES:
                self._crash_by_runner.popitem(last=False)
        crash.traits_by_request[request_id] = frozenset(traits)
        crash.has_begun = crash.has_begun or has_begun
        crash.is_confirmed = (
            crash.is_confirmed
            or has_crashed
            or len(crash.traits_by_request) > 1
        )
        for trait in crash.traits_by_request[request_id]:
            record = self._touch(trait)
            begun_before = record.has_begun_by_crash.get(crash, False)
            record.has_begun_by_crash[crash] = begun_before or has_begun
        return self._block_suspects(crash, now_ms)

    def note_unreachable(self, runner: str, now_ms: int) -> list[Traits]:
        """Record that a runner can't be reached; return sets now blocked."""
        crash = self._crash_by_runner.get(runner)
        if crash is None or now_ms - crash.at_ms > CONFIRM_MS:
            return []
        crash.is_confirmed = True
        return self._block_suspects(crash, now_ms)

    def note_answer(
        self, traits: Iterable[str], now_ms: int, *, is_own: bool = True
    ) -> list[str]:
        """Record a complete answer; return the traits to tell others of.

        Those are the ones that other gateways may suspect or have heard nothing
        of lately. There are none if the answer was another gateway's.
        """
        answered = frozenset(traits)
        told = []
        for trait in answered:
            record = self._touch(trait)
            if is_own and not _is_told(trait, record, now_ms):
                told.append(trait)
            told_ms = now_ms if trait in told or not is_own else record.told_ms
            self._records_like(trait)[trait] = _Record(
                is_sound=True, told_ms=told_ms
            )
        self._clear_blocks(answered)
        return told

    def note_sent(self, traits: Iterable[str]) -> bool:
        """Record that a request is sent here; return whether it is a trial."""
        blocks = [b for b in self._blocks_of(traits) if b.has_trial]
        for block in blocks:
            block.has_trial = False
        return bool(blocks)

    def note_refused(self, traits: Iterable[str]) -> None:
        """Record that a request was refused, so that it wants a trial."""
        for block in self._blocks_of(traits):
            block.is_wanted = True

    def apply_known(
        self,
        remaining_ms_by_block: Mapping[str, int],
        *,
        cleared: Iterable[str],
        trial_by_block: Mapping[str, int],
        now_ms: int,
    ) -> list[str]:
        """Adopt what control knows; return the blocks with a new trial here.

        Args:
            remaining_ms_by_block: Blocked sets and the time to the next trial.
            cleared: Sets that are no longer blocked.
            trial_by_block: Number of the trial that this gateway was granted.
            now_ms: Time of the answer.
        """
        for name in cleared:
            self._cleared.pop(name, None)
            self._block_by_traits.pop(_traits(name), None)
        for name, remaining_ms in remaining_ms_by_block.items():
            if name not in self._cleared:
                self._adopt(_traits(name), remaining_ms, now_ms)
        granted = []
        for name, number in trial_by_block.items():
            block = self._block_by_traits.get(_traits(name))
            if block is not None and number > block.trial:
                block.trial, block.has_trial = number, True
                granted.append(name)
        return granted

    def blocked_ms(self, traits: Iterable[str], now_ms: int) -> int:
        """Return for how long a request with these traits is blocked.

        0 if it is not, or if it may be sent as a trial.
        """
        remaining_ms = (
            max(DUE_RETRY_MS, b.until_ms - now_ms)
            for b in self._blocks_of(traits)
            if not b.has_trial
        )
        return max(remaining_ms, default=0)

    def is_blocked(self, traits: Iterable[str]) -> bool:
        """Return whether a set of these traits is blocked, trial or not."""
        return bool(self._blocks_of(traits))

    def report(self, now_ms: int) -> Report:
        """Return what to tell control."""
        wanted = []
        for traits, block in self._block_by_traits.items():
            if block.is_wanted:
                wanted.append(_name(traits))
                block.is_wanted = False
        return Report(
            remaining_ms_by_block={
                _name(traits): max(0, block.until_ms - now_ms)
                for traits, block in self._block_by_traits.items()
            },
            cleared=list(self._cleared),
            wanted=wanted,
        )

    def _adopt(self, traits: Traits, remaining_ms: int, now_ms: int) -> None:
        block = self._block_by_traits.get(traits)
        if block is not None:
            block.until_ms = now_ms + remaining_ms
        elif not any(self._touch(trait).is_sound for trait in traits):
            self._block(traits, now_ms + remaining_ms)

    def _blocks_of(self, traits: Iterable[str]) -> list[_Block]:
        if not self._block_by_traits:
            return []
        given = frozenset(traits)
        return [
            block
            for blocked, block in self._block_by_traits.items()
            if blocked <= given
        ]

    def _clear_blocks(self, answered: Traits) -> None:
        """End the blocks that a complete answer shows to be wrong.

        A set that was answered in part keeps the traits that were not.
        """
        for blocked in [b for b in self._block_by_traits if b & answered]:
            block = self._block_by_traits.pop(blocked)
            self._cleared[_name(blocked)] = None
            if blocked - answered:
                self._block_by_traits.setdefault(blocked - answered, block)
        while len(self._cleared) > MAX_BLOCKS:
            self._cleared.popitem(last=False)

    def _records_like(self, trait: str) -> OrderedDict[str, _Record]:
        return (
            self._record_by_request
            if trait.startswith(REQUEST_PREFIX)
            else self._record_by_part
        )

    def _touch(self, trait: str) -> _Record:
        """Return the record of a trait, and forget the one not seen longest."""
        records = self._records_like(trait)
        record = records.setdefault(trait, _Record())
        records.move_to_end(trait)
        while len(records) > MAX_TRAITS:
            records.popitem(last=False)
        return record

    def _block_suspects(self, crash: _Crash, now_ms: int) -> list[Traits]:
        """Block the suspects of a crash, those with the same crashes as one."""
        suspects_by_crashes: dict[frozenset[_Crash], set[str]] = {}
        traits = frozenset[str]().union(*crash.traits_by_request.values())
        for trait in traits:
            record = self._touch(trait)
            crashes = _crashes_of(trait, record, now_ms)
            if crash in crashes and _is_suspect(trait, record, crashes):
                suspects_by_crashes.setdefault(crashes, set()).add(trait)
        blocked = [
            suspects
            for suspects in map(frozenset, suspects_by_crashes.values())
            if not any(known <= suspects for known in self._block_by_traits)
        ]
        for suspects in blocked:
            self._block(suspects, now_ms + FIRST_BLOCK_MS)
        return blocked

    def _block(self, traits: Traits, until_ms: int) -> None:
        self._cleared.pop(_name(traits), None)
        self._block_by_traits[traits] = _Block(until_ms=until_ms)
        while len(self._block_by_traits) > MAX_BLOCKS:
            self._block_by_traits.popitem(last=False)


def _name(traits: Traits) -> str:
    return SEPARATOR.join(sorted(traits))


def _traits(name: str) -> Traits:
    return frozenset(name.split(SEPARATOR))


def _is_told(trait: str, record: _Record, now_ms: int) -> bool:
    """Return whether other gateways need not hear of a complete answer."""
    if record.has_begun_by_crash:
        return False
    if not trait.startswith(REQUEST_PREFIX):
        return now_ms - record.told_ms < TELL_PART_INTERVAL_MS
    return (
        not record.is_sound
        or now_ms - record.told_ms < TELL_REQUEST_INTERVAL_MS
    )


def _crashes_of(trait: str, record: _Record, now_ms: int) -> frozenset[_Crash]:
    """Return the crashes that may speak against a trait."""
    is_request = trait.startswith(REQUEST_PREFIX)
    forget_ms = FORGET_REQUEST_MS if is_request else FORGET_PART_MS
    return frozenset(
        crash
        for crash, has_begun in record.has_begun_by_crash.items()
        if (has_begun or not crash.has_begun)
        and now_ms - crash.at_ms <= forget_ms
    )


def _is_suspect(
    trait: str, record: _Record, crashes: frozenset[_Crash]
) -> bool:
    count = len if trait.startswith(REQUEST_PREFIX) else _count_moments
    confirmed = count([c for c in crashes if c.is_confirmed])
    if record.is_sound:
        return confirmed >= CRASHES_TO_BLOCK_SOUND
    begun = [c for c in crashes if record.has_begun_by_crash[c]]
    return confirmed >= CRASHES_TO_BLOCK or (
        len({c.runner for c in begun}) >= RUNNERS_TO_BLOCK
        and _count_moments(begun) >= CRASHES_TO_BLOCK
    )


def _count_moments(crashes: Iterable[_Crash]) -> int:
    """Return the number of crashes, those shortly after another left out.

    Many requests share a part, and may all be cut off at once. One request
    is seldom at several runners that crash.
    """
    moments = 0
    moment_ms = -MOMENT_MS
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if at_ms - moment_ms >= MOMENT_MS:
            moments += 1
            moment_ms = at_ms
    return moments

"""How many engines prefill and how many decode.

Two load patterns are covered:

- Cold fleet with long prompts. Until the shared parts of prompts are cached,
  prefill is the bottleneck, while one decode engine produces the tokens of many
  answers at once. Without a measured reason against it, a fixed share of the
  engines therefore prefills.
- Long answers. When the decode engines are nearly full of running answers, a
  smaller share prefills.

A change of stage makes an engine unavailable for seconds, so that a few engines
change at a time and small deviations are left as they are.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
from typing import final

from wisteriawall.wire import gateway_messages

__all__ = ["Engine", "StageChange", "plan"]

# Deviation from the wanted number of prefill engines that is tolerated, as a
# share of all engines. Engines that crash return in their first stage.
TOLERATED_DEVIATION = 0.1
# Share of the engines that change at the same time.
MAX_CHANGING_SHARE = 0.25
# Share of the decode engines' slots in use above which decoding needs engines.
HIGH_DECODE_LOAD = 0.6
PREFILL_SHARE_AT_HIGH_DECODE_LOAD = 0.25


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Engine:
    """An engine of one service.

    `is_changing` is set while an order is under way, and `may_change` is False
    for a while after one.
    """

    upstream_id: str
    zone: str
    stage: gateway_messages.Stage
    is_changing: bool = False
    may_change: bool = True


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StageChange:
    """Order for an engine to serve another stage."""

    upstream_id: str
    stage: gateway_messages.Stage


def plan(
    engines: Sequence[Engine], *, prefill_share: float, decode_load: float
) -> Iterator[StageChange]:
    """Yield the stage changes to order now.

    Args:
        engines: All engines of one service that serve or change.
        prefill_share: Share of the engines that prefill.
        decode_load: Share of the decode engines' slots that is in use.
    """
    if len(engines) < 2:
        return
    share = prefill_share
    if decode_load > HIGH_DECODE_LOAD:
        share = min(share, PREFILL_SHARE_AT_HIGH_DECODE_LOAD)
    wanted = min(len(engines) - 1, max(1, round(share * len(engines))))
    prefill = [e for e in engines if e.stage is gateway_messages.Stage.PREFILL]
    missing = wanted - len(prefill)
    if abs(missing) <= TOLERATED_DEVIATION * len(engines):
        return
    stage = gateway_messages.Stage.PREFILL
    if missing < 0:
        stage = gateway_messages.Stage.DECODE
    changing = sum(e.is_changing for e in engines)
    most = math.ceil(MAX_CHANGING_SHARE * len(engines)) - changing
    count_by_zone = {e.zone: 0 for e in engines}
    for engine in engines:
        if engine.stage is not stage:
            count_by_zone[engine.zone] += 1
    candidates = [e for e in engines if e.stage is not stage and e.may_change]
    for _ in range(min(abs(missing), most, len(candidates))):
        # The zone with the most engines of the other stage gives one up.
        chosen = max(
            candidates, key=lambda e: (count_by_zone[e.zone], e.upstream_id)
        )
        candidates.remove(chosen)
        count_by_zone[chosen.zone] -= 1
        yield StageChange(upstream_id=chosen.upstream_id, stage=stage)

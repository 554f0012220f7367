"""Speed of an engine, as routing and planning reckon with it."""

import dataclasses
from typing import final

from wisteriawall.wire import fleet

__all__ = [
    "DEFAULT",
    "PIECE_TOKENS",
    "SPEED_BY_ROLE",
    "EngineSpeed",
    "pieces",
]

PIECE_TOKENS = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineSpeed:
    """Cost of one batch step.

    A step takes `step_ms`, `stream_ms` for each decoding stream and
    `prefill_ms` for each prompt token it takes in, at most `chunk_tokens`
    of them. It yields one token for each decoding stream.
    """

    step_ms: float = 12.0
    stream_ms: float = 0.3
    prefill_ms: float = 0.1
    chunk_tokens: int = 512
    max_streams: int = 48
    kv_pieces: int = 200
    transfer_piece_ms: float = 4.0

    def decode_step_ms(self, streams: int) -> float:
        """Return the time of a step that only decodes."""
        return self.step_ms + self.stream_ms * min(streams, self.max_streams)

    def prefill_work_ms(self, tokens: int) -> float:
        """Return the engine time of a prompt, without waiting."""
        return tokens * (self.prefill_ms + self.step_ms / self.chunk_tokens)

    def decode_work_ms(self, tokens: int) -> float:
        """Return the engine time of an answer in a full batch."""
        return tokens * self.decode_step_ms(self.max_streams) / self.max_streams


DEFAULT = EngineSpeed()
SPEED_BY_ROLE = {
    fleet.Role.MIXED: DEFAULT,
    fleet.Role.PREFILL: EngineSpeed(chunk_tokens=2_048, max_streams=8),
    fleet.Role.DECODE: EngineSpeed(chunk_tokens=128, max_streams=64),
}


def pieces(tokens: int) -> int:
    """Return the KV pieces that hold `tokens`."""
    return -(-tokens // PIECE_TOKENS)

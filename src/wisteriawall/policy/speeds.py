"""Nominal engine speeds, used by routing, the role planner and the benchmark.

KV cache is counted in pieces of `PIECE_TOKENS` tokens.
"""

import dataclasses
from typing import final

from wisteriawall.wire import fleet

__all__ = [
    "DEFAULT",
    "PIECE_TOKENS",
    "SPEED_BY_ROLE",
    "EngineSpeed",
    "piece_count",
]

PIECE_TOKENS = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineSpeed:
    """Time of one batch step, and capacity of an engine.

    A step produces one token for each decoding stream, and prefills up to
    `chunk_tokens` prompt tokens.

    Attributes:
        step_ms: Fixed time of a step.
        step_ms_per_stream: Additional time for each decoding stream.
        step_ms_per_prompt_token: Additional time for each prompt token.
        chunk_tokens: Most prompt tokens in one step.
        max_streams: Most decoding streams in one step.
        kv_pieces: Size of the KV cache.
        transfer_ms_per_piece: Time to transfer one piece to another engine.
    """

    step_ms: float = 12.0
    step_ms_per_stream: float = 0.3
    step_ms_per_prompt_token: float = 0.1
    chunk_tokens: int = 512
    max_streams: int = 48
    kv_pieces: int = 200
    transfer_ms_per_piece: float = 4.0

    def decode_step_ms(self, streams: int) -> float:
        """Return the time of a step without prefill."""
        return self.step_ms + self.step_ms_per_stream * min(
            streams, self.max_streams
        )

    def prefill_work_ms(self, tokens: int) -> float:
        """Return the engine time of a prefill in full chunks."""
        return tokens * (
            self.step_ms_per_prompt_token + self.step_ms / self.chunk_tokens
        )

    def decode_work_ms(self, tokens: int) -> float:
        """Return an answer's share of the engine time in full batches."""
        return tokens * self.decode_step_ms(self.max_streams) / self.max_streams


DEFAULT = EngineSpeed()
SPEED_BY_ROLE = {
    fleet.Role.MIXED: DEFAULT,
    fleet.Role.PREFILL: EngineSpeed(chunk_tokens=2_048, max_streams=8),
    fleet.Role.DECODE: EngineSpeed(chunk_tokens=128, max_streams=64),
}


def piece_count(tokens: int) -> int:
    """Return how many KV cache pieces `tokens` fill, rounded up."""
    return -(-tokens // PIECE_TOKENS)

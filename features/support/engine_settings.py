"""Settings of one stand-in engine, shared with the process that runs it."""

from typing import final

import msgspec

__all__ = ('EngineSettings',)


@final
class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity, speed and reporting delays of an engine.

    :param chunk_tokens: maximum prompt tokens prefilled in one step.
    :param decode_step_s: minimum step time, and so the minimum token gap.
    :param cold_slowdown: factor by which a cold start lengthens each step.
    :param cache_gap_every: each cache event whose number it divides is dropped.
    """

    name: str
    port: int = 0
    kv_tokens: int = 400_000
    warm_requests: int = 32
    waiting_requests: int = 64
    cold_requests: int = 2
    cold_kv_tokens: int = 8000
    cold_s: float = 5
    cold_slowdown: float = 3
    start_cold: bool = False
    prefill_tokens_per_s: float = 20_000
    decode_step_s: float = 0.02
    chunk_tokens: int = 512
    cache_tokens: int = 60_000
    load_lag_s: float = 1
    cache_lag_s: float = 1
    cache_gap_every: int = 7
    checks_fencing: bool = False

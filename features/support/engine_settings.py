"""Settings of one engine, for the runner and for the engine itself."""

from typing import final

import msgspec

__all__ = ('EngineSettings',)


@final
class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What distinguishes one engine from another.

    :param chunk_tokens: most prompt tokens prefilled in one step.
    :param decode_step_s: shortest step, the time between two tokens.
    :param cold_slowdown: factor on the step time in cold start.
    :param cache_gap_every: each event whose number it divides is lost.
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

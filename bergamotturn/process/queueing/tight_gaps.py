"""Decides which services place shorts by what a crowded engine bears.

Designed for bursts in which full engines admit several prompts in one pass. All
that an engine prefills in a pass lengthens the gaps of its answers. Where two
prompts of the usual length in one pass break the shortest gap that callers are
promised, requests that several instances place at the same engine make its
answers late; elsewhere such answers are still in time.
"""

from typing import Final

from ...version.serving import EngineProfile, ServedService, ServingIndex
from ...version.serving_settings import QueueingSettings

__all__ = ('has_short_waits',)

#: Prompts that two instances place at an engine before they hear of each other.
_PROMPTS_PER_PASS: Final = 2
#: Share of a promised gap that a pass may take; the rest is for the network.
_MAX_PASS_SHARE: Final = 0.95


def has_short_waits(
    queueing: QueueingSettings, index: ServingIndex, service: ServedService
) -> bool:
    """Return whether the settings ask for short waits at a service."""
    if not queueing.short_waits or service.engine is None:
        return False
    if not queueing.only_tight_gaps:
        return True
    gap_s = index.shortest_gaps_s.get(service.name)
    if gap_s is None or not service.engine.usual_prompt_tokens:
        return False
    return _crowded_pass_s(service.engine) > _MAX_PASS_SHARE * gap_s


def _crowded_pass_s(engine: EngineProfile) -> float:
    """Return how long a pass of a full engine takes that admits prompts."""
    context_tokens = engine.usual_prompt_tokens + engine.usual_output_tokens
    decoding_s = engine.pass_s(engine.slots, engine.slots * context_tokens)
    prefill_s = engine.prefill_s(engine.usual_prompt_tokens)
    return decoding_s + _PROMPTS_PER_PASS * prefill_s

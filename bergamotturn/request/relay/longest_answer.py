"""Bound of the duration of a sound answer."""

from typing import Final

from ...version.serving import ServedService
from .call import RelayCall

__all__ = ('longest_answer_s',)

#: Prefills of other prompts, which an engine does between the tokens of an
#: answer, stretch it by up to about this factor.
_PREFILL_FACTOR: Final = 1.1
#: Time until the first event of a short prompt at an engine with other work.
_QUEUE_S: Final = 0.3
#: A plain call that takes longer than this multiple of its objective is rare.
_PLAIN_CALL_FACTOR: Final = 5.0


def longest_answer_s(
    call: RelayCall, service: ServedService | None, now_s: float
) -> float:
    """Return a time in which nearly all sound answers to ``call`` end.

    An answer of a model engine is taken to have as many tokens as the request
    allows, from an engine whose slots are full of such requests.
    """
    left_s = call.deadline_s - now_s
    objective_s = call.route.objective_s
    if not call.route.is_stream and objective_s:
        return min(left_s, _PLAIN_CALL_FACTOR * objective_s)
    if service is None or service.engine is None or not call.output_tokens:
        return left_s
    engine = service.engine
    request_tokens = call.prompt_tokens + call.output_tokens
    context_tokens = min(engine.kv_tokens, engine.slots * request_tokens)
    pass_s = engine.pass_s(engine.slots, context_tokens)
    decode_s = call.output_tokens * pass_s / engine.steps_per_pass
    # Long prompts are divided among engines to meet the objective.
    prefill_s = min(
        objective_s, engine.prefill_s(call.prompt_tokens) + _QUEUE_S
    )
    return min(left_s, prefill_s + _PREFILL_FACTOR * decode_s)

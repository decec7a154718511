"""Updates for other instances on the work that this one sends."""

from typing import Final

from msgspec import UNSET

from ...connection.peer_messages import WorkBegan, WorkShare
from ...request.relay.actions import Attempt
from ...request.relay.call import RelayCall
from .pending_relay import SentAttempt

__all__ = ('work_began',)

_MS: Final = 1000.0


def work_began(
    call: RelayCall,
    attempt: Attempt,
    sent: SentAttempt,
    left_s: float,
    *,
    is_long: bool,
) -> WorkBegan:
    """Return the update that ``attempt`` was sent, without its number.

    :param left_s: time left until the request's deadline.
    """
    elapsed_s = sent.sent_s - call.arrived_s
    due_s = max(0, call.route.objective_s - elapsed_s)
    answer_s = attempt.plan.expected_answer_s
    lasts_ms = int(left_s * _MS)
    return WorkBegan(
        place=0,
        work=sent.work,
        is_long=is_long,
        lasts_ms=lasts_ms,
        due_ms=int(due_s * _MS),
        pause_ms=int(call.route.gap_objective_s * _MS),
        again=attempt.is_retry,
        shares=_shares(call, attempt),
        answer_ms=min(int(answer_s * _MS), lasts_ms) if answer_s else UNSET,
    )


def _shares(call: RelayCall, attempt: Attempt) -> tuple[WorkShare, ...]:
    """Return the load of ``attempt`` at each of its endpoints."""
    plan = attempt.plan
    prefill_ms = int(plan.part_prefill_s * _MS)
    kv_tokens = call.prompt_tokens + call.output_tokens
    helper_kv_tokens = sum(helper.kv_tokens for helper in plan.prefill_helpers)
    serving_share = WorkShare(
        plan.entry.endpoint_id,
        prefill_ms,
        max(0, kv_tokens - helper_kv_tokens),
        runs=True,
    )
    helper_shares = (
        WorkShare(
            helper.entry.endpoint_id, prefill_ms, helper.kv_tokens, runs=False
        )
        for helper in plan.prefill_helpers
    )
    return (serving_share, *helper_shares)

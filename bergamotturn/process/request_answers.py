"""Sends answers to callers and counts service level objectives."""

from collections.abc import Iterable
from time import monotonic
from typing import Final

from circuits import Event, handler

from ..request.actions import FinishAnswer, RefuseAnswer, SendText
from ..request.calls import ReplyPart, reply_data, reply_data_batch
from ..request.chat_reply import Reply
from ..request.pending_chat import PendingChat
from .burn_task import service_level_counted
from .metrics import FIRST_TOKEN_S, REQUESTS, prompt_bucket
from .placement_runner import PlacementRunner
from .prefix_hints import prefix_digest

__all__ = ('CHAT', 'AnswerRunner')

#: Label of chat calls in the metrics.
CHAT: Final = 'chat'

_FIRST_TOKEN_TARGET_S: Final = 1.7
_TOKEN_GAP_TARGET_S: Final = 0.06


class reply_batch_closed(Event):
    """Close the open batch, so that the next part starts a new one."""


class AnswerRunner(PlacementRunner):
    """Runs the actions that send something to the caller."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Start without an open batch."""
        super().__init__(*arguments, **options)
        self._open_batch: list[ReplyPart] = []

    def _run_text(self, pending: PendingChat, action: SendText) -> None:
        self._record_text(pending, action.tokens)
        self._reply(pending.reply.text(action.text))

    def _run_finish(self, pending: PendingChat, action: FinishAnswer) -> None:
        REQUESTS.labels(CHAT, 'whole').inc()
        self._count_objectives(pending, answered=True)
        self._reply(pending.reply.finish(action.end))

    def _run_refusal(self, pending: PendingChat, action: RefuseAnswer) -> None:
        REQUESTS.labels(CHAT, action.failure.kind.value).inc()
        self._count_objectives(pending, answered=False)
        self._reply(pending.reply.fail(action.failure))

    def _reply(self, replies: Iterable[Reply]) -> None:
        for reply in replies:
            if isinstance(reply, reply_data):
                self._reply_part(ReplyPart(*reply.args))
            else:
                # A later part in the open batch would overtake this event.
                self._open_batch = []
                self.fire(reply, 'caller')

    def _reply_part(self, part: ReplyPart) -> None:
        """Send ``part`` in one batch with others of this event loop turn."""
        if not self._open_batch:
            self._open_batch = []
            self.fire(reply_data_batch(self._open_batch), 'caller')
            self.fire(reply_batch_closed())
        self._open_batch.append(part)

    @handler('reply_batch_closed')
    def _on_batch_closed(self) -> None:
        self._open_batch = []

    def _record_text(self, pending: PendingChat, tokens: int) -> None:
        now_s = monotonic()
        call = pending.request.call
        if not pending.had_text:
            pending.had_text = True
            self._observations.record_first_token(
                pending.serving_endpoint,
                pending.cost,
                prefix_digest(call.prompt),
            )
        if pending.last_text_s:
            gap_in_time = (
                now_s - pending.last_text_s <= _TOKEN_GAP_TARGET_S * tokens
            )
            pending.good_gaps += gap_in_time
            pending.bad_gaps += not gap_in_time
        else:
            bucket = prompt_bucket(call.prompt_tokens)
            first_token_s = now_s - call.arrived_s
            FIRST_TOKEN_S.labels(bucket).observe(first_token_s)
            in_time = first_token_s <= _FIRST_TOKEN_TARGET_S
            self._count('first_token', int(in_time), int(not in_time))
        pending.last_text_s = now_s

    def _count_objectives(
        self, pending: PendingChat, *, answered: bool
    ) -> None:
        self._count('answered', int(answered), int(not answered))
        self._count('token_gap', pending.good_gaps, pending.bad_gaps)

    def _count(self, objective: str, good: int, bad: int) -> None:
        self.fire(service_level_counted(objective, good, bad), 'burn')

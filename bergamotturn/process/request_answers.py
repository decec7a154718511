"""Gives answers to callers and counts their service levels."""

from collections.abc import Iterable
from time import monotonic
from typing import Final

from circuits import Event, handler

from ..request.actions import FinishAnswer, RefuseAnswer, SendText
from ..request.calls import ReplyPart, reply_data, reply_data_batch
from ..request.chat_reply import Reply
from ..request.live import LiveRequest
from .burn_task import service_level_counted
from .metrics import FIRST_TOKEN_S, REQUESTS, prompt_bucket
from .placement_runner import PlacementRunner
from .prefix_hints import prefix_digest

__all__ = ('CHAT', 'AnswerRunner')

#: Kind of call in the metrics.
CHAT: Final = 'chat'

_FIRST_TOKEN_TARGET_S: Final = 1.7
_TOKEN_GAP_TARGET_S: Final = 0.06


class reply_batch_closed(Event):
    """Let the next part start a batch of its own."""


class AnswerRunner(PlacementRunner):
    """Carries out what concerns the caller."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Start without parts to send."""
        super().__init__(*arguments, **options)
        self._open_batch: list[ReplyPart] = []

    def _run_text(self, live: LiveRequest, action: SendText) -> None:
        self._note_text(live, action.tokens)
        self._reply(live.reply.text(action.text))

    def _run_finish(self, live: LiveRequest, action: FinishAnswer) -> None:
        REQUESTS.labels(CHAT, 'whole').inc()
        self._count_levels(live, answered=True)
        self._reply(live.reply.finish(action.end))

    def _run_refusal(self, live: LiveRequest, action: RefuseAnswer) -> None:
        REQUESTS.labels(CHAT, action.failure.kind.value).inc()
        self._count_levels(live, answered=False)
        self._reply(live.reply.fail(action.failure))

    def _reply(self, replies: Iterable[Reply]) -> None:
        for reply in replies:
            if isinstance(reply, reply_data):
                self._reply_part(ReplyPart(*reply.args))
            else:
                # Parts that follow must not overtake this event.
                self._open_batch = []
                self.fire(reply, 'caller')

    def _reply_part(self, part: ReplyPart) -> None:
        """Send ``part`` with the others of this turn of the loop."""
        if not self._open_batch:
            self._open_batch = []
            self.fire(reply_data_batch(self._open_batch), 'caller')
            self.fire(reply_batch_closed())
        self._open_batch.append(part)

    @handler('reply_batch_closed')
    def _on_batch_closed(self) -> None:
        self._open_batch = []

    def _note_text(self, live: LiveRequest, tokens: int) -> None:
        now_s = monotonic()
        call = live.request.call
        if not live.had_text:
            live.had_text = True
            self._knowledge.first_token(
                live.working_at, live.cost, prefix_digest(call.prompt)
            )
        if live.last_text_s:
            good = now_s - live.last_text_s <= _TOKEN_GAP_TARGET_S * tokens
            live.good_gaps += good
            live.bad_gaps += not good
        else:
            bucket = prompt_bucket(call.prompt_tokens)
            first_token_s = now_s - call.arrived_s
            FIRST_TOKEN_S.labels(bucket).observe(first_token_s)
            in_time = first_token_s <= _FIRST_TOKEN_TARGET_S
            self._count('first_token', int(in_time), int(not in_time))
        live.last_text_s = now_s

    def _count_levels(self, live: LiveRequest, *, answered: bool) -> None:
        self._count('answered', int(answered), int(not answered))
        self._count('token_gap', live.good_gaps, live.bad_gaps)

    def _count(self, objective: str, good: int, bad: int) -> None:
        self.fire(service_level_counted(objective, good, bad), 'burn')

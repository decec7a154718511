"""Pauses the answers of requests whose callers read too slowly."""

from time import monotonic

from circuits import handler
from eliot import log_message

from ...connection.exchange import (
    HTTP_CLIENT,
    pause_exchange,
    resume_exchange,
)
from ...request.relay.actions import SendAttempt
from .pending_relay import PendingRelay
from .return_runner import ReturnRunner

__all__ = ('AnswerPauses',)


class AnswerPauses(ReturnRunner):
    """Stops reading from the endpoints of a request while its caller is slow.

    A pause concerns all attempts of the request, and ends with it.
    """

    @handler('pause_answer')
    def _on_pause_answer(self, key: str) -> None:
        pending = self._pending.get(key)
        if pending is None:
            return
        pending.flow.caller_pause.begin()
        pending.pauses += 1
        if pending.pauses == 1:
            log_message('answer_paused', request=pending.flow.call.call_id)
        for sent in pending.sent.values():
            self.fire(pause_exchange(sent.exchange_id), HTTP_CLIENT)

    @handler('resume_answer')
    def _on_resume_answer(self, key: str) -> None:
        pending = self._pending.get(key)
        if pending is None:
            return
        pending.flow.caller_pause.end(monotonic())
        for sent in pending.sent.values():
            self.fire(resume_exchange(sent.exchange_id), HTTP_CLIENT)

    def _send(self, pending: PendingRelay, action: SendAttempt) -> None:
        super()._send(pending, action)
        if pending.flow.caller_pause.is_under_way:
            sent = pending.sent[action.attempt.number]
            self.fire(pause_exchange(sent.exchange_id), HTTP_CLIENT)

"""Gives refused callers times to return of their own."""

from dataclasses import replace
from time import monotonic

from ...connection.endpoint_wire_format import EndpointWireFormat
from ...request.relay.actions import ReplyFailure
from ...version.serving_settings import ServingSettings
from ..queueing.return_times import ReturnTimes
from ..timers import Timers
from .pending_relay import PendingRelay
from .runner import ANSWERED, RelayRunner

__all__ = ('ReturnRunner',)


class ReturnRunner(RelayRunner):
    """Spreads the times at which refused callers return, if settings say so."""

    def __init__(
        self,
        settings: ServingSettings,
        boot_id: str,
        timers: Timers,
        wire: EndpointWireFormat,
    ) -> None:
        """Start without refusals."""
        super().__init__(settings, boot_id, timers, wire)
        self._return_times = ReturnTimes()

    def _reply_failure(
        self, pending: PendingRelay, action: ReplyFailure
    ) -> None:
        if self._settings.queueing.short_waits:
            failure = self._return_times.spread(
                monotonic(), pending.flow.call, action.failure
            )
            action = replace(action, failure=failure)
        super()._reply_failure(pending, action)

    def _log_end(
        self, pending: PendingRelay, outcome: str, **fields: object
    ) -> None:
        if outcome == ANSWERED:
            service = pending.flow.call.service
            self._return_times.note_answered(monotonic(), service)
        super()._log_end(pending, outcome, **fields)

"""Reports to the quarantine how engines took the prompts of requests."""

from collections.abc import Callable, Mapping
from typing import Any, Final, final

from circuits import Event

from ...request.relay.actions import (
    RelayAction,
    ReportDecoding,
    ReportFailure,
)
from ...request.relay.flow import DECODING_EVENTS
from ..endpoints.health import Fault
from ..endpoints.part_quarantine import PartEvidence
from ..quarantine_events import (
    QUARANTINE,
    attempt_interrupted,
    endpoint_failed,
    parts_answered,
)
from .pending_relay import PendingRelay

__all__ = ('PromptReports',)

_CRASH_FAULTS: Final = frozenset((Fault.broke_off, Fault.unreachable))


@final
class PromptReports:
    """Fires the events for one relay component."""

    __slots__ = ('_fire',)

    def __init__(self, fire: Callable[[Event, str], object]) -> None:
        """Report with ``fire``, the method of the component."""
        self._fire = fire

    def handlers(
        self,
    ) -> Mapping[type[RelayAction], Callable[[PendingRelay, Any], None]]:
        """Return the handlers of the actions that are only reports."""
        return {ReportDecoding: self._report_decoding}

    def report_failure(
        self, pending: PendingRelay, action: ReportFailure
    ) -> None:
        """Report a failed attempt, and whether it is evidence."""
        if action.fault not in _CRASH_FAULTS:
            return
        endpoint_id = action.attempt.plan.entry.endpoint_id
        self._fire(endpoint_failed(endpoint_id, action.fault.value), QUARANTINE)
        parts = pending.flow.call.shared_parts
        is_early = action.events < DECODING_EVENTS
        if action.fault is Fault.broke_off and is_early and parts:
            evidence = PartEvidence(endpoint_id, parts, action.has_head)
            self._fire(attempt_interrupted(evidence), QUARANTINE)

    def _report_decoding(
        self, pending: PendingRelay, action: ReportDecoding
    ) -> None:
        self._fire(parts_answered(pending.flow.call.shared_parts), QUARANTINE)

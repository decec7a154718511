"""Reports to the learned costs what answers show of them."""

from typing import Final, final

from eliot import log_message

from ...request.relay.actions import Attempt, ReportFailure
from ...request.relay.call import LoadReport
from ...version.serving import EngineProfile, ServingIndex
from ..endpoints.cells import Cells
from ..endpoints.load_table import LoadTable
from ..endpoints.entry import EndpointEntry
from ..endpoints.health import Fault
from ..estimates.cost_estimates import CostEstimates, lifetime_of
from ..metrics import ENDPOINTS_SLOW, ESTIMATE_RATIO
from ..placement.learned import LearnedPlacement
from ..placement.plan import PlacementPolicy
from .pending_relay import AnsweringAttempt, PendingRelay

__all__ = ('CostReports',)

#: Shorter expected times are not compared: they are mostly network delays.
_MIN_EXPECTED_S: Final = 0.001
_PACE_DIGITS: Final = 2


@final
class CostReports:
    """Records observations for the policy that learns from them.

    With any other policy, nothing is recorded.
    """

    __slots__ = ('_cells', '_estimates', '_index', '_load_table')

    def __init__(
        self, policy: PlacementPolicy, load_table: LoadTable, cells: Cells
    ) -> None:
        """Record for ``policy``."""
        self._estimates: CostEstimates | None = None
        if isinstance(policy, LearnedPlacement):
            self._estimates = policy.estimates
        self._load_table = load_table
        self._cells = cells
        self._index: ServingIndex | None = None

    def use_index(self, index: ServingIndex) -> None:
        """Forget the services and routes that are not in ``index``."""
        self._index = index
        if self._estimates is not None:
            routes = frozenset(
                route.name for route in index.configuration.routes
            )
            self._estimates.keep(index.services, routes)

    def update_gauges(self, now_s: float) -> None:
        """Set the gauges that change as time passes, without an event."""
        if self._estimates is None or self._index is None:
            return
        for name in self._index.services:
            ENDPOINTS_SLOW.labels(name).set(
                self._estimates.slow_count(now_s, name)
            )

    def note_report(
        self,
        now_s: float,
        entry: EndpointEntry,
        report: LoadReport | None,
    ) -> None:
        """Record the load that an endpoint reported along with an answer."""
        if self._estimates is None or report is None:
            return
        self._estimates.record_report(
            now_s,
            entry,
            report,
            self._load_table.load(entry.endpoint_id).requests,
            is_in_own_cell=self._cells.is_in_own_cell(entry),
        )

    def note_refused_memory(self, now_s: float, entry: EndpointEntry) -> None:
        """Record that an engine refused to reserve memory."""
        if self._estimates is not None:
            self._estimates.record_refused_memory(now_s, entry)

    def note_first_event(
        self,
        now_s: float,
        pending: PendingRelay,
        attempt: Attempt,
        sent_s: float,
    ) -> None:
        """Record the first event of an answer."""
        pending.answering = AnsweringAttempt(attempt, sent_s, now_s)
        self._note_first_event(now_s, pending, attempt, now_s - sent_s)

    def note_success(
        self, now_s: float, pending: PendingRelay, attempt: Attempt
    ) -> None:
        """Record that an endpoint answered a plain call."""
        sent = pending.sent.get(attempt.number)
        if sent is None or pending.flow.call.route.is_stream:
            return
        pending.answering = AnsweringAttempt(attempt, sent.sent_s, now_s)

    def note_failure(
        self,
        now_s: float,
        pending: PendingRelay,
        action: ReportFailure,
        after_s: float | None,
    ) -> None:
        """Record that an endpoint was silent for too long.

        :param after_s: time since the request was sent, None if it is over.
        """
        is_silent = action.fault is Fault.silent and not action.events
        if is_silent and after_s is not None:
            self._note_first_event(now_s, pending, action.attempt, after_s)

    def note_answer(self, now_s: float, pending: PendingRelay) -> None:
        """Record a complete answer."""
        answering = pending.answering
        if self._estimates is None or answering is None:
            return
        if not pending.flow.call.route.is_stream:
            self._note_call(now_s, pending, answering)
        elif pending.flow.attempt_count == 1 and not pending.pauses:
            self._note_stream(now_s, pending, answering)

    def _note_first_event(
        self,
        now_s: float,
        pending: PendingRelay,
        attempt: Attempt,
        after_s: float,
    ) -> None:
        """Compare the time to a first event, or to now, with the expected one.

        :param after_s: time since the request was sent.
        """
        plan, service = attempt.plan, pending.flow.call.service
        usual_s = plan.usual_first_event_s
        if self._estimates is None or usual_s < _MIN_EXPECTED_S:
            return
        ESTIMATE_RATIO.labels(service).observe(
            after_s / max(plan.expected_first_event_s, _MIN_EXPECTED_S)
        )
        if plan.entry.cold_until_s > now_s:
            self._estimates.record_cold(now_s, service, after_s, usual_s)
            return
        lifetime = lifetime_of(plan.entry)
        was_slow = self._estimates.pace(now_s, service, lifetime) > 1
        self._estimates.record_first_event(
            now_s, service, lifetime, observed_s=after_s, expected_s=usual_s
        )
        pace = self._estimates.pace(now_s, service, lifetime)
        _log_pace(plan.entry.endpoint_id, pace, was_slow=was_slow)

    def _note_call(
        self, now_s: float, pending: PendingRelay, answering: AnsweringAttempt
    ) -> None:
        call, plan = pending.flow.call, answering.attempt.plan
        lifetime = lifetime_of(plan.entry)
        took_s = now_s - answering.sent_s
        ESTIMATE_RATIO.labels(call.service).observe(
            took_s / max(plan.expected_answer_s, _MIN_EXPECTED_S)
        )
        was_slow = self._estimates.call_pace(now_s, call.service, lifetime) > 1
        self._estimates.record_call(
            now_s, call.service, call.route.name, lifetime, took_s
        )
        pace = self._estimates.call_pace(now_s, call.service, lifetime)
        _log_pace(plan.entry.endpoint_id, pace, was_slow=was_slow)

    def _note_stream(
        self, now_s: float, pending: PendingRelay, answering: AnsweringAttempt
    ) -> None:
        call, events = pending.flow.call, pending.flow.event_count
        engine = self._engine(call.service)
        if engine is None or call.resume_after is not None:
            return
        costs = self._estimates.route(call.route.name)
        tokens = call.hinted_tokens or call.output_tokens
        costs.record_length(now_s, events, tokens / engine.steps_per_pass)
        costs.record_duration(now_s, now_s - answering.sent_s)
        if events < 2:
            return
        entry = answering.attempt.plan.entry
        load = self._load_table.load(entry.endpoint_id)
        gap_s = (now_s - answering.first_event_s) / (events - 1)
        self._estimates.record_gap(
            now_s,
            call.service,
            lifetime_of(entry),
            observed_s=gap_s,
            expected_s=engine.pass_s(1 + load.decoding, load.kv_tokens),
        )

    def _engine(self, service: str) -> EngineProfile | None:
        if self._index is None or service not in self._index.services:
            return None
        return self._index.services[service].engine


def _log_pace(endpoint_id: str, pace: float, *, was_slow: bool) -> None:
    """Log that an endpoint has become slow, or usual again."""
    if was_slow != (pace > 1):
        log_message(
            'endpoint_pace_changed',
            endpoint=endpoint_id,
            pace=round(pace, _PACE_DIGITS),
        )

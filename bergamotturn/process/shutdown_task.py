"""Runs the graceful shutdown of the daemon."""

from signal import SIGINT, SIGTERM
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler
from eliot import log_message

from ..version.configuration import Configuration, Deployment, Policy
from .events import (
    ShutdownPhase,
    cut_off_scheduled,
    shutdown_phase_changed,
    stop_requested,
)
from .metrics import RECORDS_GIVEN_UP
from .shutdown import Shutdown
from .timers import Timers

__all__ = ('ShutdownTask',)

#: Maximum time in which the calls that the stop interrupts get their final
#: answers.
_FINAL_ANSWERS_S: Final = 0.1
_FINAL_CHECK_INTERVAL_S: Final = 0.01
#: Longest time after its deadline at which a listener answers an overdue call.
_OVERDUE_ANSWER_S: Final = 1.0


class shutdown_tick(Event):
    """Check whether the next phase is due."""


class final_answers_tick(Event):
    """Stop the process if no final answer is missing, or at ``limit_s``."""


@final
class ShutdownTask(Component):
    """Publishes the phases to all components and stops the process."""

    channel = 'shutdown'

    def __init__(
        self, instance: str, timers: Timers, shutdown: Shutdown | None = None
    ) -> None:
        """Start serving.

        :param shutdown: phases with their limits; by default with the limits
            of an empty configuration.
        """
        super().__init__()
        self._instance = instance
        self._timers = timers
        self._shutdown = shutdown or Shutdown(
            Policy().entry_answer_s, Deployment(model='').deadline_s
        )

    @handler('stop_requested', channel='*')
    def _on_stop_requested(self, *_: object) -> None:
        if self._shutdown.request_stop(monotonic()):
            self.fire(cut_off_scheduled(self._shutdown.cut_off_s), '*')
            self._publish_phase()
            self.fire(shutdown_tick())

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _: object) -> None:
        if number in {SIGTERM, SIGINT}:
            # Settings that were read just before are in force first.
            self.fire(stop_requested(), '*')

    @handler('in_flight_changed', channel='*')
    def _on_in_flight_changed(self, in_flight_requests: int) -> None:
        self._shutdown.update_in_flight(in_flight_requests)

    @handler('records_changed', channel='*')
    def _on_records_changed(self, unanswered: int, unwritten: int) -> None:
        self._shutdown.set_open_records(unanswered, unwritten)

    @handler('configuration_changed', channel='*')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        served = (*configuration.deployments, *configuration.services)
        self._shutdown.raise_limits(
            configuration.policy.entry_answer_s,
            max((part.deadline_s for part in served), default=0)
            + _OVERDUE_ANSWER_S,
        )

    @handler('shutdown_tick')
    def _on_tick(self) -> None:
        now_s = monotonic()
        if self._shutdown.advance(now_s):
            self._publish_phase()
        if self._shutdown.phase == ShutdownPhase.ended:
            self._count_given_up_records()
            self._await_final_answers(now_s + _FINAL_ANSWERS_S)
            return
        self._timers.call_after(
            self._shutdown.next_check_s(now_s) - now_s,
            shutdown_tick(),
            self.channel,
        )

    @handler('final_answers_tick')
    def _on_final_answers_tick(self, limit_s: float) -> None:
        if self._shutdown.is_busy and monotonic() < limit_s:
            self._await_final_answers(limit_s)
        else:
            self.root.stop()

    def _await_final_answers(self, limit_s: float) -> None:
        # The listeners handle the last phase before the first of these ticks.
        self._timers.call_after(
            _FINAL_CHECK_INTERVAL_S, final_answers_tick(limit_s), self.channel
        )

    def _count_given_up_records(self) -> None:
        given_up = self._shutdown.unwritten_records
        if not given_up:
            return
        RECORDS_GIVEN_UP.inc(given_up)
        # Logged too, because no scrape reads a process that ends now.
        log_message(
            'records_given_up', instance=self._instance, records=given_up
        )

    def _publish_phase(self) -> None:
        phase = self._shutdown.phase
        log_message('shutdown_phase', instance=self._instance, phase=phase)
        self.fire(shutdown_phase_changed(phase), '*')

"""Listener for callers whose requests are passed on unchanged."""

from random import SystemRandom
from typing import Final, Protocol, final

from circuits import handler
from eliot import log_message

from ..errors import ErrorKind, Failure
from ..process.events import ShutdownPhase
from ..process.timers import Timers
from ..request.calls import submit_relay
from ..request.relay.call_builder import CallerRequest, build_relay_call
from ..version.serving import ServingConfiguration, ServingIndex
from ..version.settings import Limits
from .call_listener import CallListener
from .exchange import Address
from .input_guard import CompleteRequest
from .web_server import WebCall

__all__ = ('CallerFormat', 'RelayListener')

#: Callers use a connection again up to four fifths of the idle limit that
#: they know, which may be that of an older version.
_IDLE_TIMES: Final = 2.0
#: Shortest idle limit; kept connections cost little memory.
_LEAST_IDLE_S: Final = 60.0


class CallerFormat(Protocol):
    """How callers' requests look on the wire."""

    def read(self, request: CompleteRequest) -> CallerRequest:
        """Return what a complete request says."""


@final
class RelayListener(CallListener):
    """Takes callers' requests and hands them to the relay."""

    takers = ('relay',)

    def __init__(
        self,
        address: Address,
        timers: Timers,
        call_prefix: str,
        form: CallerFormat,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(address, Limits(), timers, call_prefix)
        self._form = form
        self._random = SystemRandom()
        self._index: ServingIndex | None = None
        self._is_leaving = False

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        self._index = ServingIndex(configuration)
        limits = configuration.limits
        self._guard.use_limits(
            Limits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                request_s=limits.head_s,
                idle_s=max(_LEAST_IDLE_S, _IDLE_TIMES * limits.idle_s),
            )
        )

    @handler('shutdown_phase_changed', priority=-1)
    def _on_phase(self, phase: str) -> None:
        self._is_leaving = phase != ShutdownPhase.serving
        for call in self._open.values():
            call.web.response.close |= self._is_leaving

    def _serve(self, call: WebCall) -> None:
        key = self._next_call_id()
        call.response.close |= self._is_leaving
        facts = self._form.read(call.request)
        received = self._receive(facts, key, call.began_s)
        if isinstance(received, Failure):
            log_message(
                'request_refused',
                request=facts.call_id,
                outcome=received.kind.value,
                version=self._version_number(),
                path=facts.path,
            )
            self._answer_failure(call, received)
            return
        self._submit(
            call, key, received.deadline_s, submit_relay(received), 'relay'
        )

    def _receive(self, facts: CallerRequest, key: str, began_s: float):
        if self._is_draining:
            return Failure(ErrorKind.draining)
        return build_relay_call(self._index, facts, key, began_s, self._random)

    def _version_number(self) -> int:
        if self._index is None:
            return 0
        return self._index.configuration.version_number

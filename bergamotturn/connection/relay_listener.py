"""Listener for callers whose requests are relayed unchanged."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import SystemRandom
from time import monotonic
from typing import Final, Protocol, final

from circuits import Component, Event, handler
from eliot import log_message
from msgspec.structs import replace

from ..errors import ErrorKind, Failure
from ..process.events import ShutdownPhase
from ..process.metrics import HELD_AT_START
from ..process.start_gate import StartGate
from ..process.timers import Timers
from ..request.calls import submit_relay
from ..request.relay.call import RelayCall
from ..request.relay.call_builder import CallerRequest, build_relay_call
from ..version.serving import ServingConfiguration, ServingIndex
from .call_listener import CallListener
from .exchange import Address
from .listener_bounds import ListenerBounds
from .request_assembler import CompleteRequest
from .web_server import WebCall

__all__ = ('CallerFormat', 'RelayListener')

#: Callers reuse a connection for up to four fifths of the idle limit that they
#: know, which may come from an older configuration version. The listener keeps
#: connections for longer than that.
_IDLE_LIMIT_FACTOR: Final = 2.0
#: Minimum idle limit; an idle connection costs little memory.
_MIN_IDLE_S: Final = 60.0
_SECONDS_DIGITS: Final = 3
#: Refusals by the configuration after which callers do not retry.
_FINAL_KINDS: Final = frozenset(
    (ErrorKind.unauthorised, ErrorKind.unknown_path)
)


class _gate_closes(Event):
    """Answer the requests that still wait for the first configuration."""


@final
@dataclass(slots=True, frozen=True)
class _HeldCall:
    """A request that waits until the instance can place it."""

    web_call: WebCall
    caller_request: CallerRequest


class CallerFormat(Protocol):
    """Wire format of callers' requests."""

    def read(self, request: CompleteRequest) -> CallerRequest:
        """Parse a complete request."""


@final
class RelayListener(CallListener):
    """Receives callers' requests and submits them to the relay."""

    call_channels = ('relay',)

    def __init__(
        self,
        address: Address,
        timers: Timers,
        call_prefix: str,
        caller_format: CallerFormat,
        bounds: ListenerBounds,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(
            address, bounds.limits, timers, call_prefix, held=bounds.held
        )
        self._limits = bounds.limits
        self._caller_format = caller_format
        self._random = SystemRandom()
        self._index: ServingIndex | None = None
        self._gate = StartGate(monotonic())
        self._held: dict[str, _HeldCall] = {}
        self._is_leaving = False
        self._is_doubted = False
        #: Monotonic time at which the configuration came into force.
        self._in_force_since_s = float(0)

    @handler('registered', channel='*')
    def _on_self_registered(self, component: Component, *_: object) -> None:
        if component is self:
            wait_s = max(0, self._gate.closes_s - monotonic())
            self._timers.call_after(wait_s, _gate_closes(), self.channel)

    @handler('_gate_closes')
    def _on_gate_closes(self) -> None:
        self._serve_held(self._gate.end())

    @handler('endpoints_changed', channel='*')
    def _on_endpoints_changed(self, *_: object) -> None:
        self._serve_held(self._gate.note_endpoints())

    @handler('configuration_doubted', channel='*')
    def _on_configuration_doubted(self, is_doubted: bool) -> None:
        self._is_doubted = is_doubted

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        self._index = ServingIndex(configuration)
        self._in_force_since_s = monotonic()
        limits = configuration.limits
        self._guard.use_limits(
            replace(
                self._limits,
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                request_s=limits.head_s,
                idle_s=max(_MIN_IDLE_S, _IDLE_LIMIT_FACTOR * limits.idle_s),
            )
        )
        self._serve_held(self._gate.note_configuration())

    @handler('shutdown_phase_changed', priority=-1)
    def _on_phase(self, phase: str) -> None:
        self._is_leaving = phase != ShutdownPhase.serving
        for call in self._open_calls.values():
            call.web_call.response.close |= self._is_leaving
        if self._is_leaving:
            self._serve_held(self._gate.end())

    def _serve(self, call: WebCall) -> None:
        call_key = self._next_call_id()
        caller_request = self._caller_format.read(call.request)
        is_held = not self._is_leaving and self._gate.hold(
            monotonic(), call_key, caller_request.wait_s
        )
        if is_held:
            HELD_AT_START.inc()
            log_message('request_held', request=caller_request.call_id)
            self._held[call_key] = _HeldCall(call, caller_request)
            return
        self._place(call, caller_request, call_key)

    def _serve_held(self, call_keys: Iterable[str]) -> None:
        for call_key in call_keys:
            held = self._held.pop(call_key)
            self._place(held.web_call, held.caller_request, call_key)

    def _on_caller_gone(self, call: WebCall) -> None:
        for call_key, held in tuple(self._held.items()):
            if held.web_call is call:
                self._gate.drop(call_key)
                self._held.pop(call_key)
        super()._on_caller_gone(call)

    def _place(
        self, call: WebCall, caller_request: CallerRequest, call_key: str
    ) -> None:
        """Submit a request, or refuse it."""
        call.response.close |= self._is_leaving
        relay_call = self._build_call(caller_request, call_key, call.began_s)
        if isinstance(relay_call, Failure):
            log_message(
                'request_refused',
                request=caller_request.call_id,
                outcome=relay_call.kind.value,
                version=self._version_number(),
                in_force_s=self._in_force_s(call.began_s),
                is_doubted=self._is_doubted,
                host=caller_request.host,
                path=caller_request.path,
            )
            self._answer_failure(call, relay_call)
            return
        self._submit(
            call,
            call_key,
            relay_call.deadline_s,
            submit_relay(relay_call),
            'relay',
        )

    def _build_call(
        self, caller_request: CallerRequest, call_key: str, began_s: float
    ) -> RelayCall | Failure:
        if self._is_draining:
            return Failure(ErrorKind.draining)
        relay_call = build_relay_call(
            self._index, caller_request, call_key, began_s, self._random
        )
        is_refused = isinstance(relay_call, Failure)
        if self._is_doubted and is_refused and relay_call.kind in _FINAL_KINDS:
            # A newer configuration may allow the request.
            return Failure(
                ErrorKind.endpoint_unavailable,
                'The configuration is out of date.',
            )
        return relay_call

    def _in_force_s(self, now_s: float) -> float:
        """Return for how long the configuration is in force, or 0."""
        if self._index is None:
            return 0
        return max(0, round(now_s - self._in_force_since_s, _SECONDS_DIGITS))

    def _version_number(self) -> int:
        if self._index is None:
            return 0
        return self._index.configuration.version_number

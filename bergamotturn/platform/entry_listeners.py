"""Listeners for address resolution and readiness checks.

Callers query the directory for the addresses of instances; the platform asks
each instance whether it is ready.
"""

from http import HTTPStatus
from random import SystemRandom
from typing import Final, final

import msgspec
from circuits import handler

from ..connection.exchange import Address
from ..connection.listener_bounds import ListenerBounds
from ..connection.web_server import WebCall, WebServer
from ..errors import ErrorKind, Failure
from ..process.entry_choice import EntryChoice
from ..process.events import (
    MemberView,
    OrderView,
    ShutdownPhase,
)
from ..process.timers import Timers
from ..version.configuration import Policy

__all__ = ('DirectoryListener', 'ReadyListener')

_RESOLVE_PATH: Final = '/api/resolve'
_READY_PATH: Final = '/api/ready'
#: The platform's limit for one answer.
_MAX_ADDRESSES: Final = 64


@final
class _AddressList(msgspec.Struct):
    """Answer to a caller.

    :param keep_s: how long the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    keep_s: float = msgspec.field(name='ttlS')


@final
class DirectoryListener(WebServer):
    """Answers callers with the addresses of alive instances."""

    channel = 'directory'

    def __init__(
        self,
        address: Address,
        timers: Timers,
        choice: EntryChoice,
        own_address: Address,
        keep_s: float,
        bounds: ListenerBounds,
    ) -> None:
        """Listen on ``address``.

        :param own_address: the answer while no members are known.
        :param keep_s: how long callers may keep an answer.
        """
        super().__init__(address, bounds.limits, timers, held=bounds.held)
        self._choice = choice
        self._own_address = own_address
        self._keep_s = keep_s
        self._random = SystemRandom()
        self._members: MemberView | None = None

    @handler('members_changed')
    def _on_members(self, view: MemberView) -> None:
        self._members = view

    def _serve(self, call: WebCall) -> None:
        if call.request.path != _RESOLVE_PATH:
            self._answer_failure(call, Failure(ErrorKind.unknown_path))
            return
        addresses = tuple(map(str, self._choose_addresses()))
        self._answer_json(call, _AddressList(addresses, self._keep_s))

    def _choose_addresses(self) -> tuple[Address, ...]:
        if self._members is None:
            return (self._own_address,)
        return self._choice.choose(
            self._members,
            OrderView(()),
            Policy(),
            _MAX_ADDRESSES,
            self._random,
        )


@final
class ReadyListener(WebServer):
    """Answers the platform whether this instance is ready to serve.

    It is ready once it has a configuration and endpoints, until it stops.
    """

    channel = 'ready'

    def __init__(
        self, address: Address, timers: Timers, bounds: ListenerBounds
    ) -> None:
        """Listen on ``address``, not ready yet."""
        super().__init__(address, bounds.limits, timers, held=bounds.held)
        self._has_configuration = False
        self._has_endpoints = False
        self._is_stopping = False

    @handler('serving_changed')
    def _on_serving_changed(self, *_: object) -> None:
        self._has_configuration = True

    @handler('endpoints_changed')
    def _on_endpoints_changed(self, *_: object) -> None:
        self._has_endpoints = True

    @handler('shutdown_phase_changed')
    def _on_phase(self, phase: str) -> None:
        self._is_stopping = phase != ShutdownPhase.serving

    def _serve(self, call: WebCall) -> None:
        kind = self._refusal(call.request.path)
        if kind is None:
            self._answer(call, HTTPStatus.OK, b'')
        else:
            self._answer_failure(call, Failure(kind))

    def _refusal(self, path: str) -> ErrorKind | None:
        if path != _READY_PATH:
            return ErrorKind.unknown_path
        if self._is_stopping:
            return ErrorKind.draining
        if self._has_configuration and self._has_endpoints:
            return None
        return ErrorKind.endpoint_unavailable

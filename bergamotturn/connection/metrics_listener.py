"""Listener that exposes the metrics for Prometheus on its own address."""

from http import HTTPStatus
from typing import Final, final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..errors import ErrorKind, Failure
from ..process.timers import Timers
from .exchange import Address, Header
from .listener_bounds import ListenerBounds
from .web_server import WebCall, WebServer

__all__ = ('MetricsListener',)

_PATH: Final = '/metrics'


@final
class MetricsListener(WebServer):
    """Serves the metrics of the process without authentication."""

    channel = 'metrics'

    def __init__(
        self, address: Address, timers: Timers, bounds: ListenerBounds
    ) -> None:
        """Listen on ``address``."""
        super().__init__(address, bounds.limits, timers, held=bounds.held)

    def _serve(self, call: WebCall) -> None:
        if call.request.path != _PATH:
            self._answer_failure(call, Failure(ErrorKind.unknown_path))
            return
        content_type = Header('Content-Type', CONTENT_TYPE_LATEST)
        self._answer(call, HTTPStatus.OK, generate_latest(), (content_type,))

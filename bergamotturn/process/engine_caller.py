"""Base class of the components that make control calls to engines."""

from collections.abc import Iterable
from time import monotonic

from circuits import Component, handler

from ..connection.engine_control import CallAnswer, EngineCalls
from ..connection.exchange import (
    HTTP_CLIENT,
    Exchange,
    Header,
    start_exchange,
)

__all__ = ('EngineCaller',)


class EngineCaller(Component):
    """Component that makes control calls and collects their answers."""

    def __init__(self) -> None:
        """Start without a pending call."""
        super().__init__()
        self._calls = EngineCalls()

    @handler('exchange_head')
    def _on_exchange_head(
        self, exchange: Exchange, status: int, headers: Iterable[Header]
    ) -> None:
        self._calls.head(exchange, status)

    @handler('exchange_data')
    def _on_exchange_data(self, exchange: Exchange, body: bytes) -> None:
        self._calls.chunk(exchange, body)

    @handler('exchange_end')
    def _on_exchange_end(self, exchange: Exchange) -> None:
        answer = self._calls.end(exchange)
        if answer is not None:
            self._on_answer(answer)

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: object, sent: object
    ) -> None:
        answer = self._calls.failed(exchange)
        if answer is not None:
            self._on_answer(answer)

    def _call_engine(self, call: Exchange, label: str, endpoint: str) -> None:
        """Make a call unless one with the same label is pending."""
        if self._calls.is_open(label, endpoint):
            return
        self._calls.opened(call, label, endpoint, monotonic())
        self.fire(start_exchange(call), HTTP_CLIENT)

    def _on_answer(self, answer: CallAnswer) -> None:
        """Process a call that ended; its body is ``None`` when it failed."""
        raise NotImplementedError

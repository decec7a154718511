"""Load of all instances at the endpoints, as far as this instance knows it.

Every instance sends others an update message when it sends a request, when the
prefill of its prompt is complete and when it ends. Each message has a sequence
number, which its sender counts for each cell of receivers, so that a lost one
is noticed and the sender's full list is requested.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Final, final

from msgspec import UNSET

from ...connection.peer_messages import (
    WorkBegan,
    WorkEnded,
    WorkRead,
    WorkReport,
)
from .endpoint_load import EndpointLoad, RequestLoad

__all__ = ('LoadTable', 'WorkUpdate')

_MS: Final = 1000.0

WorkUpdate = WorkBegan | WorkRead | WorkEnded


@final
@dataclass(slots=True, eq=False)
class _PendingRequest:
    """One request and its load at the endpoints.

    :param expires_s: monotonic time at which it is over in any case.
    """

    began: WorkBegan
    expires_s: float
    is_prefilled: bool = False


@final
class LoadTable:
    """Pending requests of all instances and the load of each endpoint."""

    __slots__ = ('_loads', '_pending', '_sequence_numbers')

    def __init__(self) -> None:
        """Start empty."""
        self._pending: dict[str, dict[int, _PendingRequest]] = {}
        self._sequence_numbers: dict[str, int] = {}
        self._loads: dict[str, EndpointLoad] = {}

    def load(self, endpoint: str) -> EndpointLoad:
        """Return the load of ``endpoint``."""
        load = self._loads.get(endpoint)
        if load is None:
            load = EndpointLoad()
            self._loads[endpoint] = load
        return load

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop the load of a removed endpoint if it is idle."""
        load = self._loads.get(endpoint)
        if load is not None and load.is_idle:
            self._loads.pop(endpoint)

    def apply(self, now_s: float, instance: str, update: WorkUpdate) -> bool:
        """Apply an update of another instance.

        :returns: false when earlier updates of that instance are missing.
        """
        expected = self._sequence_numbers.get(instance, 0) + 1
        self._sequence_numbers[instance] = update.place
        self.apply_own(now_s, instance, update)
        return update.place == expected

    def apply_own(
        self, now_s: float, instance: str, update: WorkUpdate
    ) -> None:
        """Apply an update without checking its sequence number.

        This is for updates of this instance, of which none is ever missing.
        """
        pending = self._pending.setdefault(instance, {})
        if isinstance(update, WorkBegan):
            self._remove_request(now_s, instance, pending, update.work)
            self._add_request(now_s, instance, pending, update)
        elif isinstance(update, WorkRead):
            self._note_prefilled(now_s, instance, pending, update.work)
        else:
            self._remove_request(now_s, instance, pending, update.work)

    def apply_report(
        self, now_s: float, instance: str, report: WorkReport
    ) -> None:
        """Replace the pending requests of an instance by its full list."""
        if report.place < self._sequence_numbers.get(instance, 0):
            # A later update came before the report; the gap between remains.
            return
        self.drop_instance(now_s, instance)
        self._sequence_numbers[instance] = report.place
        pending = self._pending.setdefault(instance, {})
        for began in report.works:
            self._add_request(now_s, instance, pending, began)
        for number in report.read:
            self._note_prefilled(now_s, instance, pending, number)

    def report(self, instance: str, sequence_number: int) -> WorkReport:
        """Return all pending requests of ``instance``.

        :param sequence_number: of the last update sent to the requester.
        """
        pending = self._pending.get(instance, {})
        return WorkReport(
            place=sequence_number,
            works=tuple(request.began for request in pending.values()),
            read=tuple(
                number
                for number, request in pending.items()
                if request.is_prefilled
            ),
        )

    def drop_instance(self, now_s: float, instance: str) -> None:
        """Drop the requests of an instance that is gone or restarted."""
        pending = self._pending.pop(instance, {})
        self._sequence_numbers.pop(instance, None)
        for number in tuple(pending):
            self._remove_request(now_s, instance, pending, number)

    def expire(self, now_s: float) -> int:
        """Drop requests that must be over although no update said so.

        :returns: the number of dropped requests.
        """
        dropped = 0
        for instance, pending in self._pending.items():
            overdue = [
                number
                for number, request in pending.items()
                if request.expires_s < now_s
            ]
            dropped += len(overdue)
            for number in overdue:
                self._remove_request(now_s, instance, pending, number)
        return dropped

    def instances(self) -> Iterable[str]:
        """Return the instances with known requests."""
        return tuple(self._pending)

    def _add_request(
        self,
        now_s: float,
        instance: str,
        pending: dict[int, _PendingRequest],
        began: WorkBegan,
    ) -> None:
        pending[began.work] = _PendingRequest(
            began, now_s + began.lasts_ms / _MS
        )
        for share in began.shares:
            request_load = RequestLoad(
                runs=share.runs,
                is_long=began.is_long,
                prefill_s=share.read_ms / _MS,
                kv_tokens=share.kv_tokens,
                due_s=now_s + began.due_ms / _MS,
                max_token_gap_s=began.pause_ms / _MS or inf,
                ends_s=_ends_s(now_s, began),
            )
            key = (instance, began.work)
            self.load(share.endpoint).add(now_s, key, request_load)

    def _note_prefilled(
        self,
        now_s: float,
        instance: str,
        pending: dict[int, _PendingRequest],
        number: int,
    ) -> None:
        request = pending.get(number)
        if request is None or request.is_prefilled:
            return
        request.is_prefilled = True
        for share in request.began.shares:
            self.load(share.endpoint).note_prefilled(now_s, (instance, number))

    def _remove_request(
        self,
        now_s: float,
        instance: str,
        pending: dict[int, _PendingRequest],
        number: int,
    ) -> None:
        request = pending.pop(number, None)
        if request is None:
            return
        for share in request.began.shares:
            self.load(share.endpoint).remove(now_s, (instance, number))


def _ends_s(now_s: float, began: WorkBegan) -> float:
    """Return when the answer is expected to end, infinite if not told."""
    if began.answer_ms is UNSET:
        return inf
    return now_s + began.answer_ms / _MS

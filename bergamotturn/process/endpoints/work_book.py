"""All work that instances have at endpoints, as far as it is known here.

Every instance tells others when it sends a request, when its prompt is read
and when it is over. Each message has a place in its sender's series for the
receiver's cell, so that a lost one is noticed and the sender's whole list
asked for.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Final, final

from ...connection.peer_messages import (
    WorkBegan,
    WorkEnded,
    WorkRead,
    WorkReport,
)
from .endpoint_load import EndpointLoad, WorkPart

__all__ = ('WorkBook', 'WorkNews')

_MS: Final = 1000.0

WorkNews = WorkBegan | WorkRead | WorkEnded


@final
@dataclass(slots=True, eq=False)
class _Work:
    """One request at its endpoints."""

    began: WorkBegan
    ends_s: float
    is_read: bool = False


@final
class WorkBook:
    """Work of all instances, by endpoint."""

    __slots__ = ('_loads', '_places', '_works')

    def __init__(self) -> None:
        """Start empty."""
        self._works: dict[str, dict[int, _Work]] = {}
        self._places: dict[str, int] = {}
        self._loads: dict[str, EndpointLoad] = {}

    def load(self, endpoint: str) -> EndpointLoad:
        """Return the work at ``endpoint``."""
        load = self._loads.get(endpoint)
        if load is None:
            load = EndpointLoad()
            self._loads[endpoint] = load
        return load

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        load = self._loads.get(endpoint)
        if load is not None and load.is_idle:
            self._loads.pop(endpoint)

    def take(self, now_s: float, instance: str, news: WorkNews) -> bool:
        """Take news of another instance.

        :returns: false when earlier news of that instance are missing.
        """
        expected = self._places.get(instance, 0) + 1
        self._places[instance] = news.place
        self.note(now_s, instance, news)
        return news.place == expected

    def note(self, now_s: float, instance: str, news: WorkNews) -> None:
        """Take news of this instance, which has all of them."""
        works = self._works.setdefault(instance, {})
        if isinstance(news, WorkBegan):
            self._end(now_s, instance, works, news.work)
            self._begin(now_s, instance, works, news)
        elif isinstance(news, WorkRead):
            self._read(now_s, instance, works, news.work)
        else:
            self._end(now_s, instance, works, news.work)

    def take_report(
        self, now_s: float, instance: str, report: WorkReport
    ) -> None:
        """Replace what is known of an instance's work."""
        if report.place < self._places.get(instance, 0):
            # News that followed the report came first; its gap is still open.
            return
        self.drop_instance(now_s, instance)
        self._places[instance] = report.place
        works = self._works.setdefault(instance, {})
        for began in report.works:
            self._begin(now_s, instance, works, began)
        for work in report.read:
            self._read(now_s, instance, works, work)

    def report(self, instance: str, place: int) -> WorkReport:
        """Return all work of ``instance``.

        :param place: of the last news that the asker was sent.
        """
        works = self._works.get(instance, {})
        return WorkReport(
            place=place,
            works=tuple(work.began for work in works.values()),
            read=tuple(
                number for number, work in works.items() if work.is_read
            ),
        )

    def drop_instance(self, now_s: float, instance: str) -> None:
        """Forget the work of an instance that is gone or started anew."""
        works = self._works.pop(instance, {})
        self._places.pop(instance, None)
        for number in tuple(works):
            self._end(now_s, instance, works, number)

    def expire(self, now_s: float) -> int:
        """Drop work that must be over though nobody said so.

        :returns: how much there was.
        """
        dropped = 0
        for instance, works in self._works.items():
            overdue = [
                number for number, work in works.items() if work.ends_s < now_s
            ]
            dropped += len(overdue)
            for number in overdue:
                self._end(now_s, instance, works, number)
        return dropped

    def instances(self) -> Iterable[str]:
        """Return the instances whose work is known."""
        return tuple(self._works)

    def _begin(
        self,
        now_s: float,
        instance: str,
        works: dict[int, _Work],
        began: WorkBegan,
    ) -> None:
        works[began.work] = _Work(began, now_s + began.lasts_ms / _MS)
        for share in began.shares:
            part = WorkPart(
                runs=share.runs,
                is_long=began.is_long,
                read_s=share.read_ms / _MS,
                kv_tokens=share.kv_tokens,
                due_s=now_s + began.due_ms / _MS,
                pause_s=began.pause_ms / _MS or inf,
            )
            key = (instance, began.work)
            self.load(share.endpoint).add(now_s, key, part)

    def _read(
        self, now_s: float, instance: str, works: dict[int, _Work], number: int
    ) -> None:
        work = works.get(number)
        if work is None or work.is_read:
            return
        work.is_read = True
        for share in work.began.shares:
            self.load(share.endpoint).note_read(now_s, (instance, number))

    def _end(
        self, now_s: float, instance: str, works: dict[int, _Work], number: int
    ) -> None:
        work = works.pop(number, None)
        if work is None:
            return
        for share in work.began.shares:
            self.load(share.endpoint).remove(now_s, (instance, number))

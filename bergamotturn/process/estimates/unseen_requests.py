"""Requests at endpoints that this instance has no update on.

Endpoints report their load along with answers. What exceeds the known requests
was sent by instances of other cells, or its update was lost.
"""

from dataclasses import dataclass
from typing import Final, final

from ..endpoints.entry import EndpointEntry
from .decayed_mean import DecayedMean

__all__ = ('UnseenRequests', 'lifetime_of')

#: Half of the requests of usual lengths are over in about two seconds.
_HALF_LIFE_S: Final = 2.0
_HALF: Final = 0.5
#: Weight of the assumption that endpoints of other cells are idle, in reports.
_PRIOR_WEIGHT: Final = 0.25
#: Requests that a report may exceed the known ones by in the own cell, since
#: their updates take a while.
_UPDATE_SLACK: Final = 1
#: Endpoints whose reports are kept; the planned fleet has 720.
_MAX_ENDPOINTS: Final = 1024
#: Data centres whose means are kept.
_MAX_DATA_CENTRES: Final = 64


@final
@dataclass(slots=True, frozen=True)
class _Report:
    """Unseen requests at one endpoint at one time."""

    at_s: float
    unseen: float


@final
class UnseenRequests:
    """Unseen requests by lifetime of an endpoint of one service."""

    __slots__ = ('_means', '_reports')

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        #: Means over the endpoints of other cells, by data centre.
        self._means: dict[str, DecayedMean] = {}

    def record(
        self,
        now_s: float,
        entry: EndpointEntry,
        unseen: float,
        *,
        is_in_own_cell: bool,
    ) -> None:
        """Record the excess of a report over the known requests."""
        if is_in_own_cell:
            unseen -= _UPDATE_SLACK
        unseen = max(0, unseen)
        if not is_in_own_cell:
            self._add_to_mean(now_s, entry.data_centre, unseen)
        lifetime = lifetime_of(entry)
        self._reports.pop(lifetime, None)
        self._reports[lifetime] = _Report(now_s, unseen)
        if len(self._reports) > _MAX_ENDPOINTS:
            self._reports.pop(next(iter(self._reports)))

    def count(
        self, now_s: float, entry: EndpointEntry, *, is_in_own_cell: bool
    ) -> float:
        """Return the expected number of unseen requests at an endpoint.

        The last report passes over into the mean of the data centre's other
        cells, or into none in the own cell.
        """
        mean = None if is_in_own_cell else self._means.get(entry.data_centre)
        usual = mean.mean(now_s, 0, _PRIOR_WEIGHT) if mean else 0
        report = self._reports.get(lifetime_of(entry))
        if report is None:
            return usual
        weight = _HALF ** (max(0, now_s - report.at_s) / _HALF_LIFE_S)
        return weight * report.unseen + (1 - weight) * usual

    def _add_to_mean(
        self, now_s: float, data_centre: str, unseen: float
    ) -> None:
        mean = self._means.pop(data_centre, DecayedMean(_HALF_LIFE_S))
        self._means[data_centre] = mean
        mean.add(now_s, unseen)
        if len(self._means) > _MAX_DATA_CENTRES:
            self._means.pop(next(iter(self._means)))


def lifetime_of(entry: EndpointEntry) -> str:
    """Return the key of an endpoint from one start to the next one.

    An endpoint that started anew begins with the estimates of its service.
    """
    return f'{entry.endpoint_id}@{entry.born_unix_ms}'

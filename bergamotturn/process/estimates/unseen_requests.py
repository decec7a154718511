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
#: A low report is out of date sooner: all instances that saw one send there.
_LOW_HALF_LIFE_S: Final = 0.5
#: A burst fills the engines of a data centre within about a second.
_MEAN_HALF_LIFE_S: Final = 1.0
_HALF: Final = 0.5
#: Reports that the assumption on a data centre without reports counts for.
_PRIOR_WEIGHT: Final = 1.0
#: Requests that a report may exceed the known ones by in the own cell, since
#: their updates take a while.
_UPDATE_SLACK: Final = 1
#: Endpoints whose reports are kept; the planned fleet has 720.
_MAX_ENDPOINTS: Final = 1024
#: Means that are kept: data centres, each with its warm and cold endpoints.
_MAX_MEANS: Final = 128


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
        #: Means over the endpoints of other cells, by data centre and whether
        #: they are cold, since cold ones get less.
        self._means: dict[tuple[str, bool], DecayedMean] = {}

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
            self._add_to_mean(now_s, entry, unseen)
        lifetime = lifetime_of(entry)
        self._reports.pop(lifetime, None)
        self._reports[lifetime] = _Report(now_s, unseen)
        if len(self._reports) > _MAX_ENDPOINTS:
            self._reports.pop(next(iter(self._reports)))

    def count(
        self,
        now_s: float,
        entry: EndpointEntry,
        *,
        is_in_own_cell: bool,
        prior: float,
    ) -> float:
        """Return the expected number of unseen requests at an endpoint.

        The last report passes over into what is usual in the data centre's
        other cells, or into none in the own cell.

        :param prior: what is usual in a data centre without reports.
        """
        usual: float = 0
        if not is_in_own_cell:
            usual = self._usual(now_s, entry, prior)
        report = self._reports.get(lifetime_of(entry))
        if report is None:
            return usual
        is_low = report.unseen < usual
        half_life_s = _LOW_HALF_LIFE_S if is_low else _HALF_LIFE_S
        weight = _HALF ** (max(0, now_s - report.at_s) / half_life_s)
        return weight * report.unseen + (1 - weight) * usual

    def _usual(self, now_s: float, entry: EndpointEntry, prior: float) -> float:
        """Return an upper estimate for an endpoint without a report.

        The endpoint with the least expected load is chosen, which is likely to
        be one whose load is underestimated.
        """
        mean = self._means.get(_group(now_s, entry))
        if mean is None:
            return prior
        return mean.mean(now_s, prior, _PRIOR_WEIGHT) + mean.spread(
            now_s, 0, _PRIOR_WEIGHT
        )

    def _add_to_mean(
        self, now_s: float, entry: EndpointEntry, unseen: float
    ) -> None:
        group = _group(now_s, entry)
        mean = self._means.pop(group, DecayedMean(_MEAN_HALF_LIFE_S))
        self._means[group] = mean
        mean.add(now_s, unseen)
        if len(self._means) > _MAX_MEANS:
            self._means.pop(next(iter(self._means)))


def lifetime_of(entry: EndpointEntry) -> str:
    """Return the key of an endpoint from one start to the next one.

    An endpoint that started anew begins with the estimates of its service.
    """
    return f'{entry.endpoint_id}@{entry.born_unix_ms}'


def _group(now_s: float, entry: EndpointEntry) -> tuple[str, bool]:
    return (entry.data_centre, entry.cold_until_s > now_s)

"""The endpoints that this instance knows, and which of them may get work."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ...request.relay.call import EndpointNotice
from ...version.serving import ServedService
from ..placement.plan import PlacementCandidate, rank_of
from .address_owners import AddressOwners
from .cells import Cells
from .cold_limiter import ColdEndpointLimiter
from .entry import EndpointEntry
from .entry_order import EntryOrder
from .health import EndpointHealth, Fault
from .known_endpoint import KnownEndpoint, RemovedEndpoints
from .load_table import LoadTable
from .rate_limits import RateLimits

__all__ = ('EndpointTable', 'Exclusions')

#: When less than this share of a service's endpoints is left, ejected ones are
#: used after all, since isolated failures may hit half of them.
_MIN_HEALTHY_SHARE: Final = 0.34
#: Longest pause that an endpoint may ask for.
_MAX_PAUSE_S: Final = 300.0
#: Number of unreachable endpoints of a data centre at which the others there
#: count as unreachable too: more than separate crashes cause, and few enough
#: to detect early that a data centre is cut off.
_MIN_CUT_OFF_ENDPOINTS: Final = 3
_MIN_CUT_OFF_SHARE: Final = 0.2


@final
@dataclass(slots=True)
class Exclusions:
    """Number of excluded endpoints of a service, by reason."""

    leaving: int = 0
    out: int = 0
    tried: int = 0
    replaced: int = 0
    cut_off: int = 0
    cold: int = 0
    limited: int = 0
    paused: int = 0
    alone: int = 0

    def as_fields(self) -> dict[str, int]:
        """Return the counts other than zero, for logs."""
        return {
            name: getattr(self, name)
            for name in self.__slots__
            if getattr(self, name)
        }


@final
class EndpointTable:
    """Entries, health and load of all endpoints."""

    def __init__(
        self, load_table: LoadTable, limiter: ColdEndpointLimiter, cells: Cells
    ) -> None:
        """Start without endpoints."""
        self._cells = cells
        self.load_table = load_table
        self.cold_limiter = limiter
        self.rate_limits = RateLimits()
        self._known: dict[str, KnownEndpoint] = {}
        self.removed = RemovedEndpoints()
        self.entry_order = EntryOrder()
        self._out_of_service: frozenset[str] = frozenset()
        self.addresses = AddressOwners()

    def entries(self) -> Iterable[EndpointEntry]:
        """Return the entries of all known endpoints."""
        return tuple(known.entry for known in self._known.values())

    def entry(
        self, endpoint_id: str, *, with_removed: bool = False
    ) -> EndpointEntry | None:
        """Return the entry of an endpoint, or ``None`` if it is unknown.

        :param with_removed: whether to return also one that was removed.
        """
        known = self._known.get(endpoint_id)
        if known is None and with_removed:
            known = self.removed.get(endpoint_id)
        return None if known is None else known.entry

    def put(self, entry: EndpointEntry) -> bool:
        """Add or replace an entry.

        An entry of a later start resets the endpoint's health and what it
        said of itself, one that comes back its health only.

        :returns: false if the entry is older than the newest known one, also
            of an endpoint that was removed, and was ignored.
        """
        newest = self.entry(entry.endpoint_id, with_removed=True)
        if not self.entry_order.accepts(entry, newest):
            return False
        known = self._known.get(entry.endpoint_id)
        if known is None:
            known = self.removed.take(entry)
            if known is None:
                self.rate_limits.forget(entry.endpoint_id)
                known = KnownEndpoint(entry, rank_of(entry.endpoint_id))
            self._known[entry.endpoint_id] = known
        else:
            self.addresses.remove(known.entry)
            if entry.born_unix_ms != known.entry.born_unix_ms:
                known.health = EndpointHealth()
                known.is_leaving = False
                known.paused_until_s = float('-inf')
                self.rate_limits.forget(entry.endpoint_id)
            known.entry = entry
        self.addresses.add(entry)
        return True

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint that is gone."""
        self.entry_order.forget(endpoint_id)
        known = self._known.pop(endpoint_id, None)
        if known is None:
            return
        self.addresses.remove(known.entry)
        for forgotten in self.removed.add(known):
            self.load_table.forget_endpoint(forgotten)
            self.rate_limits.forget(forgotten)

    def mark_out_of_service(self, data_centres: frozenset[str]) -> None:
        """Exclude the endpoints of exactly these data centres."""
        self._out_of_service = data_centres

    def note_sent(self, now_s: float, endpoint_id: str) -> None:
        """Count a request that this instance sent to the endpoint."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.own_requests.record(now_s)

    def record_success(self, endpoint_id: str) -> None:
        """Record a successful answer."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.health.record_success()

    def record_failure(
        self, now_s: float, endpoint_id: str, fault: Fault
    ) -> float:
        """Record a failure that this instance saw and eject the endpoint.

        :returns: the ejection time from now on, 0 if the endpoint is unknown.
        """
        known = self._known.get(endpoint_id)
        return 0 if known is None else known.health.record_failure(now_s, fault)

    def eject(
        self, now_s: float, endpoint_id: str, for_s: float, reason: str
    ) -> None:
        """Eject an endpoint as another instance reported."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.health.eject(now_s + for_s, reason)

    def usable_entries(
        self, now_s: float, service: ServedService
    ) -> Iterable[EndpointEntry]:
        """Return the entries of warm endpoints that may get work now."""
        cut_off = _cut_off_centres(now_s, service, self._known.values())
        unusable = cut_off | self._out_of_service
        return tuple(
            known.entry
            for known in self._known.values()
            if known.entry.service == service.name
            and known.entry.data_centre not in unusable
            and known.is_sound(now_s)
            and not self.addresses.is_replaced(known.entry)
        )

    def ejected_count(self, now_s: float, service: str) -> int:
        """Return the number of ejected endpoints of a service."""
        return sum(
            known.health.is_ejected(now_s)
            for known in self._known.values()
            if known.entry.service == service
        )

    def note_notice(
        self, now_s: float, endpoint_id: str, notice: EndpointNotice
    ) -> bool:
        """Record what an endpoint said of the requests that it takes.

        :returns: whether it said for the first time that it is leaving.
        """
        known = self._known.get(endpoint_id) or self.removed.get(endpoint_id)
        if known is None:
            return False
        if notice.pause_s:
            paused_until_s = now_s + min(notice.pause_s, _MAX_PAUSE_S)
            known.paused_until_s = max(known.paused_until_s, paused_until_s)
        was_leaving = known.is_leaving
        known.is_leaving = was_leaving or notice.is_leaving
        return known.is_leaving and not was_leaving

    def wait_s(self, now_s: float, service: str) -> float:
        """Return the time after which an endpoint may take a request again.

        Counted are endpoints that take none now because of what they said.
        """
        waits_s = (
            max(
                known.paused_until_s - now_s,
                self.rate_limits.wait_s(now_s, known.entry.endpoint_id),
            )
            for known in self._known.values()
            if known.entry.service == service
        )
        return min((wait_s for wait_s in waits_s if wait_s > 0), default=0)

    def candidates(
        self,
        now_s: float,
        service: ServedService,
        tried: frozenset[str],
        *,
        with_limited: bool = False,
    ) -> tuple[list[PlacementCandidate], Exclusions]:
        """Return the endpoints of a service that may get a request now.

        :param tried: ids of endpoints that the request was already sent to.
        :param with_limited: whether to return also endpoints with a rate limit
            for which a permit is missing and may be asked for.
        """
        excluded = Exclusions()
        eligible = [
            known
            for known in self._known.values()
            if known.entry.service == service.name
            and self._is_eligible(now_s, service, known, tried, excluded)
            and self._is_within_rate_limit(
                now_s, known, excluded, with_limited=with_limited
            )
        ]
        healthy = [
            known for known in eligible if not known.health.is_ejected(now_s)
        ]
        excluded.alone = len(eligible) - len(healthy)
        if len(healthy) < len(eligible) * _MIN_HEALTHY_SHARE:
            healthy = eligible
        cut_off = _cut_off_centres(now_s, service, self._known.values())
        reachable = [
            known for known in healthy if known.entry.data_centre not in cut_off
        ]
        if len(reachable) >= len(eligible) * _MIN_HEALTHY_SHARE:
            excluded.cut_off = len(healthy) - len(reachable)
            healthy = reachable
        return [
            PlacementCandidate(
                known.entry,
                self.load_table.load(known.entry.endpoint_id),
                known.rank,
                known.entry.cold_until_s > now_s,
                self._cells.is_in_own_cell(known.entry),
            )
            for known in healthy
        ], excluded

    def _is_eligible(
        self,
        now_s: float,
        service: ServedService,
        known: KnownEndpoint,
        tried: frozenset[str],
        excluded: Exclusions,
    ) -> bool:
        entry = known.entry
        if entry.is_leaving or known.is_leaving:
            excluded.leaving += 1
            return False
        if now_s < known.paused_until_s:
            excluded.paused += 1
            return False
        if entry.data_centre in self._out_of_service:
            excluded.out += 1
            return False
        if entry.endpoint_id in tried:
            excluded.tried += 1
            return False
        if self.addresses.is_replaced(entry):
            excluded.replaced += 1
            return False
        if self._is_within_cold_limit(now_s, service, known):
            return True
        excluded.cold += 1
        return False

    def _is_within_rate_limit(
        self,
        now_s: float,
        known: KnownEndpoint,
        excluded: Exclusions,
        *,
        with_limited: bool,
    ) -> bool:
        endpoint_id = known.entry.endpoint_id
        if self.rate_limits.may_send(now_s, endpoint_id):
            return True
        if with_limited and self.rate_limits.may_ask(now_s, endpoint_id):
            return True
        excluded.limited += 1
        return False

    def _is_within_cold_limit(
        self, now_s: float, service: ServedService, known: KnownEndpoint
    ) -> bool:
        load = self.load_table.load(known.entry.endpoint_id)
        return self.cold_limiter.allows(
            service,
            known.entry.endpoint_id,
            load.recent_requests(now_s),
            known.own_requests.count(now_s),
            is_cold=known.entry.cold_until_s > now_s,
        )


def _cut_off_centres(
    now_s: float, service: ServedService, endpoints: Iterable[KnownEndpoint]
) -> set[str]:
    """Return the data centres whose endpoints seem to be unreachable."""
    listed: Counter[str] = Counter()
    unreachable: Counter[str] = Counter()
    for known in endpoints:
        if known.entry.service != service.name:
            continue
        centre = known.entry.data_centre
        listed[centre] += 1
        unreachable[centre] += known.health.is_unreachable(now_s)
    return {
        centre
        for centre, count in unreachable.items()
        if count
        >= max(_MIN_CUT_OFF_ENDPOINTS, _MIN_CUT_OFF_SHARE * listed[centre])
    }

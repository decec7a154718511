"""The endpoints that this instance knows, and which of them may get work."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, final

from ...connection.exchange import Address
from ...version.serving import ServedService
from ..placement.plan import Candidate, rank_of
from .cells import Cells
from .cold_guard import ColdGuard
from .endpoint_load import RATE_SPAN_S
from .entry import EndpointEntry
from .health import EndpointHealth, Fault
from .recent_count import RecentCount
from .work_book import WorkBook

__all__ = ('EndpointTable', 'Exclusions')

#: Endpoints that failed lately are used after all when fewer than this share
#: of a service's endpoints is left: isolated faults may hit half of them.
_LEAST_HEALTHY_SHARE: Final = 0.34
#: Unreached endpoints of a data centre from which the others there count as
#: unreached too: more than single crashes make, few enough to find early.
_LEAST_CUT_OFF: Final = 3
_CUT_OFF_SHARE: Final = 0.2


@final
@dataclass(slots=True)
class Exclusions:
    """How many endpoints of a service are out of the choice, and why."""

    leaving: int = 0
    out: int = 0
    tried: int = 0
    replaced: int = 0
    cut_off: int = 0
    cold: int = 0
    alone: int = 0

    def as_fields(self) -> dict[str, int]:
        """Return the reasons that apply, for logs."""
        return {
            name: getattr(self, name)
            for name in self.__slots__
            if getattr(self, name)
        }


@final
@dataclass(slots=True, eq=False)
class _Known:
    """What is known of one endpoint.

    :param own_sent: this instance's requests there.
    """

    entry: EndpointEntry
    rank: int
    health: EndpointHealth = field(default_factory=EndpointHealth)
    own_sent: RecentCount = field(
        default_factory=lambda: RecentCount(RATE_SPAN_S)
    )


@final
class EndpointTable:
    """Entries, health and load of all endpoints."""

    def __init__(self, work: WorkBook, guard: ColdGuard, cells: Cells) -> None:
        """Start without endpoints."""
        self._cells = cells
        self.work = work
        self.guard = guard
        self._known: dict[str, _Known] = {}
        self._out: frozenset[str] = frozenset()
        #: Id of the endpoint that started last at each address. Entries of
        #: crashed ones stay listed for some seconds.
        self._newest_at: dict[Address, str] = {}

    def entries(self) -> Iterable[EndpointEntry]:
        """Return all known endpoints."""
        return tuple(known.entry for known in self._known.values())

    def entry(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the endpoint with this id."""
        known = self._known.get(endpoint_id)
        return None if known is None else known.entry

    def put(self, entry: EndpointEntry) -> bool:
        """Take a new or changed entry.

        :returns: false for one of an earlier start than the known one.
        """
        known = self._known.get(entry.endpoint_id)
        if known is None:
            self._known[entry.endpoint_id] = _Known(
                entry, rank_of(entry.endpoint_id)
            )
        elif entry.born_unix_ms < known.entry.born_unix_ms:
            return False
        else:
            if entry.born_unix_ms > known.entry.born_unix_ms:
                known.health = EndpointHealth()
            known.entry = entry
        self._note_address(entry)
        return True

    def remove(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        known = self._known.pop(endpoint_id, None)
        self.work.forget_endpoint(endpoint_id)
        if known is None:
            return
        address = known.entry.address
        if self._newest_at.get(address) == endpoint_id:
            self._newest_at.pop(address)

    def take_out(self, data_centres: frozenset[str]) -> None:
        """Send nothing more to the endpoints of these data centres."""
        self._out = data_centres

    def may_send(self, endpoint_id: str) -> bool:
        """Return whether the endpoint is still one to send work to."""
        known = self._known.get(endpoint_id)
        if known is None or known.entry.is_leaving:
            return False
        return known.entry.data_centre not in self._out

    def note_sent(self, now_s: float, endpoint_id: str) -> None:
        """Count a request of this instance."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.own_sent.note(now_s)

    def answered(self, endpoint_id: str) -> None:
        """Note a good answer."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.health.answered()

    def failed(self, now_s: float, endpoint_id: str, fault: Fault) -> float:
        """Note a failure that this instance met.

        :returns: for how long the endpoint is left alone, 0 if unknown.
        """
        known = self._known.get(endpoint_id)
        return 0 if known is None else known.health.failed(now_s, fault)

    def leave_alone(
        self, now_s: float, endpoint_id: str, for_s: float, reason: str
    ) -> None:
        """Take over another instance's judgement."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.health.leave_alone(now_s + for_s, reason)

    def alone(self, now_s: float, service: str) -> int:
        """Return how many endpoints of a service are left alone."""
        return sum(
            known.health.is_alone(now_s)
            for known in self._known.values()
            if known.entry.service == service
        )

    def candidates(
        self, now_s: float, service: ServedService, tried: frozenset[str]
    ) -> tuple[list[Candidate], Exclusions]:
        """Return the endpoints of a service that may get a request now.

        :param tried: ids of endpoints that the request was sent to before.
        """
        excluded = Exclusions()
        able = [
            known
            for known in self._known.values()
            if known.entry.service == service.name
            and self._is_able(now_s, service, known, tried, excluded)
        ]
        healthy = [known for known in able if not known.health.is_alone(now_s)]
        excluded.alone = len(able) - len(healthy)
        if len(healthy) < len(able) * _LEAST_HEALTHY_SHARE:
            healthy = able
        cut_off = self._cut_off(now_s, service)
        reached = [
            known for known in healthy if known.entry.data_centre not in cut_off
        ]
        if len(reached) >= len(able) * _LEAST_HEALTHY_SHARE:
            excluded.cut_off = len(healthy) - len(reached)
            healthy = reached
        return [
            Candidate(
                known.entry,
                self.work.load(known.entry.endpoint_id),
                known.rank,
                known.entry.cold_until_s > now_s,
                self._cells.is_home(known.entry),
            )
            for known in healthy
        ], excluded

    def _cut_off(self, now_s: float, service: ServedService) -> set[str]:
        """Return the data centres whose endpoints seem not to be reached."""
        listed: Counter[str] = Counter()
        unreached: Counter[str] = Counter()
        for known in self._known.values():
            if known.entry.service != service.name:
                continue
            centre = known.entry.data_centre
            listed[centre] += 1
            unreached[centre] += known.health.is_unreached(now_s)
        return {
            centre
            for centre, count in unreached.items()
            if count >= max(_LEAST_CUT_OFF, _CUT_OFF_SHARE * listed[centre])
        }

    def _note_address(self, entry: EndpointEntry) -> None:
        """Note who has the address of ``entry`` now."""
        other = self._known.get(self._newest_at.get(entry.address, ''))
        if other is None or other.entry.address != entry.address:
            self._newest_at[entry.address] = entry.endpoint_id
        elif entry.born_unix_ms > other.entry.born_unix_ms:
            self._newest_at[entry.address] = entry.endpoint_id

    def _is_replaced(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint that started later has the address."""
        newest = self._known.get(self._newest_at.get(entry.address, ''))
        if newest is None or newest.entry.address != entry.address:
            return False
        return newest.entry.born_unix_ms > entry.born_unix_ms

    def _is_able(
        self,
        now_s: float,
        service: ServedService,
        known: _Known,
        tried: frozenset[str],
        excluded: Exclusions,
    ) -> bool:
        entry = known.entry
        if entry.is_leaving:
            excluded.leaving += 1
            return False
        if entry.data_centre in self._out:
            excluded.out += 1
            return False
        if entry.endpoint_id in tried:
            excluded.tried += 1
            return False
        if self._is_replaced(entry):
            excluded.replaced += 1
            return False
        if self._bears_more(now_s, service, known):
            return True
        excluded.cold += 1
        return False

    def _bears_more(
        self, now_s: float, service: ServedService, known: _Known
    ) -> bool:
        load = self.work.load(known.entry.endpoint_id)
        return self.guard.allows(
            service,
            known.entry.endpoint_id,
            load.sent_lately(now_s),
            known.own_sent.count(now_s),
            is_cold=known.entry.cold_until_s > now_s,
        )

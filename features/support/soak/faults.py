"""Faults that a run injects, drawn from its seed."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic, sleep
from types import MappingProxyType
from typing import Final, final

from features.standins.pauses import PAUSE
from features.support.relay_fleet import RelayFleet

from .proxy import Proxy
from .route_changes import Configurations

__all__ = ('Fault', 'FaultInjector')

_MAX_FAULT_S: Final = 4.0
_MIN_FAULT_S: Final = 0.3
#: Changes of routes for each other fault of a kind.
_ROUTE_CHANGES: Final = 8
#: Losses of history with old reads for each other fault of a kind.
_LAGS: Final = 3
#: Share of the runs with changes that begin with old reads and planned changes
#: only. What the other faults excuse would hide most of the rest.
_LAGS_FIRST_SHARE: Final = 0.75
#: The same for restores of the store from a copy.
_RESTORES: Final = 2
_AWAY_S: Final = (0.2, 1.5)
_COPY_AGE_S: Final = (0.5, 6.0)
#: Time after its return in which lost changes are made again.
_WRITTEN_AGAIN_S: Final = (0.0, 1.5)
_LAG_SILENT_S: Final = (0.5, 1.5)
_LAG_BEHIND_S: Final = (1.0, 6.0)
_SLIDES_SHARE: Final = 0.4
_NAMES_NEWEST_SHARE: Final = 0.3
_UNCHECKED_SHARE: Final = 0.2
#: Time by which endpoints are out of use for longer in runs with changes, so
#: that most are past the time in which requests may still reach them.
_LONGER_OUT_S: Final = 2.5
#: Pauses of sound endpoints, and full engines, for each planned change.
_PAUSES: Final = 5
#: Time in which answers begin before their engines are full.
_PAUSE_BEFORE_S: Final = (0.3, 1.2)
#: Maximum time of a graceful stop, with a margin for a busy machine.
_MAX_STOP_S: Final = 12.0


def _delay(proxy: Proxy, random: Random) -> None:
    proxy.delay_s = random.uniform(0.01, 0.5)


def _refuse(proxy: Proxy, random: Random) -> None:
    proxy.refuses_connections = True
    proxy.reset_all()


def _drop_to_target(proxy: Proxy, random: Random) -> None:
    proxy.drops_to_target = True


def _drop_from_target(proxy: Proxy, random: Random) -> None:
    proxy.drops_from_target = True


_LINK_FAULTS: Final = MappingProxyType(
    {
        'delay': _delay,
        'down': _drop_from_target,
        'refuse': _refuse,
        'reset': lambda proxy, random: proxy.reset_all(),
        'silence': lambda proxy, random: proxy.silence_open(),
        'up': _drop_to_target,
    }
)


@final
@dataclass(slots=True)
class Fault:
    """An injected fault and the time for which it is active.

    :param subject: what it affects (an instance, an endpoint, a data centre
        or a key), or its kind for a store, an endpoint or a link.
    :param ends_s: monotonic time at which it is undone.
    :param undo: called once at the end, if there is something to undo.
    """

    name: str
    subject: str
    began_s: float
    ends_s: float
    undo: Callable[[], None] | None = None


@final
class FaultInjector:
    """Injects random faults and undoes them when their time is over."""

    def __init__(
        self,
        fleet: RelayFleet,
        seed: int,
        *,
        with_changes: bool = False,
        only_pauses: bool = False,
    ) -> None:
        """Initialise without an active fault.

        :param with_changes: whether routes change, endpoints say that they
            leave, and the store loses its history while its reads are behind,
            beside the faults.
        :param only_pauses: whether sound endpoints pause, endpoints are full
            and planned changes come, in place of the faults.
        """
        self._fleet = fleet
        self._random = Random(seed)
        self._lag_random = Random(f'lags/{seed}')
        self._restore_random = Random(f'restores/{seed}')
        self._unavailable: set[str] = set()
        self._stopping: dict[str, float] = {}
        self._with_changes = with_changes
        self._only_pauses = only_pauses
        self.configurations = Configurations(fleet)
        #: When API keys were revoked.
        self.revoked_s: dict[str, float] = {}
        #: Port of an endpoint, start and end of the time in which it is out of
        #: use by the tables: draining, without an entry or evacuated.
        self.out_periods: list[tuple[int, float, float]] = []
        #: Port of an endpoint, start and end of the time in which it says in
        #: its answers that it leaves.
        self.leaving_periods: list[tuple[int, float, float]] = []
        self.injected: list[Fault] = []
        #: Start of each endpoint that has started again, in its entry.
        self._starts: dict[int, int] = {}
        self._out: set[int] = set()
        self._evacuated: set[str] = set()
        self._lag: Fault | None = None
        self._undrawn: list[Callable[[], Fault | None]] = []
        if with_changes and self._lag_random.random() < _LAGS_FIRST_SHARE:
            self._undrawn = self._changes_in_lags()

    def inject_next(self) -> None:
        """Inject the next fault; each kind comes once before any repeats."""
        if not self._undrawn:
            self._undrawn = self._kinds()
            self._random.shuffle(self._undrawn)
        fault = self._undrawn.pop()()
        if fault is not None:
            self.injected.append(fault)

    def _changes_in_lags(self) -> list[Callable[[], Fault | None]]:
        """Return planned changes among losses of history, last one first."""
        kinds = [
            *(self._lose_history for _ in range(_LAGS - 1)),
            *(self._restore_store for _ in range(_RESTORES)),
            *(self._change_route for _ in range(_ROUTE_CHANGES)),
            self._revoke,
            self._revoke,
            self._leave,
            self._evacuate,
            self._lapse,
        ]
        self._lag_random.shuffle(kinds)
        return [*kinds, self._lose_history]

    def _kinds(self) -> list[Callable[[], Fault | None]]:
        planned = [self._stop, self._send_hangup, self._revoke]
        if self._only_pauses:
            return [
                *planned,
                *(self._change_route for _ in range(2)),
                *(self._pause_endpoints for _ in range(_PAUSES)),
                *(self._fill_engines for _ in range(_PAUSES)),
                *(self._pause_then_fill for _ in range(_PAUSES)),
            ]
        kinds = [
            *planned,
            self._kill,
            self._pause,
            self._store_fault,
            self._store_link_fault,
            self._endpoint_fault,
            self._endpoint_link_fault,
            self._peer_link_fault,
            self._leave,
            self._evacuate,
            self._compact,
        ]
        if not self._with_changes:
            return kinds
        return [
            *kinds,
            *(self._change_route for _ in range(_ROUTE_CHANGES)),
            *(self._lose_history for _ in range(_LAGS)),
            *(self._restore_store for _ in range(_RESTORES)),
            self._put_invalid,
            self._put_older,
            self._say_leaving,
            self._lapse,
            self._stall,
        ]

    def undo_expired(self) -> None:
        """Undo faults whose time is over, and restart stopped instances."""
        now_s = monotonic()
        for fault in tuple(self.injected):
            if fault.undo is not None and fault.ends_s <= now_s:
                undo, fault.undo = fault.undo, None
                undo()
        for name, deadline_s in tuple(self._stopping.items()):
            if self._fleet.is_running(name) and now_s < deadline_s:
                continue
            assert not self._fleet.is_running(name), (
                f'{name} did not stop in time'
            )
            self._stopping.pop(name)
            self._fleet.start_instance(name)
            self._unavailable.discard(name)

    def undo_all(self) -> None:
        """Undo all faults that are still active."""
        for fault in self.injected:
            fault.ends_s = min(fault.ends_s, monotonic())
        self.undo_expired()

    @property
    def is_idle(self) -> bool:
        """Return whether no fault is active and no instance is stopping."""
        return not self._stopping and not any(
            fault.undo for fault in self.injected
        )

    def was_active(self, from_s: float, to_s: float, *names: str) -> bool:
        """Return whether a fault was active between two times.

        :param names: kinds to consider, all by default.
        """
        return any(
            fault.began_s <= to_s
            and fault.ends_s >= from_s
            and (not names or fault.name in names)
            for fault in self.injected
        )

    def was_paused(self, address: str, from_s: float, to_s: float) -> bool:
        """Return whether the instance was paused between two times."""
        port = int(address.rpartition(':')[2])
        return any(
            fault.name == 'pause'
            and self._fleet.instances[fault.subject][0] == port
            and fault.began_s <= to_s
            and fault.ends_s >= from_s
            for fault in self.injected
        )

    def _choose_instance(self) -> str | None:
        available = sorted(set(self._fleet.instances) - self._unavailable)
        # Two instances stay up, so that callers find one that serves.
        return self._random.choice(available) if len(available) > 2 else None

    def _build_fault(
        self, name: str, subject: str, undo: Callable[[], None] | None
    ) -> Fault:
        now_s = monotonic()
        duration_s = self._random.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        return Fault(name, subject, now_s, now_s + duration_s, undo)

    def _kill(self) -> Fault | None:
        name = self._choose_instance()
        if name is None:
            return None
        self._unavailable.add(name)
        self._fleet.kill(name)

        def undo() -> None:
            self._fleet.start_instance(name)
            self._unavailable.discard(name)

        return self._build_fault('kill', name, undo)

    def _pause(self) -> Fault | None:
        name = self._choose_instance()
        if name is None:
            return None
        self._unavailable.add(name)
        self._fleet.signal(name, signal.SIGSTOP)

        def undo() -> None:
            self._fleet.signal(name, signal.SIGCONT)
            self._unavailable.discard(name)

        return self._build_fault('pause', name, undo)

    def _stop(self) -> Fault | None:
        name = self._choose_instance()
        if name is None:
            return None
        self._unavailable.add(name)
        self._fleet.signal(name, signal.SIGTERM)
        self._stopping[name] = monotonic() + _MAX_STOP_S
        fault = self._build_fault('stop', name, None)
        fault.ends_s = monotonic() + _MAX_STOP_S
        return fault

    def _send_hangup(self) -> Fault | None:
        name = self._choose_instance()
        if name is None:
            return None
        self._fleet.signal(name, signal.SIGHUP)
        return self._build_fault('hang_up', name, None)

    def _store_fault(self) -> Fault:
        port = self._fleet.store.port
        kind = self._random.choice(('busy', 'silent'))
        self._fleet.fault(port, fault=kind)
        return self._build_fault(
            'store', kind, lambda: self._fleet.fault(port, fault='')
        )

    def _store_link_fault(self) -> Fault:
        name = self._random.choice(sorted(self._fleet.store_proxies))
        return self._link_fault('store_link', self._fleet.store_proxies[name])

    def _endpoint_link_fault(self) -> Fault:
        port = self._random.choice(sorted(self._fleet.endpoint_proxies))
        return self._link_fault('endpoint', self._fleet.endpoint_proxies[port])

    def _peer_link_fault(self) -> Fault:
        name = self._random.choice(sorted(self._fleet.peer_proxies))
        return self._link_fault('peer_link', self._fleet.peer_proxies[name])

    def _link_fault(self, name: str, proxy: Proxy) -> Fault:
        kind = self._random.choice(sorted(_LINK_FAULTS))
        _LINK_FAULTS[kind](proxy, self._random)

        def undo() -> None:
            proxy.clear_faults()
            # A connection cannot recover the bytes that the proxy dropped.
            proxy.reset_all()

        return self._build_fault(name, kind, undo)

    def _endpoint_fault(self) -> Fault:
        ports = (*self._fleet.engines, *self._fleet.plain)
        port = self._random.choice(ports)
        kind = self._random.choice(('full', 'reset', 'silent', 'cut', 'second'))
        every = self._random.choice((1, 2, 5))
        self._fleet.fault(port, fault=kind, every=every)
        return self._build_fault(
            'endpoint', kind, lambda: self._fleet.fault(port, fault='')
        )

    def _pause_endpoints(self) -> Fault:
        """Let some sound endpoints pause once or twice in each answer."""
        ports = [*self._fleet.engines, *self._fleet.plain]
        paused = self._random.sample(ports, self._random.randint(1, len(ports)))
        return self._fault_at(paused, 'sound_pause', PAUSE)

    def _fill_engines(self) -> Fault:
        """Let some engines, all but one, or all say that they are full."""
        ports = self._fleet.engines
        most = len(ports) - 1
        count = self._random.choice(
            (most, len(ports), self._random.randint(1, most))
        )
        return self._fault_at(self._random.sample(ports, count), 'full', 'full')

    def _pause_then_fill(self) -> Fault:
        """Let all engines pause in answers that began before they are full."""
        fault = self._fault_at(self._fleet.engines, 'sound_pause', PAUSE)
        fault.ends_s = fault.began_s + self._random.uniform(*_PAUSE_BEFORE_S)
        fault.undo = lambda: self.injected.append(self._fill_engines())
        return fault

    def _fault_at(self, ports: list[int], name: str, kind: str) -> Fault:
        for port in ports:
            self._fleet.fault(port, fault=kind)

        def undo() -> None:
            for port in ports:
                self._fleet.fault(port, fault='')

        return self._build_fault(name, str(len(ports)), undo)

    def _leave(self) -> Fault | None:
        ports = sorted(set(self._fleet.engines) - self._out)
        if not ports:
            return None
        port = self._random.choice(ports)
        born = self._starts.get(port, 1000)
        self._fleet.put_entry(port, state='draining', born=born)
        undo = self._take_out([port], lambda: self._put_ready(port))
        return self._build_out('leave', str(port), undo)

    def _evacuate(self) -> Fault | None:
        data_centre = self._random.choice('abc')
        if data_centre in self._evacuated:
            return None
        self._evacuated.add(data_centre)
        row = f'evacuate/{data_centre}'
        self._fleet.put('op', row, {})
        began_s = monotonic()

        def undo() -> None:
            self._evacuated.discard(data_centre)
            self.out_periods.extend(
                (port, began_s, monotonic())
                for port in (*self._fleet.engines, *self._fleet.plain)
                if self._fleet.entry(port)['zone'] == data_centre
            )
            self._fleet.put('op', row, None)

        return self._build_out('evacuate', data_centre, undo)

    def _take_out(
        self, ports: list[int], put_back: Callable[[], None]
    ) -> Callable[[], None]:
        """Note that endpoints are out of use, until what is returned runs."""
        began_s = monotonic()
        self._out.update(ports)

        def undo() -> None:
            ended_s = monotonic()
            self.out_periods.extend((port, began_s, ended_s) for port in ports)
            self._out.difference_update(ports)
            put_back()

        return undo

    def _put_ready(self, port: int) -> None:
        self._fleet.put_entry(port, born=self._starts.get(port, 1000))

    def _build_out(
        self, name: str, subject: str, undo: Callable[[], None]
    ) -> Fault:
        fault = self._build_fault(name, subject, undo)
        if self._with_changes:
            fault.ends_s += _LONGER_OUT_S
        return fault

    def _revoke(self) -> Fault:
        """Revoke an API key and issue a new one."""
        key = self._random.choice(self.configurations.keys)
        self.revoked_s[key] = self.configurations.replace_key(key)
        return self._build_fault('revoke', key, None)

    def _change_route(self) -> Fault:
        kind, name = self.configurations.change_route(self._random)
        return self._build_fault(f'route_{kind}', name, None)

    def _put_invalid(self) -> Fault:
        self.configurations.put_invalid(self._random)
        return self._build_fault('invalid', 'configuration', None)

    def _put_older(self) -> Fault:
        self.configurations.put_older()
        return self._build_fault('older', 'configuration', None)

    def _say_leaving(self) -> Fault | None:
        """Let an endpoint say that it leaves, then start again."""
        ports = self._in_use()
        if not ports:
            return None
        port = self._random.choice(ports)
        began_s = monotonic()
        self._out.add(port)
        self._fleet.fault(port, headers={'Server-Leaving': '1'})

        def undo() -> None:
            self.leaving_periods.append((port, began_s, monotonic()))
            self._out.discard(port)
            self._fleet.fault(port, fault='')
            self._starts[port] = self._starts.get(port, 1000) + 1
            self._put_ready(port)

        return self._build_fault('say_leaving', str(port), undo)

    def _lapse(self) -> Fault | None:
        """Remove the entries of a third of the endpoints for some time."""
        ports = self._in_use()
        count = max(1, (len(self._fleet.engines) + len(self._fleet.plain)) // 3)
        if len(ports) < count:
            return None
        ports = self._random.sample(ports, count)
        for port in ports:
            self._fleet.put('servers', f'i-{port}', None)

        def put_back() -> None:
            for port in ports:
                self._put_ready(port)

        undo = self._take_out(ports, put_back)
        return self._build_out('lapse', str(len(ports)), undo)

    def _in_use(self) -> list[int]:
        """Return the endpoints that no change of their own has taken out."""
        ports = (*self._fleet.engines, *self._fleet.plain)
        return [port for port in ports if port not in self._out]

    def _stall(self) -> Fault:
        """Let a sound engine pause for a second in each answer."""
        port = self._random.choice(self._fleet.engines)
        self._fleet.fault(port, fault='stall', delay_s=1.1)
        return self._build_fault(
            'stall', str(port), lambda: self._fleet.fault(port, fault='')
        )

    def _compact(self) -> Fault:
        self._fleet.compact()
        return self._build_fault('compact', 'store', None)

    def _lose_history(self) -> Fault:
        """Let the store tell no changes, lose its history and read behind.

        A loss that comes before the end of another one replaces it.
        """
        random = self._lag_random
        silent_s = random.uniform(*_LAG_SILENT_S)
        behind_s = random.uniform(*_LAG_BEHIND_S)
        is_unchecked = random.random() < _UNCHECKED_SHARE
        self._fleet.lag(
            silent_s=silent_s,
            behind_s=behind_s,
            slides=random.random() < _SLIDES_SHARE,
            names_newest=random.random() < _NAMES_NEWEST_SHARE,
            refuses_checks=is_unchecked,
        )
        now_s = monotonic()
        if self._lag is not None:
            self._lag.ends_s = min(self._lag.ends_s, now_s)
            self._lag.undo = None
        current_s = now_s + silent_s + behind_s

        def undo() -> None:
            # At its own end nothing is lost anew, which could mend a copy.
            if monotonic() < current_s:
                self._fleet.lag(silent_s=0, behind_s=0)

        name = 'behind_unchecked' if is_unchecked else 'behind'
        self._lag = Fault(name, 'store', now_s, current_s, undo)
        return self._lag

    def _restore_store(self) -> Fault:
        """Bring the store back from a copy, and make lost changes again."""
        random = self._restore_random
        began_s = monotonic()
        lost = self._fleet.restore_store(
            away_s=random.uniform(*_AWAY_S), age_s=random.uniform(*_COPY_AGE_S)
        )
        sleep(random.uniform(*_WRITTEN_AGAIN_S))
        self._fleet.put_again(lost)
        return Fault('restore', 'store', began_s, monotonic())

"""Faults that a run injects, drawn from its seed."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import Final, final

from features.support.relay_fleet import RelayFleet

from .proxy import Proxy

__all__ = ('Fault', 'FaultInjector')

_MAX_FAULT_S: Final = 4.0
_MIN_FAULT_S: Final = 0.3
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

    def __init__(self, fleet: RelayFleet, seed: int) -> None:
        """Initialise without an active fault."""
        self._fleet = fleet
        self._random = Random(seed)
        self._unavailable: set[str] = set()
        self._stopping: dict[str, float] = {}
        self._version = 1
        #: Valid API keys, and when others were revoked.
        self.keys = ['key-w', 'key-2', 'key-v']
        self.revoked_s: dict[str, float] = {}
        #: Port of an endpoint, start and end of its ``draining`` state.
        self.drain_periods: list[tuple[int, float, float]] = []
        self.injected: list[Fault] = []
        self._undrawn: list[Callable[[], Fault | None]] = []

    def inject_next(self) -> None:
        """Inject the next fault; each kind comes once before any repeats."""
        if not self._undrawn:
            self._undrawn = [
                self._kill,
                self._pause,
                self._stop,
                self._send_hangup,
                self._store_fault,
                self._store_link_fault,
                self._endpoint_fault,
                self._endpoint_link_fault,
                self._peer_link_fault,
                self._leave,
                self._evacuate,
                self._revoke,
                self._compact,
            ]
            self._random.shuffle(self._undrawn)
        fault = self._undrawn.pop()()
        if fault is not None:
            self.injected.append(fault)

    def undo_expired(self) -> None:
        """Undo faults whose time is over, and restart stopped instances."""
        now_s = monotonic()
        for fault in self.injected:
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

    def _leave(self) -> Fault:
        port = self._random.choice(self._fleet.engines)
        self._fleet.put_entry(port, state='draining')
        began_s = monotonic()

        def undo() -> None:
            self.drain_periods.append((port, began_s, monotonic()))
            self._fleet.put_entry(port)

        return self._build_fault('leave', str(port), undo)

    def _evacuate(self) -> Fault:
        data_centre = self._random.choice('abc')
        self._fleet.put('op', f'evacuate/{data_centre}', {})
        return self._build_fault(
            'evacuate',
            data_centre,
            lambda: self._fleet.put('op', f'evacuate/{data_centre}', None),
        )

    def _revoke(self) -> Fault:
        """Revoke an API key and issue a new one."""
        key = self._random.choice(self.keys)
        self._version += 1
        self.keys = [each for each in self.keys if each != key]
        self.keys.append(f'new-key-{self._version}')
        tenants = [{'name': 'w', 'apiKeys': self.keys}]
        self._fleet.put_configuration(self._version, tenants=tenants)
        self.revoked_s[key] = monotonic()
        return self._build_fault('revoke', key, None)

    def _compact(self) -> Fault:
        self._fleet.compact()
        return self._build_fault('compact', 'store', None)

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

__all__ = ('Fault', 'Faults')

_LONGEST_S: Final = 4.0
_SHORTEST_S: Final = 0.3
#: Time of a planned stop, and a margin for a busy machine.
_STOP_S: Final = 12.0


def _delay(proxy: Proxy, random: Random) -> None:
    proxy.delay_s = random.uniform(0.01, 0.5)


def _refuse(proxy: Proxy, random: Random) -> None:
    proxy.refuses = True
    proxy.reset()


def _drop_up(proxy: Proxy, random: Random) -> None:
    proxy.drops_up = True


def _drop_down(proxy: Proxy, random: Random) -> None:
    proxy.drops_down = True


_LINK_FAULTS: Final = MappingProxyType(
    {
        'delay': _delay,
        'down': _drop_down,
        'refuse': _refuse,
        'reset': lambda proxy, random: proxy.reset(),
        'silence': lambda proxy, random: proxy.silence(),
        'up': _drop_up,
    }
)


@final
@dataclass(slots=True)
class Fault:
    """One fault and the time for which it holds.

    :param subject: instance, endpoint or store that it strikes.
    :param ends_s: monotonic time at which it is undone.
    """

    name: str
    subject: str
    began_s: float
    ends_s: float
    undo: Callable[[], None] | None = None


@final
class Faults:
    """Draws faults and undoes them when their time is over."""

    def __init__(self, fleet: RelayFleet, seed: int) -> None:
        """Start without faults."""
        self._fleet = fleet
        self._random = Random(seed)
        self._away: set[str] = set()
        self._stopping: dict[str, float] = {}
        self._version = 1
        #: Keys that are in force, and when others were taken away.
        self.keys = ['key-w', 'key-2', 'key-v']
        self.revoked_s: dict[str, float] = {}
        #: When endpoints were told to be leaving, and when that ended.
        self.left_s: list[tuple[int, float, float]] = []
        self.faults: list[Fault] = []
        self._deck: list[Callable[[], Fault | None]] = []

    def strike(self) -> None:
        """Inject the next fault; each is drawn before any is drawn again."""
        if not self._deck:
            self._deck = [
                self._kill,
                self._pause,
                self._stop,
                self._hang_up,
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
            self._random.shuffle(self._deck)
        fault = self._deck.pop()()
        if fault is not None:
            self.faults.append(fault)

    def tend(self) -> None:
        """Undo what is over, and start instances that have ended."""
        now_s = monotonic()
        for fault in self.faults:
            if fault.undo is not None and fault.ends_s <= now_s:
                undo, fault.undo = fault.undo, None
                undo()
        for name, until_s in tuple(self._stopping.items()):
            if self._fleet.is_running(name) and now_s < until_s:
                continue
            assert not self._fleet.is_running(name), f'{name} does not stop'
            self._stopping.pop(name)
            self._fleet.start_instance(name)
            self._away.discard(name)

    def end(self) -> None:
        """Undo everything."""
        for fault in self.faults:
            fault.ends_s = min(fault.ends_s, monotonic())
        self.tend()

    @property
    def is_calm(self) -> bool:
        """Return whether nothing is left to undo."""
        return not self._stopping and not any(
            fault.undo for fault in self.faults
        )

    def struck(self, from_s: float, to_s: float, *names: str) -> bool:
        """Return whether a fault of these names held between two times."""
        return any(
            fault.began_s <= to_s
            and fault.ends_s >= from_s
            and (not names or fault.name in names)
            for fault in self.faults
        )

    def was_paused(self, address: str, from_s: float, to_s: float) -> bool:
        """Return whether the instance at ``address`` stood still then."""
        port = int(address.rpartition(':')[2])
        return any(
            fault.name == 'pause'
            and self._fleet.instances[fault.subject][0] == port
            and fault.began_s <= to_s
            and fault.ends_s >= from_s
            for fault in self.faults
        )

    def _instance(self) -> str | None:
        present = sorted(set(self._fleet.instances) - self._away)
        # Two stay, so that callers find one that lives.
        return self._random.choice(present) if len(present) > 2 else None

    def _fault(
        self, name: str, subject: str, undo: Callable[[], None] | None
    ) -> Fault:
        now_s = monotonic()
        lasts_s = self._random.uniform(_SHORTEST_S, _LONGEST_S)
        return Fault(name, subject, now_s, now_s + lasts_s, undo)

    def _kill(self) -> Fault | None:
        name = self._instance()
        if name is None:
            return None
        self._away.add(name)
        self._fleet.kill(name)

        def undo() -> None:
            self._fleet.start_instance(name)
            self._away.discard(name)

        return self._fault('kill', name, undo)

    def _pause(self) -> Fault | None:
        name = self._instance()
        if name is None:
            return None
        self._away.add(name)
        self._fleet.signal(name, signal.SIGSTOP)

        def undo() -> None:
            self._fleet.signal(name, signal.SIGCONT)
            self._away.discard(name)

        return self._fault('pause', name, undo)

    def _stop(self) -> Fault | None:
        name = self._instance()
        if name is None:
            return None
        self._away.add(name)
        self._fleet.signal(name, signal.SIGTERM)
        self._stopping[name] = monotonic() + _STOP_S
        fault = self._fault('stop', name, None)
        fault.ends_s = monotonic() + _STOP_S
        return fault

    def _hang_up(self) -> Fault | None:
        name = self._instance()
        if name is None:
            return None
        self._fleet.signal(name, signal.SIGHUP)
        return self._fault('hang_up', name, None)

    def _store_fault(self) -> Fault:
        port = self._fleet.store.port
        kind = self._random.choice(('busy', 'silent'))
        self._fleet.fault(port, fault=kind)
        return self._fault(
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
            proxy.heal()
            # What was lost on the way cannot be made good on a connection.
            proxy.reset()

        return self._fault(name, kind, undo)

    def _endpoint_fault(self) -> Fault:
        ports = (*self._fleet.engines, *self._fleet.plain)
        port = self._random.choice(ports)
        kind = self._random.choice(('full', 'reset', 'silent', 'cut', 'second'))
        every = self._random.choice((1, 2, 5))
        self._fleet.fault(port, fault=kind, every=every)
        return self._fault(
            'endpoint', kind, lambda: self._fleet.fault(port, fault='')
        )

    def _leave(self) -> Fault:
        port = self._random.choice(self._fleet.engines)
        self._fleet.put_entry(port, state='draining')
        began_s = monotonic()

        def undo() -> None:
            self.left_s.append((port, began_s, monotonic()))
            self._fleet.put_entry(port)

        return self._fault('leave', str(port), undo)

    def _evacuate(self) -> Fault:
        centre = self._random.choice('abc')
        self._fleet.put('op', f'evacuate/{centre}', {})
        return self._fault(
            'evacuate',
            centre,
            lambda: self._fleet.put('op', f'evacuate/{centre}', None),
        )

    def _revoke(self) -> Fault:
        """Take a key away and give a new one."""
        key = self._random.choice(self.keys)
        self._version += 1
        self.keys = [each for each in self.keys if each != key]
        self.keys.append(f'new-key-{self._version}')
        tenants = [{'name': 'w', 'apiKeys': self.keys}]
        self._fleet.put_configuration(self._version, tenants=tenants)
        self.revoked_s[key] = monotonic()
        return self._fault('revoke', key, None)

    def _compact(self) -> Fault:
        self._fleet.compact()
        return self._fault('compact', 'store', None)

"""Checks that endpoints that say that they leave get no more requests."""

from collections.abc import Iterator
from math import inf
from time import monotonic, time
from typing import Any, Final, final

from features.support.relay_fleet import RelayFleet

from .faults import FaultInjector

__all__ = ('find_late_requests',)

#: Time after the first such answer in which requests may still be sent, and a
#: margin for a machine that runs many processes.
_LIMIT_S: Final = 2.5
_EXCUSES: Final = frozenset(('kill', 'pause', 'stop'))


def find_late_requests(
    fleet: RelayFleet, injector: FaultInjector
) -> Iterator[str]:
    """Yield the requests to endpoints that had said that they leave.

    An instance is bound by the first such answer that it got itself, unless it
    was restarted or paused since.
    """
    to_wall_s = time() - monotonic()
    for name in fleet.instances:
        log = _InstanceLog()
        late = filter(log.is_late, fleet.log(name))
        for line in late:
            at_s = line['timestamp'] - to_wall_s
            is_excused = _was_interrupted(injector, name, at_s)
            if not is_excused and _leaves(injector, line['endpoint'], at_s):
                yield f'{name}: {line}: sent to an endpoint that leaves'


@final
class _InstanceLog:
    """What the log of one instance says up to a line."""

    def __init__(self) -> None:
        self._endpoints: dict[str, str] = {}
        self._leaving_s: dict[str, float] = {}

    def is_late(self, line: dict[str, Any]) -> bool:
        """Read the next line, and return whether it is of a late request."""
        match line['message_type']:
            case 'answer_began' if (line['notice'] or {}).get('is_leaving'):
                endpoint = self._endpoints.get(line['request'], '')
                self._leaving_s.setdefault(endpoint, line['timestamp'])
            case 'endpoint_changed':
                self._leaving_s.pop(line['endpoint'], None)
            case 'request_sent':
                self._endpoints[line['request']] = line['endpoint']
                said_s = self._leaving_s.get(line['endpoint'], inf)
                return line['timestamp'] > said_s + _LIMIT_S
        return False


def _leaves(injector: FaultInjector, endpoint: str, at_s: float) -> bool:
    return any(
        endpoint == f'i-{port}' and from_s < at_s < to_s
        for port, from_s, to_s in injector.leaving_periods
    )


def _was_interrupted(injector: FaultInjector, name: str, at_s: float) -> bool:
    return any(
        fault.subject == name and fault.name in _EXCUSES
        for fault in injector.injected
        if fault.began_s <= at_s
    )

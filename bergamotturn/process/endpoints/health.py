"""Ejects endpoints that failed, each for a limited time.

A single failure can be chance, so the first ejection is short. Each further
failure in a row doubles the ejection time, and the first request after that
time tests the endpoint again. Failures that other instances report count as
much as own ones, so that one failed request ejects a dead endpoint for all.
An endpoint that restarts gets a new entry, which ends its ejection at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final, final

__all__ = ('EndpointHealth', 'Fault')

#: The time of a few answers, since most single failures are chance.
_FIRST_EJECTION_S: Final = 0.5
#: First ejection time of a process that does not listen: it comes back with a
#: new entry or not at all, unless only the network path to it was cut. With
#: doubling, a crashed endpoint gets two more requests until its entry expires
#: after 3.6 s.
_UNREACHABLE_EJECTION_S: Final = 1.5
#: Ejection time of an endpoint whose address another one has: its entry
#: expires or changes long before.
_REPLACED_EJECTION_S: Final = 60.0
#: A crashed endpoint comes back within some seconds.
_MAX_EJECTION_S: Final = 4.0
_BACKOFF_FACTOR: Final = 2.0
#: Moving average of failed answers above which an endpoint is ejected for the
#: maximum time at once.
_MAX_FAILED_SHARE: Final = 0.5
#: Weight of the newest answer in that average.
_NEWEST_WEIGHT: Final = 0.2


@final
@unique
class Fault(Enum):
    """How an endpoint failed."""

    #: Nothing listens there, or the connection was not made in time.
    unreachable = 'unreachable'
    #: The connection ended before the answer was complete.
    broke_off = 'broke_off'
    #: It accepted the request and sent nothing for too long.
    silent = 'silent'
    #: What it sent is not an answer to the request.
    garbled = 'garbled'
    #: It answered that it failed.
    failed = 'failed'
    #: Another endpoint answers at its address.
    replaced = 'replaced'


_FIRST_EJECTION_BY_FAULT_S: Final[Mapping[Fault, float]] = MappingProxyType(
    {
        Fault.unreachable: _UNREACHABLE_EJECTION_S,
        Fault.replaced: _REPLACED_EJECTION_S,
    }
)


@final
@dataclass(slots=True)
class EndpointHealth:
    """Recent failures and the ejection of one endpoint.

    :param failures: failures since the last success.
    :param failed_share: moving average of failed answers.
    :param ejected_until_s: monotonic time until which it gets no new work.
    :param reason: last failure, for logs.
    """

    failures: int = 0
    failed_share: float = 0
    ejected_until_s: float = float('-inf')
    reason: str = ''

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the endpoint is ejected and gets no new work."""
        return now_s < self.ejected_until_s

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether it is ejected because it was unreachable."""
        return self.is_ejected(now_s) and self.reason == Fault.unreachable.value

    def record_success(self) -> None:
        """Record a successful answer."""
        self.failures = 0
        self.failed_share *= 1 - _NEWEST_WEIGHT

    def record_failure(self, now_s: float, fault: Fault) -> float:
        """Record a failure and eject the endpoint.

        :returns: the ejection time from now on.
        """
        self.failures += 1
        self.failed_share += _NEWEST_WEIGHT * (1 - self.failed_share)
        first_s = _FIRST_EJECTION_BY_FAULT_S.get(fault, _FIRST_EJECTION_S)
        max_s = max(first_s, _MAX_EJECTION_S)
        ejection_s = min(
            max_s, first_s * _BACKOFF_FACTOR ** (self.failures - 1)
        )
        if self.failed_share > _MAX_FAILED_SHARE:
            ejection_s = max_s
        self.eject(now_s + ejection_s, fault.value)
        return ejection_s

    def eject(self, until_s: float, reason: str) -> None:
        """Eject the endpoint until ``until_s`` at least."""
        self.ejected_until_s = max(self.ejected_until_s, until_s)
        self.reason = reason

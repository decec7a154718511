"""Which endpoints are left alone for a while because they failed.

One failure can be chance; what an endpoint answers right after decides. Each
failure in a row doubles the time for which it is left alone, and the first
request after that time is its trial. Failures that other instances report
count as much as own ones, so that one request finds a dead endpoint for all.
An endpoint that starts again has a new entry, which ends all that at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final, final

__all__ = ('EndpointHealth', 'Fault')

#: First time alone: a few answers' time, since most single faults are chance.
_FIRST_PAUSE_S: Final = 0.5
#: First time alone of a process that does not listen: it comes back with a new
#: entry or not at all, unless only the way to it was cut. With its doubling
#: that makes two trials until a crashed one's entry lapses after 3.6 s.
_UNREACHABLE_PAUSE_S: Final = 1.5
#: Time alone of an endpoint whose address another one has: its entry lapses
#: or changes long before.
_REPLACED_PAUSE_S: Final = 60.0
#: Longest time alone; a crashed endpoint comes back in some seconds.
_LONGEST_PAUSE_S: Final = 4.0
_GROWTH: Final = 2.0
#: Share of recent answers that failed above which an endpoint is left alone
#: for the longest time at once.
_SICK_SHARE: Final = 0.5
#: Weight of the newest answer in that share.
_NEWEST_WEIGHT: Final = 0.2


@final
@unique
class Fault(Enum):
    """What an endpoint did wrong."""

    #: Nothing listens there, or the connection was not made in time.
    unreachable = 'unreachable'
    #: The connection ended before the answer was whole.
    broke_off = 'broke_off'
    #: It took the request and said nothing for too long.
    silent = 'silent'
    #: What it sent is not an answer to the request.
    garbled = 'garbled'
    #: It answered that it failed.
    failed = 'failed'
    #: Another endpoint answers at its address.
    replaced = 'replaced'


_FIRST_PAUSES_S: Final[Mapping[Fault, float]] = MappingProxyType(
    {
        Fault.unreachable: _UNREACHABLE_PAUSE_S,
        Fault.replaced: _REPLACED_PAUSE_S,
    }
)


@final
@dataclass(slots=True)
class EndpointHealth:
    """What one endpoint's answers say of it.

    :param failures: failures since the last good answer.
    :param failed_share: moving average of failed answers.
    :param alone_until_s: monotonic time until which it gets nothing new.
    :param reason: last failure, for logs.
    """

    failures: int = 0
    failed_share: float = 0
    alone_until_s: float = float('-inf')
    reason: str = ''

    def is_alone(self, now_s: float) -> bool:
        """Return whether the endpoint is to get nothing new."""
        return now_s < self.alone_until_s

    def is_unreached(self, now_s: float) -> bool:
        """Return whether it is left alone since it was not reached."""
        return self.is_alone(now_s) and self.reason == Fault.unreachable.value

    def answered(self) -> None:
        """Note a good answer."""
        self.failures = 0
        self.failed_share *= 1 - _NEWEST_WEIGHT

    def failed(self, now_s: float, fault: Fault) -> float:
        """Note a failure.

        :returns: for how long the endpoint is left alone now.
        """
        self.failures += 1
        self.failed_share += _NEWEST_WEIGHT * (1 - self.failed_share)
        first_s = _FIRST_PAUSES_S.get(fault, _FIRST_PAUSE_S)
        longest_s = max(first_s, _LONGEST_PAUSE_S)
        pause_s = min(longest_s, first_s * _GROWTH ** (self.failures - 1))
        if self.failed_share > _SICK_SHARE:
            pause_s = longest_s
        self.leave_alone(now_s + pause_s, fault.value)
        return pause_s

    def leave_alone(self, until_s: float, reason: str) -> None:
        """Give the endpoint nothing new until ``until_s``, or longer."""
        self.alone_until_s = max(self.alone_until_s, until_s)
        self.reason = reason

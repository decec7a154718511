"""Work that is left at an endpoint: when it has a free slot again."""

from collections.abc import Sequence
from math import inf
from typing import Final

__all__ = ('slot_wait_s',)

#: Least time that a running request is expected to go on for, as a share of
#: the usual time: no estimate is better than that.
_MIN_LEFT_SHARE: Final = 0.1
#: Least usual time, for requests that declare no length of their answers.
_MIN_USUAL_S: Final = 0.001


def slot_wait_s(
    now_s: float,
    ends_s: Sequence[float],
    slots: int,
    *,
    unseen: int,
    usual_s: float,
    overdue_s: float,
) -> float:
    """Return the expected time until an endpoint starts one more request.

    Requests end independently of each other, each at the rate that the time
    left to it implies. The first of several ends long before the mean of them.

    :param ends_s: monotonic times at which the known requests are expected to
        end, infinite for those of which no time is known.
    :param slots: requests that the endpoint runs at once.
    :param unseen: requests besides the known ones.
    :param usual_s: time for which a request is usually there.
    :param overdue_s: time for which a request goes on that should be over.
    """
    slots = max(1, slots)
    missing = len(ends_s) + unseen + 1 - slots
    if missing <= 0:
        return 0
    usual_s = max(usual_s, _MIN_USUAL_S)
    lefts_s = [
        _left_s(now_s, end_s, usual_s, overdue_s)
        for end_s in (*ends_s, *(inf for _ in range(unseen)))
    ]
    lefts_s.sort()
    ends_per_s = sum(1 / left_s for left_s in lefts_s[:slots])
    return missing / ends_per_s


def _left_s(
    now_s: float, end_s: float, usual_s: float, overdue_s: float
) -> float:
    """Return how long a request is expected to go on."""
    if end_s == inf:
        return usual_s
    left_s = end_s - now_s if end_s > now_s else overdue_s
    return max(left_s, _MIN_LEFT_SHARE * usual_s)

"""Burn rates: how fast the fleet uses up its error budgets.

Each instance counts good and bad events in one-minute buckets; a report sums
the counts of all instances over several windows. Nothing is written to disk:
an instance that restarts loses its counts, and the report states how far back
the counts of each window go.
"""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Final, final

import msgspec

from ..decoding import decode_json

__all__ = (
    'OBJECTIVES',
    'WINDOWS_S',
    'BurnCounts',
    'BurnRow',
    'ServiceLevels',
    'WindowCounts',
    'burn_rows',
    'decode_counts',
    'encode_counts',
)

#: Fraction of events that must be good, by objective. A first token is good
#: within 1.7 s and a token gap within 60 ms.
OBJECTIVES: Final = MappingProxyType(
    {
        'answered': 0.999,
        'first_token': 0.95,
        'token_gap': 0.95,
    }
)
WINDOWS_S: Final = (300, 3600, 21_600)

_BUCKET_S: Final = 60


@final
class WindowCounts(msgspec.Struct, frozen=True):
    """Counts of one objective over one window.

    :param reach_s: time covered by this instance's counts, at most the window.
    """

    objective: str
    window_s: int
    good: int
    bad: int
    reach_s: float


@final
class BurnCounts(msgspec.Struct, frozen=True):
    """Counts of one instance for all objectives and windows."""

    instance: str
    windows: tuple[WindowCounts, ...]


@final
class BurnRow(msgspec.Struct, frozen=True):
    """One row of the report: an objective over a window, for all instances.

    :param burn_rate: fraction of bad events divided by the allowed fraction; at
        1 the error budget lasts exactly for its period.
    :param reach_s: shortest time covered by the counts of an instance.
    :param instances: number of instances whose counts are included.
    """

    objective: str
    window_s: int
    good: int
    bad: int
    burn_rate: float
    reach_s: float
    instances: int


class _Bucket:
    __slots__ = ('bad', 'good', 'minute')

    def __init__(self, minute: int) -> None:
        self.minute = minute
        self.good = 0
        self.bad = 0


@final
class ServiceLevels:
    """Counts the good and bad events of one instance by objective."""

    __slots__ = ('_buckets', '_instance', '_started_s')

    def __init__(self, instance: str, now_s: float) -> None:
        """Start counting at the monotonic time ``now_s``."""
        self._instance = instance
        self._started_s = now_s
        self._buckets: dict[str, list[_Bucket]] = {
            objective: [] for objective in OBJECTIVES
        }

    def record(
        self, now_s: float, objective: str, good: int, bad: int = 0
    ) -> None:
        """Count ``good`` and ``bad`` events of ``objective`` at ``now_s``."""
        minute = int(now_s // _BUCKET_S)
        buckets = self._buckets[objective]
        if not buckets or buckets[-1].minute != minute:
            buckets.append(_Bucket(minute))
            self._drop_old(minute, buckets)
        buckets[-1].good += good
        buckets[-1].bad += bad

    def counts(self, now_s: float) -> BurnCounts:
        """Return the counts of all objectives over all windows."""
        return BurnCounts(
            self._instance,
            tuple(
                self._window_counts(now_s, objective, window_s)
                for objective in OBJECTIVES
                for window_s in WINDOWS_S
            ),
        )

    def _drop_old(self, minute: int, buckets: list[_Bucket]) -> None:
        oldest = minute - WINDOWS_S[-1] // _BUCKET_S
        while buckets[0].minute < oldest:
            buckets.pop(0)

    def _window_counts(
        self, now_s: float, objective: str, window_s: int
    ) -> WindowCounts:
        last_excluded_minute = int((now_s - window_s) // _BUCKET_S)
        recent = [
            bucket
            for bucket in self._buckets[objective]
            if bucket.minute > last_excluded_minute
        ]
        return WindowCounts(
            objective,
            window_s,
            sum(bucket.good for bucket in recent),
            sum(bucket.bad for bucket in recent),
            min(window_s, now_s - self._started_s),
        )


def burn_rows(all_counts: Iterable[BurnCounts]) -> tuple[BurnRow, ...]:
    """Sum the counts of several instances into the rows of the report."""
    windows = [window for counts in all_counts for window in counts.windows]
    return tuple(
        _burn_row(
            objective,
            window_s,
            [
                window
                for window in windows
                if window.objective == objective and window.window_s == window_s
            ],
        )
        for objective in OBJECTIVES
        for window_s in WINDOWS_S
    )


def _burn_row(
    objective: str, window_s: int, windows: list[WindowCounts]
) -> BurnRow:
    good = sum(window.good for window in windows)
    bad = sum(window.bad for window in windows)
    budget = 1 - OBJECTIVES[objective]
    burn_rate = bad / (good + bad) / budget if good + bad else 0
    return BurnRow(
        objective,
        window_s,
        good,
        bad,
        round(burn_rate, 3),
        min((window.reach_s for window in windows), default=0),
        len(windows),
    )


def encode_counts(counts: BurnCounts) -> bytes:
    """Return ``counts`` as JSON."""
    return msgspec.json.encode(counts)


def decode_counts(data: bytes) -> BurnCounts:
    """Return the counts in ``data``.

    :raises msgspec.DecodeError: when ``data`` does not match the type.
    """
    return decode_json(data, BurnCounts)

"""How a copy that is known to be behind the store becomes current again.

An answer of the store may prove that it has a version that its reads do not
show yet: history that is lost after some version, or a read that names a lower
version than an earlier answer. Until a read of all rows reaches what was
proven, the rows that are known are checked, which needs no current read, and
changes are followed from the version of that check on.
"""

from collections.abc import Iterable
from itertools import chain
from math import inf
from random import Random
from typing import Final, final

from ...connection.store_events import MAX_CHECKED_ROWS, StoreOutcome
from .watch_settings import WatchSettings

__all__ = ('CatchUp',)

#: Shortest time between two reads of all rows that are not current.
_MIN_READ_WAIT_S: Final = 0.1
_SECONDS_DIGITS: Final = 3


@final
class CatchUp:
    """What a copy lacks while it is known to be behind.

    :ivar check_due_s: monotonic time of the next check, inf for none.
    :ivar required_version: lowest version of a read that is current.
    :ivar follow_version: version after which changes are followed; 0 before a
        check.
    :ivar began_s: monotonic time since which the copy is known to be behind,
        None if it is not.
    :ivar outdated_reads: reads since then that were not current.
    """

    __slots__ = (
        '_checked_version',
        '_expected_keys',
        '_is_follower',
        '_random',
        '_settings',
        '_unchecked',
        'began_s',
        'check_due_s',
        'follow_version',
        'outdated_reads',
        'required_version',
    )

    def __init__(self, settings: WatchSettings, random: Random) -> None:
        """Start with a copy that is not known to be behind."""
        self._settings = settings
        self._random = random
        self.check_due_s = inf
        self._unchecked: list[str] | None = None
        self._checked_version = 0
        self._expected_keys = dict.fromkeys(settings.expected_keys)
        self._is_follower = True
        self.began_s: float | None = None
        self.required_version = 0
        self.follow_version = 0
        self.outdated_reads = 0

    @property
    def is_behind(self) -> bool:
        """Return whether the copy is known to be behind."""
        return self.began_s is not None

    @property
    def is_unchecked(self) -> bool:
        """Return whether known rows may be behind as well."""
        return self.check_due_s < inf

    def behind_s(self, now_s: float) -> float:
        """Return for how long the copy is known to be behind, or 0."""
        if self.began_s is None:
            return 0
        return round(now_s - self.began_s, _SECONDS_DIGITS)

    def require(self, now_s: float, version: int, *, is_follower: bool) -> None:
        """Note that the store has ``version`` and reads may not show it.

        :param is_follower: whether other instances get changes from this one.
            Those others check later, if no follower has told them more, since
            the store takes few writes a second.
        """
        if self.began_s is None:
            self.began_s = now_s
            self.outdated_reads = 0
        self._is_follower = is_follower
        self.required_version = max(self.required_version, version)
        self.request_check(now_s, is_follower=is_follower)

    def request_check(self, now_s: float, *, is_follower: bool) -> None:
        """Check the known rows soon."""
        if not self._settings.is_checked:
            return
        due_s = now_s
        if not is_follower:
            delay_s = self._settings.check_delay_s
            due_s += delay_s * (1 + self._random.random())
        self._unchecked = None
        self.check_due_s = min(self.check_due_s, due_s)

    def retry_check(self, at_s: float) -> None:
        """Check again at a monotonic time, as a check has failed."""
        self.check_due_s = at_s

    def expect_rows(self, keys: Iterable[str]) -> None:
        """Include rows that the table may have in checks, up to a limit."""
        for key in keys:
            if len(self._expected_keys) < MAX_CHECKED_ROWS:
                self._expected_keys[key] = None

    def keys_to_check(
        self, now_s: float, known_keys: Iterable[str]
    ) -> tuple[str, ...]:
        """Return the keys of the rows to check now, if there are any."""
        if now_s < self.check_due_s:
            return ()
        if self._unchecked is None:
            # Each key once, those that matter most first.
            keys = chain(self._expected_keys, known_keys)
            self._unchecked = list(dict.fromkeys(keys))
            self._checked_version = 0
        if not self._unchecked:
            self.check_due_s = inf
        return tuple(self._unchecked[:MAX_CHECKED_ROWS])

    def note_checked(self, keys: Iterable[str], outcome: StoreOutcome) -> None:
        """Note an answered check of the rows ``keys``."""
        if not self._checked_version:
            # Rows of later checks that change meanwhile are among the changes
            # that follow the first one.
            self._checked_version = outcome.table_version
        if self.is_behind:
            self.required_version = max(
                self.required_version, outcome.table_version
            )
        found = {row.row_key for row in outcome.rows}
        checked = found if found else set(keys)
        self._unchecked = [
            key for key in self._unchecked or () if key not in checked
        ]
        if self._unchecked:
            return
        self.check_due_s = inf
        self.follow_version = max(self.follow_version, self._checked_version)

    def note_outdated_read(self, now_s: float) -> float:
        """Note a read that is not current, and return when to read again.

        A follower without a check has no other way to the newest rows.
        """
        self.outdated_reads += 1
        wait_s = self._settings.max_retry_wait_s
        if self._is_follower and (
            self.is_unchecked or not self._settings.is_checked
        ):
            wait_s = self._settings.batch_wait_s
        return now_s + max(_MIN_READ_WAIT_S, wait_s)

    def end(self) -> None:
        """Note that the copy is current."""
        self.began_s = None
        self.follow_version = 0
        self.check_due_s = inf

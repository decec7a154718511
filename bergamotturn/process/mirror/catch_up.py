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

from ...connection.store_events import MAX_CHECKED_ROWS, RowCheck, StoreOutcome
from .watch_settings import WatchSettings

__all__ = ('CatchUp',)

#: Shortest time between two reads of all rows that are not current.
_MIN_READ_WAIT_S: Final = 0.1
#: Wait after a failed check, which doubles with each one.
_MIN_RETRY_WAIT_S: Final = 0.05
_MAX_GROWTHS: Final = 8
#: Timeout of the first call. A store that is slow may take fifty times its
#: usual few milliseconds.
_FIRST_TIMEOUT_S: Final = 0.4
_MAX_TIMEOUT_GROWTHS: Final = 2
_SECONDS_DIGITS: Final = 3


@final
class CatchUp:
    """What a copy lacks while it is known to be behind.

    :ivar check_due_s: monotonic time of the next check, inf for none.
    :ivar delayed_until_s: monotonic time of a delayed check, also if a read has
        called it off. It is inf once the check starts or the store tells the
        changes that follow the copy.
    :ivar required_version: lowest version of a read that is current.
    :ivar follow_version: version after which changes are followed; 0 before a
        check.
    :ivar began_s: monotonic time since which the copy is known to be behind,
        None if it is not.
    :ivar failures: calls in a row that failed.
    :ivar outdated_reads: reads since then that were not current.
    """

    __slots__ = (
        '_checked_version',
        '_expected_keys',
        '_is_follower',
        '_is_slow',
        '_random',
        '_read_s',
        '_settings',
        '_unchecked',
        'began_s',
        'check_due_s',
        'delayed_until_s',
        'failures',
        'follow_version',
        'outdated_reads',
        'required_version',
    )

    def __init__(self, settings: WatchSettings, random: Random) -> None:
        """Start with a copy that is not known to be behind."""
        self._settings = settings
        self._random = random
        self.check_due_s = inf
        self.delayed_until_s = inf
        #: Keys that the running check has not told yet; None before it starts.
        self._unchecked: list[str] | None = None
        #: Version at the first answer of the running check.
        self._checked_version = 0
        #: Keys of rows that are checked also while they don't exist.
        self._expected_keys = dict.fromkeys(settings.expected_keys)
        self._is_follower = True
        #: Whether the last check failed only after most of its timeout.
        self._is_slow = False
        #: Monotonic time of the last read that was not current.
        self._read_s = -inf
        self.began_s: float | None = None
        self.required_version = 0
        self.follow_version = 0
        self.outdated_reads = 0
        self.failures = 0

    @property
    def is_behind(self) -> bool:
        """Return whether the copy is known to be behind."""
        return self.began_s is not None

    @property
    def is_unchecked(self) -> bool:
        """Return whether a check is due, planned or under way."""
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
        due_s = now_s if is_follower else self._delay_check(now_s)
        self._unchecked = None
        self.check_due_s = min(self.check_due_s, due_s)

    def _delay_check(self, now_s: float) -> float:
        """Return the time of a check that others may make needless.

        A read may have called off a check although it wasn't current. The delay
        doesn't begin again then, since reads may go on like that.
        """
        longest_s = self._settings.check_delay_s
        is_old = self.delayed_until_s + longest_s < now_s
        if is_old or self.delayed_until_s == inf:
            delay_s = self._random.uniform(longest_s / 3, longest_s)
            self.delayed_until_s = now_s + delay_s
        return self.delayed_until_s

    def hasten_check(self) -> None:
        """Let a check that is planned for later be due at once."""
        if self.is_unchecked:
            self.check_due_s = float('-inf')

    def retry_check(
        self, now_s: float, check: RowCheck, started_s: float
    ) -> None:
        """Check again later, as a check has failed."""
        if not self.is_unchecked:
            return
        self._is_slow = now_s - started_s > check.timeout_s / 2
        self.failures += 1
        self.check_due_s = now_s + min(
            self._settings.max_retry_wait_s,
            _MIN_RETRY_WAIT_S * 2 ** min(self.failures, _MAX_GROWTHS),
        )

    @property
    def timeout_s(self) -> float:
        """Return the timeout of a call that the next one waits for.

        It is short, as a call that gets no answer must not use up the time in
        which changes are to be in force, and grows for a store that is slow.
        """
        return _FIRST_TIMEOUT_S * 2 ** min(self.failures, _MAX_TIMEOUT_GROWTHS)

    def reads_before_check(self, now_s: float, read_due_s: float) -> bool:
        """Return whether a read goes before a check that is due.

        A read that gets due while the check gets no answer would be late by the
        check's timeout.
        """
        if now_s < self.check_due_s or not self._is_slow:
            return False
        if self._is_follower or now_s < self._read_s + _MIN_READ_WAIT_S:
            return False
        is_first = read_due_s <= now_s + self.timeout_s
        # The check is next, whatever comes of the read.
        self._is_slow = not is_first
        return is_first

    def expect_rows(self, keys: Iterable[str]) -> None:
        """Include rows that the table may have in checks, up to a limit."""
        new = [key for key in keys if key not in self._expected_keys]
        new = new[: MAX_CHECKED_ROWS - len(self._expected_keys)]
        self._expected_keys.update(dict.fromkeys(new))
        if self.is_unchecked and self._unchecked is not None:
            self._unchecked.extend(new)
        elif self.is_behind and new and not self.is_unchecked:
            self._unchecked = new
            self.check_due_s = float('-inf')

    def keys_to_check(
        self, now_s: float, known_keys: Iterable[str]
    ) -> tuple[str, ...]:
        """Return the keys of the rows to check now, if there are any."""
        if now_s < self.check_due_s:
            return ()
        self.delayed_until_s = inf
        if self._unchecked is None:
            # Each key once, those that matter most first.
            keys = chain(self._expected_keys, known_keys)
            self._unchecked = list(dict.fromkeys(keys))
            self._checked_version = 0
        if not self._unchecked:
            self.check_due_s = inf
        return tuple(self._unchecked[:MAX_CHECKED_ROWS])

    def note_checked(
        self, check: RowCheck, outcome: StoreOutcome, floor: int
    ) -> bool:
        """Note an answered check.

        :param floor: newest version that the store had named by its begin.
        :returns: whether it is current, and told any of the rows that were
            asked for.
        """
        found = {row.row_key for row in outcome.rows}
        if outcome.table_version < floor or found.isdisjoint(check.row_keys):
            return False
        if not self.is_unchecked:
            # The copy has become current meanwhile.
            return True
        self.failures = 0
        self._is_slow = False
        if not self._checked_version:
            # Rows of later checks that change meanwhile are among the changes
            # that follow the first one.
            self._checked_version = outcome.table_version
        if self.is_behind:
            self.required_version = max(
                self.required_version, outcome.table_version
            )
        self._unchecked = [
            key for key in self._unchecked or () if key not in found
        ]
        if not self._unchecked:
            self.check_due_s = inf
            self.follow_version = max(
                self.follow_version, self._checked_version
            )
        return True

    def note_failed_call(self) -> None:
        """Note that a call other than a check got no answer."""
        self.failures += 1
        # A read has no better prospect than a check.
        self._is_slow = False

    @property
    def failed_read_wait_s(self) -> float:
        """Return the time between a read that failed and the next one.

        Once the rows are checked, changes are followed meanwhile.
        """
        return self._settings.max_retry_wait_s if self.follow_version else 0

    def note_outdated_read(self, now_s: float) -> float:
        """Note a read that is not current, and return when to read again.

        A follower without a check has no other way to the newest rows.
        """
        self.outdated_reads += 1
        self._read_s = now_s
        settings = self._settings
        needs_read = self.is_unchecked or not settings.is_checked
        wait_s = settings.max_retry_wait_s
        if settings.wait_s and self._is_follower and needs_read:
            wait_s = settings.batch_wait_s
        return now_s + max(_MIN_READ_WAIT_S, wait_s)

    def end(self) -> None:
        """Note that the copy is current."""
        self.began_s = None
        self.failures = 0
        self._is_slow = False
        self.follow_version = 0
        self.check_due_s = inf
        self._unchecked = None

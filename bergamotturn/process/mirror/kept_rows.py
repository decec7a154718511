"""Rows of a table that the store lost and that a copy keeps for some time.

A store that is restored from a copy has lost its newest changes. Those who made
them make them again, but until then its rows are older than what is known:
rows are absent, removed ones are back, and others have an earlier content. An
instance that knows the lost changes acts on them, for as long as it takes to
make them again.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Final, final

from ...connection.store_events import Row, RowStates
from ...connection.store_version import FIRST_ERA, era_of, number_of

__all__ = ('KeptRows',)

#: State of a row: number of its version, and digest of its content.
_State = tuple[int, int]
#: Earlier states of a row that are remembered. A store comes back as of some
#: seconds ago.
_MAX_STATES: Final = 8
_DIGEST_BYTES: Final = 8


@final
class KeptRows:
    """What a copy keeps although the restored store says otherwise.

    :ivar missing: keys of rows that the copy has and the store has no more.
    :ivar reverted: keys of rows that the store has in an earlier state than the
        copy, or that the copy has removed and the store has again.
    :ivar is_unread: whether rows were released whose state in the store only a
        read of all rows tells, as of no older version than that of the copy.
    :ivar era: newest era of the store that lacked a kept row.
    """

    __slots__ = ('_states', 'era', 'is_unread', 'missing', 'reverted')

    def __init__(self) -> None:
        """Start without rows."""
        self._states: dict[str, deque[_State]] = {}
        self.missing: set[str] = set()
        self.reverted: set[str] = set()
        self.is_unread = False
        self.era = FIRST_ERA

    def __bool__(self) -> bool:
        """Return whether the copy differs from the store."""
        return self.is_unread or bool(self.missing or self.reverted)

    def remember(self, row: Row, replaced_by: Row | None = None) -> None:
        """Remember the state of a row that has another one now or is removed.

        :param replaced_by: the row as it is now; a restored store names the
            same state by another version.
        """
        state = _state_of(row)
        if replaced_by is not None and _state_of(replaced_by) == state:
            return
        states = self._states.setdefault(row.row_key, deque(maxlen=_MAX_STATES))
        states.append(state)

    def states_of(self, row_key: str) -> RowStates:
        """Return the earlier states of a row that are remembered."""
        return tuple(self._states.get(row_key, ()))

    def take_states(self, states: Mapping[str, RowStates]) -> None:
        """Remember earlier states that a peer has told of."""
        for row_key, told in states.items():
            distinct = dict.fromkeys((*told, *self.states_of(row_key)))
            self._states[row_key] = deque(distinct, maxlen=_MAX_STATES)

    def keep_missing(self, known: Row, version: int) -> bool:
        """Keep a row that is absent as of ``version``, if it may be lost.

        A row that the copy has from an earlier era may be, as no answer told of
        its removal.

        :returns: whether the copy keeps it.
        """
        if era_of(known.row_version) >= era_of(version):
            return False
        if known.row_key not in self.reverted:
            # A peer may keep the removal of a row that the store has again.
            self.missing.add(known.row_key)
        self.era = max(self.era, era_of(version))
        return True

    def reject_earlier(self, row: Row, known_version: int) -> bool:
        """Reject ``row`` if it is an earlier state than the known one.

        :param known_version: version of the row's last change, 0 if the row was
            never known.
        :returns: whether the copy keeps the known state.
        """
        if not known_version or era_of(row.row_version) == era_of(
            known_version
        ):
            return False
        if _state_of(row) not in self._states.get(row.row_key, ()):
            return False
        self.missing.discard(row.row_key)
        self.reverted.add(row.row_key)
        self.era = max(self.era, era_of(row.row_version))
        return True

    def note_changed(self, row_key: str) -> None:
        """Note that the copy has a row, or its removal, as the store has it."""
        self.missing.discard(row_key)
        self.reverted.discard(row_key)

    def release_reverted(self) -> None:
        """Take the restored state of rows when it is read next."""
        self.forget(self.reverted)
        self.reverted.clear()
        self.is_unread = True

    def forget(self, row_keys: Iterable[str]) -> None:
        """Forget the earlier states of rows, so that any state is taken."""
        for row_key in row_keys:
            self._states.pop(row_key, None)


def _state_of(row: Row) -> _State:
    """Return what identifies a state of a row across eras.

    A restored store names a state by the number that it had. It may give out
    the number again, hence the content.
    """
    digest = blake2b(row.value, digest_size=_DIGEST_BYTES).digest()
    return number_of(row.row_version), int.from_bytes(digest)

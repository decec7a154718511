"""The row of the platform's store that holds the quarantined prompt parts.

All instances read and write the same row. Each change is merged into the newest
content, so that the order of the writes does not matter, and an instance writes
only what the row does not say yet. The class uses no socket and no clock.
"""

from collections.abc import Iterable
from math import inf
from typing import Annotated, Final, final

import msgspec

from ..decoding import decode_json
from .endpoints.quarantined_part import (
    MAX_QUARANTINE_S,
    QuarantinedPart,
    quarantine_s,
)

__all__ = (
    'QUARANTINE_KEY',
    'QUARANTINE_TABLE',
    'QuarantineRow',
    'decode_parts',
    'encode_parts',
)

#: Prefix of the keys of the table.
QUARANTINE_TABLE: Final = 'quarantine/'
#: Key of its only row.
QUARANTINE_KEY: Final = f'{QUARANTINE_TABLE}parts'
_MAX_PARTS: Final = 64
_MAX_RELEASES: Final = 256
_MAX_PART_CHARS: Final = 128
#: A quarantine with more parts beside it isn't stored, as they would fill the
#: row. They become fewer with the first success.
_MAX_BESIDE: Final = 64
#: Largest integer that every JSON implementation keeps exactly.
_MAX_INTEGER: Final = 9_007_199_254_740_991
_MS_PER_S: Final = 1000
#: Times that differ by less are the same: the clocks of instances differ, and
#: instances that decide together do so at slightly different times.
_TOLERANCE_S: Final = 5.0
#: Entries that ended are kept for this time, since the clock of the instance
#: that writes may be ahead.
_KEPT_S: Final = 300.0
_PartId = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_PART_CHARS)]


@final
class _Entry(msgspec.Struct, frozen=True):
    """A part in the row."""

    part: _PartId
    until_unix_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
    relapses: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)] = 0
    beside: Annotated[
        tuple[_PartId, ...], msgspec.Meta(max_length=_MAX_BESIDE)
    ] = ()


@final
class _Known(msgspec.Struct, frozen=True):
    """A part that was reported as quarantined, here or by a peer.

    :param is_own: whether this instance writes it to the row.
    """

    quarantined: QuarantinedPart
    is_own: bool


@final
class _Release(msgspec.Struct, frozen=True):
    """The release of a part.

    :param until_s: when the released quarantine would have ended.
    :param is_remover: whether this instance removes the part from the row.
    """

    released_s: float
    until_s: float
    is_remover: bool

    def ends(self, each: QuarantinedPart) -> bool:
        """Return whether ``each`` was decided before the release."""
        return (
            each.until_s <= self.until_s + _TOLERANCE_S
            or each.began_s <= self.released_s + _TOLERANCE_S
        )


@final
class QuarantineRow:
    """The newest known content of the row, and what is to be written to it.

    :ivar row_version: version of the newest known content, 0 if there is none.
    """

    __slots__ = (
        '_known',
        '_released',
        '_stored',
        '_uncertain_until_s',
        '_wanted',
        'row_version',
    )

    def __init__(self) -> None:
        """Start before the row is read."""
        self.row_version = 0
        self._stored: dict[str, QuarantinedPart] = {}
        self._known: dict[str, _Known] = {}
        #: Own parts that the row may not hold yet.
        self._wanted: set[str] = set()
        self._released: dict[str, _Release] = {}
        #: End of the parts of a write that may still take effect.
        self._uncertain_until_s = -inf

    def add(
        self, now_s: float, parts: Iterable[QuarantinedPart], *, is_own: bool
    ) -> None:
        """Handle newly quarantined parts.

        :param is_own: whether this instance decided and must store them.
        """
        for each in parts:
            if len(each.beside) > _MAX_BESIDE:
                continue
            release = self._released.pop(each.part, None)
            known = self._known.get(each.part)
            if known is not None:
                each = known.quarantined.merge(each)
            # A pending removal of the part by this instance may still take
            # effect, and nobody else would notice that it did.
            is_stored_here = is_own or (
                release is not None and release.is_remover
            )
            if is_stored_here:
                self._wanted.add(each.part)
            self._known[each.part] = _Known(
                _capped(now_s, each),
                is_own=is_stored_here or (known is not None and known.is_own),
            )
        self._drop_ended(now_s)

    def release(
        self, now_s: float, parts: Iterable[str], *, is_own: bool
    ) -> bool:
        """Handle parts that turned out to be sound.

        The part is removed from the row by the instance that noticed, and by
        those that decided on the quarantine: one of their writes may take
        effect after the removal.

        :returns: whether the row must be read to know if it holds the parts.
        """
        is_read_needed = False
        for part in parts:
            known = self._known.pop(part, None)
            self._wanted.discard(part)
            is_decider = known is not None and known.is_own
            until_s = self._until_s(part, known)
            if until_s <= now_s:
                continue
            self._released[part] = _Release(
                now_s, until_s, is_remover=is_own or is_decider
            )
            if is_own and not is_decider and part not in self._stored:
                is_read_needed = True
        while len(self._released) > _MAX_RELEASES:
            self._released.pop(next(iter(self._released)))
        return is_read_needed

    def use(self, version: int, parts: Iterable[QuarantinedPart]) -> bool:
        """Take over the content of the row, and return whether it is newer."""
        if version <= self.row_version:
            return False
        self.row_version = version
        self._stored = {}
        for each in parts:
            stored = self._stored.get(each.part, each)
            self._stored[each.part] = stored.merge(each)
        self._stored = _last_ending(self._stored)
        # A write with an older expected version is refused from now on.
        self._uncertain_until_s = -inf
        return True

    def clear(self) -> None:
        """Handle that the row is absent."""
        self.row_version = 0
        self._stored = {}
        self._uncertain_until_s = -inf

    def note_restored(self) -> None:
        """Handle that the store may have lost the newest content.

        Those who decided on a part write it again.
        """
        self.row_version = 0
        self._stored = {}
        self._wanted.update(
            part for part, known in self._known.items() if known.is_own
        )

    def note_unknown_write(self, parts: Iterable[QuarantinedPart]) -> None:
        """Handle a write of ``parts`` that may take effect later.

        Until another write or a newer row shows that it cannot, the content is
        uncertain, both of the parts that it adds and of those that it removes.
        """
        for each in (*parts, *self._stored.values()):
            self._uncertain_until_s = max(self._uncertain_until_s, each.until_s)

    def in_force(self, now_s: float) -> tuple[QuarantinedPart, ...]:
        """Return the parts in the row that are in force and not released."""
        return tuple(
            each
            for each in self._stored.values()
            if each.until_s > now_s and not self._is_released(each)
        )

    def to_write(self, now_s: float) -> tuple[QuarantinedPart, ...] | None:
        """Return the next content, or None if the row says the same."""
        self._drop_ended(now_s)
        stored = {
            part: each
            for part, each in self._stored.items()
            if each.until_s > now_s - _KEPT_S
        }
        target = {
            part: each
            for part, each in stored.items()
            if not self._is_removed_here(each)
        }
        for part in self._wanted:
            each = self._known[part].quarantined
            target[part] = target.get(part, each).merge(each)
        target = _last_ending(target)
        if self._uncertain_until_s <= now_s and _is_same(stored, target):
            self._wanted.clear()
            return None
        return tuple(target.values())

    def _until_s(self, part: str, known: _Known | None) -> float:
        """Return when the quarantine of ``part`` ends, or -inf."""
        stored = self._stored.get(part)
        return max(
            -inf if known is None else known.quarantined.until_s,
            -inf if stored is None else stored.until_s,
        )

    def _is_released(self, each: QuarantinedPart) -> bool:
        release = self._released.get(each.part)
        return release is not None and release.ends(each)

    def _is_removed_here(self, each: QuarantinedPart) -> bool:
        release = self._released.get(each.part)
        if release is None or not release.is_remover:
            return False
        return release.ends(each)

    def _drop_ended(self, now_s: float) -> None:
        lasting = _last_ending(
            {
                part: known.quarantined
                for part, known in self._known.items()
                if known.quarantined.until_s > now_s
            }
        )
        self._known = {part: self._known[part] for part in lasting}
        self._wanted.intersection_update(lasting)
        self._released = {
            part: release
            for part, release in self._released.items()
            if release.until_s > now_s
        }


def encode_parts(
    parts: Iterable[QuarantinedPart], unix_offset_s: float
) -> bytes:
    """Encode the content of the row.

    :param unix_offset_s: Unix time less monotonic time.
    """
    return msgspec.json.encode(
        [
            _Entry(
                each.part,
                max(0, round((each.until_s + unix_offset_s) * _MS_PER_S)),
                each.relapses,
                each.beside,
            )
            for each in parts
        ]
    )


def decode_parts(
    content: bytes, now_s: float, unix_offset_s: float
) -> tuple[QuarantinedPart, ...]:
    """Decode the content of the row.

    No quarantine lasts longer than one that began now, whatever the clock of
    the instance that wrote it.

    :raises msgspec.DecodeError: if it is invalid.
    """
    entries = decode_json(content, list[_Entry])
    return tuple(
        QuarantinedPart(
            entry.part,
            min(
                entry.until_unix_ms / _MS_PER_S - unix_offset_s,
                now_s + quarantine_s(entry.relapses) + _TOLERANCE_S,
            ),
            entry.relapses,
            entry.beside,
        )
        for entry in entries
    )


def _capped(now_s: float, each: QuarantinedPart) -> QuarantinedPart:
    until_s = min(each.until_s, now_s + MAX_QUARANTINE_S)
    return msgspec.structs.replace(each, until_s=until_s)


def _last_ending(
    parts: dict[str, QuarantinedPart],
) -> dict[str, QuarantinedPart]:
    """Return the parts that the row has room for."""
    if len(parts) <= _MAX_PARTS:
        return parts
    ordered = sorted(
        parts.values(), key=lambda each: (-each.until_s, each.part)
    )
    return {each.part: each for each in ordered[:_MAX_PARTS]}


def _is_same(
    stored: dict[str, QuarantinedPart], target: dict[str, QuarantinedPart]
) -> bool:
    if stored.keys() != target.keys():
        return False
    return all(
        stored[part].relapses >= each.relapses
        and stored[part].until_s + _TOLERANCE_S >= each.until_s
        and set(stored[part].beside).issubset(each.beside)
        for part, each in target.items()
    )

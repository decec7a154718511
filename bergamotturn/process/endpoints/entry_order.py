"""The order in which an endpoint wrote its entries.

A store may perform a write seconds after its sender has given it up, and then
shows an entry that is older than one that it showed before. The versions of
the store don't tell; the start and the revision in an entry do.
"""

from typing import Final, final

from .entry import EndpointEntry

__all__ = ('EntryOrder', 'is_older')

#: Time for which an older entry is ignored while nothing replaces it. Its
#: endpoint writes about once a second and is removed after some seconds of
#: silence, so an entry that stays for longer is what the endpoint says now, and
#: the known one is wrong. A store that is away prevents both for some seconds.
_MAX_IGNORED_S: Final = 30.0


@final
class EntryOrder:
    """Finds entries that are older than the known one of their endpoint."""

    __slots__ = ('_ignored', '_ignored_since_s', '_overdue')

    def __init__(self) -> None:
        """Start without entries."""
        #: The older entry that the store has now, by endpoint.
        self._ignored: dict[str, EndpointEntry] = {}
        #: Monotonic time since which it has an older one.
        self._ignored_since_s: dict[str, float] = {}
        self._overdue: set[str] = set()

    def accepts(
        self, entry: EndpointEntry, known: EndpointEntry | None
    ) -> bool:
        """Return whether an entry replaces the known one.

        :param known: newest entry of the endpoint, also of one that was
            removed.
        """
        endpoint_id = entry.endpoint_id
        is_outdated = known is not None and is_older(entry, known)
        if is_outdated and endpoint_id not in self._overdue:
            self._ignored_since_s.setdefault(endpoint_id, entry.listed_s)
            self._ignored[endpoint_id] = entry
            return False
        self.forget(endpoint_id)
        return True

    def forget(self, endpoint_id: str) -> None:
        """Note that the store has no older entry of the endpoint any more."""
        self._ignored.pop(endpoint_id, None)
        self._ignored_since_s.pop(endpoint_id, None)
        self._overdue.discard(endpoint_id)

    def overdue_entries(self, now_s: float) -> tuple[EndpointEntry, ...]:
        """Return the entries that were ignored for too long.

        They are accepted from now on, unless a newer one comes before.
        """
        self._overdue.update(
            endpoint_id
            for endpoint_id, since_s in self._ignored_since_s.items()
            if now_s - since_s >= _MAX_IGNORED_S
        )
        return tuple(self._ignored[each] for each in self._overdue)


def is_older(entry: EndpointEntry, known: EndpointEntry) -> bool:
    """Return whether an endpoint wrote ``entry`` before the known one.

    Entries without a revision, or of unknown starts, are in the order of the
    store.
    """
    if entry.born_unix_ms != known.born_unix_ms:
        return entry.born_unix_ms < known.born_unix_ms
    if not (entry.born_unix_ms and entry.revision):
        return False
    return entry.revision < known.revision

"""From where a restored store is asked to tell its changes."""

from typing import final

from ...connection.store_version import era_of

__all__ = ('RestoredChanges',)


@final
class RestoredChanges:
    """The changes in the store's newest era, which it is asked for once.

    Checks and reads don't tell a row that was removed since the restore from
    one that was lost; the changes do.
    """

    __slots__ = ('_is_untold', '_since_version')

    def __init__(self) -> None:
        """Start before any restore."""
        self._since_version = 0
        self._is_untold = False

    @property
    def untold_since(self) -> int:
        """Return the version since which they are to be told, 0 for none."""
        return self._since_version if self._is_untold else 0

    def begin(self, first_version: int) -> None:
        """Ask for the changes of an era.

        :param first_version: what the store named first in it, 0 if unknown.
        """
        self._since_version = first_version
        self._is_untold = True

    def extend(self, first_version: int) -> bool:
        """Ask for them once more if another instance heard of the era earlier.

        :param first_version: what the store named first to that instance.
        :returns: whether that is news.
        """
        if era_of(first_version) != era_of(self._since_version):
            return False
        if not 0 < first_version < self._since_version:
            return False
        self.begin(first_version)
        return True

    def end(self) -> None:
        """Note that they were told, or can't be told any more."""
        self._is_untold = False

"""The versions that the platform's store has named to this process.

The store has one version counter for all its tables. A read that was sent after
an answer with some version, and is answered with a lower one, is therefore out
of date, whatever the table. Versions above the first one of an era were given
out since the store was restored.
"""

from typing import final

from ...connection.store_events import StoreOutcome
from ...connection.store_version import era_of

__all__ = ('NewestVersion',)


@final
class NewestVersion:
    """The highest version among the store's answers, and the first of its era.

    :ivar version: 0 before the first answer.
    :ivar first_version: what the first answer of a later era named, to this
        instance or to one that has told of it; 0 before the store was restored.
    """

    __slots__ = ('first_version', 'version')

    def __init__(self) -> None:
        """Start before the first answer."""
        self.version = 0
        self.first_version = 0

    def note_first(self, version: int) -> None:
        """Note the version that another instance has heard first."""
        if era_of(version) == era_of(self.first_version):
            self.first_version = min(self.first_version, version)

    def note(self, outcome: StoreOutcome) -> None:
        """Note the versions that an answer names."""
        rows = (row.row_version for row in outcome.rows)
        before = self.version
        self.version = max(
            before, outcome.table_version, outcome.row_version, *rows
        )
        if before and era_of(self.version) > era_of(before):
            self.first_version = self.version

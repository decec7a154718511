"""Settings of the watch of one table, and what a watch asks for."""

from dataclasses import dataclass
from typing import final

from ...connection.store_events import RowCheck, RowFollow, RowScan
from ..actions import SendTo
from .table_copy import TableChange

__all__ = (
    'CancelStoreOperation',
    'StartStoreOperation',
    'WatchAction',
    'WatchOperation',
    'WatchSettings',
)

WatchOperation = RowCheck | RowFollow | RowScan


@final
@dataclass(slots=True, frozen=True)
class WatchSettings:
    """Settings of the watch of one table.

    :param owner: circuits channel that receives the outcomes.
    :param prefix: prefix of the keys of the table's rows.
    :param wait_s: maximum wait for changes in one call; 0 to read all rows
        periodically instead. A store may lose the waiting calls of all
        instances at once. No peer then has a change that this instance lacks,
        and only the end of a wait shows the loss.
    :param long_wait_s: the same for instances of a large fleet that are no
        followers and call the store all the same. They learn from the
        followers' versions that their call is lost.
    :param max_retry_wait_s: longest wait after a failed call.
    :param batch_wait_s: batch wait after changes, in which more may arrive. A
        call for each change of a burst would cost more than it is worth. The
        wait doubles while each call returns changes, up to
        ``max_batch_wait_s``.
    :param max_batch_wait_s: maximum batch wait.
    :param reread_s: time between reads of all rows if ``wait_s`` is 0.
    :param is_checked: whether the rows that are known are checked while reads
        of all rows are behind.
    :param check_delay_s: longest time after which instances of a large fleet
        that are no followers check them; a third of it at least.
    :param expected_keys: keys of rows that are checked also while the copy has
        no such row.
    :param missing_kept_s: time for which rows that a restored store has lost
        stay; 0 if its rows count at once.
    :param reverted_kept_s: time for which rows stay that a restored store has
        in an earlier state.
    :param is_forwarded: whether followers of a large fleet forward the
        changes; only for tables with small rows. A configuration of 64 KB,
        sent to each instance of a data centre, would fill a follower's link.
    """

    owner: str
    prefix: str
    wait_s: float = 0
    long_wait_s: float = 0
    max_retry_wait_s: float = 2
    batch_wait_s: float = 0
    max_batch_wait_s: float = 0
    reread_s: float = 0
    is_checked: bool = False
    check_delay_s: float = 0
    expected_keys: tuple[str, ...] = ()
    missing_kept_s: float = 0
    reverted_kept_s: float = 0
    is_forwarded: bool = False


@final
@dataclass(slots=True, frozen=True)
class StartStoreOperation:
    """Start ``operation`` on the store."""

    operation: WatchOperation


@final
@dataclass(slots=True, frozen=True)
class CancelStoreOperation:
    """Give up the operation ``operation_id`` without an outcome."""

    operation_id: int


WatchAction = CancelStoreOperation | StartStoreOperation | SendTo | TableChange

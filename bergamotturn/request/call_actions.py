"""Context of an attempt at an idempotent call, and its actions."""

from typing import Protocol, final

import msgspec

from ..connection.store_events import ObjectRead, ObjectWrite, RowRead, RowWrite
from ..errors import Failure
from .call_record import KeptResult

__all__ = (
    'AttemptContext',
    'CallAction',
    'Finish',
    'ObtainPermit',
    'OwnerLiveness',
    'Refuse',
    'Reply',
    'Retry',
    'Send',
    'StartStoreOperation',
)


@final
class AttemptContext(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, deadline and clock of an attempt.

    :param row_key: key of the call's row.
    :param digest: digest of method, path and body.
    :param token: unique to this attempt.
    :param boot_id: boot of ``instance`` that makes the attempt.
    :param deadline_s: monotonic time by which the answer must be complete.
    :param unix_offset_s: wall-clock time minus monotonic time.
    :param result_keep_s: time after which results expire.
    :param owner: circuits channel for outcomes of store operations.
    """

    row_key: str
    digest: str
    token: str
    instance: str
    boot_id: str
    deadline_s: float
    unix_offset_s: float
    result_keep_s: float
    owner: str


@final
class StartStoreOperation(msgspec.Struct, frozen=True):
    """Start ``operation`` at the table or the object store."""

    operation: RowRead | RowWrite | ObjectRead | ObjectWrite


@final
class ObtainPermit(msgspec.Struct, frozen=True):
    """Obtain a permit, then call ``send``; the row is confirmed."""


@final
class Send(msgspec.Struct, frozen=True):
    """Send the call now, exactly once."""


@final
class Reply(msgspec.Struct, frozen=True):
    """Answer the caller with ``kept``."""

    kept: KeptResult


@final
class Refuse(msgspec.Struct, frozen=True):
    """Answer the caller with ``failure``."""

    failure: Failure


@final
class Retry(msgspec.Struct, frozen=True):
    """Call ``on_retry`` after ``delay_s``."""

    delay_s: float


@final
class Finish(msgspec.Struct, frozen=True):
    """Discard the call; nothing is pending any more."""


CallAction = (
    StartStoreOperation | ObtainPermit | Send | Reply | Refuse | Retry | Finish
)


class OwnerLiveness(Protocol):
    """Predicate that tells whether the owner of a row is alive."""

    def __call__(self, instance: str, boot_id: str) -> bool:
        """Return whether the boot ``boot_id`` of ``instance`` is alive."""

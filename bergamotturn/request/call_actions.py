"""Terms of an attempt at an idempotent call, and what it may ask for."""

from typing import Protocol, final

import msgspec

from ..connection.store_events import ObjectRead, ObjectWrite, RowRead, RowWrite
from ..errors import Failure
from .call_record import KeptResult

__all__ = (
    'Action',
    'CallTerms',
    'Finish',
    'Operate',
    'OwnerLiveness',
    'Proceed',
    'Refuse',
    'Reply',
    'Retry',
    'Send',
)


@final
class CallTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What an attempt knows at its start.

    :param token: unique to this attempt.
    :param deadline_s: monotonic time by which the answer must be complete.
    :param unix_offset_s: wall-clock time minus monotonic time.
    :param result_keep_s: how long results are kept.
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
class Operate(msgspec.Struct, frozen=True):
    """Carry out ``operation`` on the platform's stores."""

    operation: RowRead | RowWrite | ObjectRead | ObjectWrite


@final
class Proceed(msgspec.Struct, frozen=True):
    """The record is confirmed: get a permit, then call ``send``."""


@final
class Send(msgspec.Struct, frozen=True):
    """Send the call now, once."""


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
    """Forget the call; nothing is left to do."""


Action = Operate | Proceed | Send | Reply | Refuse | Retry | Finish


class OwnerLiveness(Protocol):
    """Tells whether the owner of a record still lives."""

    def __call__(self, instance: str, boot_id: str) -> bool:
        """Return whether this boot of ``instance`` lives."""

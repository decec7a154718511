"""At-most-once execution of one call to a plain service.

:class:`IdempotentCall` decides what to write to the call's row, when the call
may be sent and what the caller gets. Only the attempt that wrote a ``started``
row changes it, so no second attempt can run while the first one may have run.

Wall-clock time only selects the kind of refusal and expires stored results. It
never allows a call to run again.
"""

from enum import Enum, unique
from typing import Final, final

import msgspec

from ..connection.store_events import (
    ObjectRead,
    ObjectWrite,
    Row,
    RowRead,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..errors import ErrorKind, Failure
from .call_actions import (
    AttemptContext,
    CallAction,
    Finish,
    ObtainPermit,
    OwnerLiveness,
    Refuse,
    Reply,
    Retry,
    Send,
    StartStoreOperation,
)
from .call_record import (
    CallRecord,
    CallState,
    KeptResult,
    decode_record,
    decode_result,
    encode_record,
    encode_result,
)

__all__ = ('IdempotentCall',)

#: Largest encoded result that is stored in the row; larger ones go to an
#: object.
_MAX_INLINE_BYTES: Final = 4096
#: Attempts to create the row before the call is refused.
_MAX_CREATE_ATTEMPTS: Final = 3
_UNREADABLE_DETAIL: Final = 'The call ran; its result cannot be read now.'
_FIRST_RETRY_S: Final = 0.5
_MAX_RETRY_S: Final = 30.0


@unique
class _Phase(Enum):
    """Phase of an attempt, with the operation that is pending in it."""

    creating = 'creating'
    reading_back = 'reading_back'
    ready = 'ready'
    sent = 'sent'
    keeping_object = 'keeping_object'
    keeping_row = 'keeping_row'
    fetching = 'fetching'
    aborting = 'aborting'
    dropping = 'dropping'
    ended = 'ended'


_MAY_HAVE_RUN_PHASES: Final = frozenset(
    (
        _Phase.sent,
        _Phase.keeping_object,
        _Phase.keeping_row,
    )
)


class _RecordWriter:
    """Writes to the attempt's own row, with retries in the background."""

    def __init__(
        self, context: AttemptContext, is_owner_alive: OwnerLiveness
    ) -> None:
        """Initialise the attempt; :meth:`start` writes the row.

        :param is_owner_alive: whether the boot that wrote a row is alive.
        """
        self._context = context
        self._is_owner_alive = is_owner_alive
        self._phase = _Phase.creating
        self._operation_id = 0
        self._row_version = 0
        self._create_attempts = 0
        self._retries = 0
        # Whether a create that got no answer may still take effect.
        self._unconfirmed_create = False
        self._kept: KeptResult | None = None
        self._done_unix_s = float(0)

    def on_retry(self) -> list[CallAction]:
        """Retry the background write of this phase."""
        if self._phase is _Phase.aborting:
            return self._abort()
        if self._phase is _Phase.keeping_row:
            return self._keep_row()
        if self._phase is _Phase.keeping_object:
            return self._keep_result()
        return []

    def _keep_result(self) -> list[CallAction]:
        encoded = encode_result(self._kept)
        if len(encoded) <= _MAX_INLINE_BYTES:
            return self._keep_row()
        self._phase = _Phase.keeping_object
        return self._start_operation(
            ObjectWrite(
                operation_id=next_operation_id(),
                owner=self._context.owner,
                object_key=self._object_key(),
                value=encoded,
            )
        )

    def _on_object_kept(self, outcome: StoreOutcome) -> list[CallAction]:
        if outcome.status is not StoreStatus.written:
            return self._retry_later()
        self._kept = None
        return self._keep_row()

    def _keep_row(self) -> list[CallAction]:
        self._phase = _Phase.keeping_row
        return self._write(self._build_record(CallState.done))

    def _abort(self) -> list[CallAction]:
        # This write expects the same row version as an unconfirmed create, so
        # it also prevents that create from taking effect later.
        self._phase = _Phase.aborting
        return self._write(self._build_record(CallState.aborted))

    def _on_own_write(self, outcome: StoreOutcome) -> list[CallAction]:
        if outcome.status is StoreStatus.written:
            return self._finish()
        if outcome.status is not StoreStatus.conflict:
            return self._retry_later()
        row = outcome.rows[0] if outcome.rows else None
        record = None if row is None else decode_record(row.value)
        if record is None or record.token != self._context.token:
            return self._finish()
        if record.state != CallState.started:
            return self._finish()
        self._row_version = row.row_version
        return self.on_retry()

    def _retry_later(self) -> list[CallAction]:
        delay_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**self._retries)
        self._retries = min(self._retries + 1, 10)
        return [Retry(delay_s)]

    def _refuse(self, kind: ErrorKind, detail: str = '') -> list[CallAction]:
        self._phase = _Phase.ended
        self._operation_id = 0
        return [Refuse(Failure(kind, detail)), Finish()]

    def _finish(self) -> list[CallAction]:
        self._phase = _Phase.ended
        return [Finish()]

    def _write(self, record: CallRecord) -> list[CallAction]:
        return self._start_operation(
            RowWrite(
                operation_id=next_operation_id(),
                owner=self._context.owner,
                row_key=self._context.row_key,
                value=encode_record(record),
                expected_version=self._row_version,
            )
        )

    def _start_operation(
        self, operation: RowRead | RowWrite | ObjectRead | ObjectWrite
    ) -> list[CallAction]:
        self._operation_id = operation.operation_id
        return [StartStoreOperation(operation)]

    def _build_record(self, state: str) -> CallRecord:
        is_done = state == CallState.done
        in_object = is_done and self._kept is None
        return CallRecord(
            digest=self._context.digest,
            token=self._context.token,
            instance=self._context.instance,
            boot_id=self._context.boot_id,
            state=state,
            deadline_unix_s=self._context.deadline_s
            + self._context.unix_offset_s,
            kept=self._kept if is_done else None,
            object_key=self._object_key() if in_object else '',
            done_unix_s=self._done_unix_s,
        )

    def _object_key(self) -> str:
        return '/'.join(('result', self._context.token))


class _RecordCreation(_RecordWriter):
    """Creates the row, or answers from the row of an earlier attempt."""

    def start(self, now_s: float) -> list[CallAction]:
        """Create the row.

        The create succeeds only if there is no row. A conflict returns the
        row of an earlier attempt, so no separate read is needed.
        """
        if now_s >= self._context.deadline_s:
            # The row was not read, so earlier attempts may have run.
            return self._refuse(ErrorKind.deadline_exceeded)
        return self._create()

    def give_up(self, failure: Failure) -> list[CallAction]:
        """Refuse a confirmed call that was not sent and mark it aborted.

        :param failure: may be of a kind that states that the call did not run.
        """
        if self._phase is not _Phase.ready:
            return []
        return [Refuse(failure), *self._abort()]

    def _create(self) -> list[CallAction]:
        self._phase = _Phase.creating
        self._create_attempts += 1
        return self._write(self._build_record(CallState.started))

    def _on_created(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[CallAction]:
        if outcome.status is StoreStatus.written:
            return self._confirm(outcome.row_version, now_s)
        if outcome.status is StoreStatus.conflict and outcome.rows:
            return self._handle_existing_row(outcome.rows[0], now_s)
        if outcome.status is not StoreStatus.unknown:
            return self._refuse_unconfirmed()
        self._unconfirmed_create = True
        self._phase = _Phase.reading_back
        return self._start_operation(
            RowRead(
                operation_id=next_operation_id(),
                owner=self._context.owner,
                row_key=self._context.row_key,
            )
        )

    def _on_read_back(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[CallAction]:
        if outcome.status is StoreStatus.found and outcome.rows:
            return self._handle_existing_row(outcome.rows[0], now_s)
        if outcome.status is StoreStatus.absent:
            return self._retry_create()
        return self._refuse_unconfirmed()

    def _retry_create(self) -> list[CallAction]:
        # All creates have the same token and expected version, so at most one
        # of them takes effect.
        if self._create_attempts >= _MAX_CREATE_ATTEMPTS:
            return self._refuse_unconfirmed()
        return self._create()

    def _refuse_unconfirmed(self) -> list[CallAction]:
        # A create whose operation is pending may still take effect, too.
        failure = Failure(ErrorKind.store_unavailable)
        creating = self._phase is _Phase.creating and self._operation_id
        if self._unconfirmed_create or creating:
            return [Refuse(failure), *self._abort()]
        return self._refuse(ErrorKind.store_unavailable)

    def _handle_existing_row(self, row: Row, now_s: float) -> list[CallAction]:
        record = decode_record(row.value)
        if record is None:
            return self._refuse(ErrorKind.outcome_unknown)
        if record.token == self._context.token:
            return self._confirm(row.row_version, now_s)
        if record.digest != self._context.digest:
            return self._refuse(ErrorKind.key_reused)
        if record.state == CallState.aborted:
            self._row_version = row.row_version
            return self._retry_create()
        if record.state == CallState.done:
            return self._reply_kept_result(row, record, now_s)
        if self._is_running(record, now_s):
            return self._refuse(ErrorKind.in_progress)
        return self._refuse(ErrorKind.outcome_unknown)

    def _is_running(self, record: CallRecord, now_s: float) -> bool:
        if now_s + self._context.unix_offset_s >= record.deadline_unix_s:
            return False
        return self._is_owner_alive(record.instance, record.boot_id)

    def _confirm(self, row_version: int, now_s: float) -> list[CallAction]:
        self._row_version = row_version
        self._unconfirmed_create = False
        self._phase = _Phase.ready
        if now_s >= self._context.deadline_s:
            return self.give_up(Failure(ErrorKind.deadline_unreachable))
        return [ObtainPermit()]

    def _reply_kept_result(
        self, row: Row, record: CallRecord, now_s: float
    ) -> list[CallAction]:
        if record.kept is None and not record.object_key:
            return self._refuse(ErrorKind.result_expired)
        age_s = now_s + self._context.unix_offset_s - record.done_unix_s
        if age_s > self._context.result_keep_s:
            return self._drop_result(row, record)
        if record.kept is not None:
            self._phase = _Phase.ended
            return [Reply(record.kept), Finish()]
        self._phase = _Phase.fetching
        return self._start_operation(
            ObjectRead(
                operation_id=next_operation_id(),
                owner=self._context.owner,
                object_key=record.object_key,
            )
        )

    def _drop_result(self, row: Row, record: CallRecord) -> list[CallAction]:
        self._phase = _Phase.dropping
        self._row_version = row.row_version
        tombstone = msgspec.structs.replace(record, kept=None, object_key='')
        failure = Failure(ErrorKind.result_expired)
        return [Refuse(failure), *self._write(tombstone)]

    def _on_fetched(self, outcome: StoreOutcome) -> list[CallAction]:
        kept = None
        if outcome.status is StoreStatus.found:
            kept = decode_result(outcome.value)
        if kept is None:
            return self._refuse(ErrorKind.outcome_unknown, _UNREADABLE_DETAIL)
        self._phase = _Phase.ended
        return [Reply(kept), Finish()]


@final
class IdempotentCall(_RecordCreation):
    """One attempt at a call that must run at most once."""

    @property
    def waits_for_permit(self) -> bool:
        """Whether the row is confirmed and the call is not yet sent."""
        return self._phase is _Phase.ready

    def retry_refusal(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return the refusal of a retry while this attempt may have run.

        It needs no access to the table and applies only to retries that reach
        this instance.

        :param digest: digest of the retry, see :func:`.call_digest`.
        """
        if self._phase not in _MAY_HAVE_RUN_PHASES:
            return None
        if digest != self._context.digest:
            return ErrorKind.key_reused
        if now_s >= self._context.deadline_s:
            return ErrorKind.outcome_unknown
        return ErrorKind.in_progress

    def send(self, now_s: float) -> list[CallAction]:
        """Send the call unless its deadline has passed."""
        if self._phase is not _Phase.ready:
            return []
        if now_s >= self._context.deadline_s:
            return self.give_up(Failure(ErrorKind.deadline_unreachable))
        self._phase = _Phase.sent
        return [Send()]

    def on_failed(self, sent: bool) -> list[CallAction]:
        """Handle the end of a call that got no complete answer.

        :param sent: whether any byte of the call was sent.
        """
        if self._phase is not _Phase.sent:
            return []
        if sent:
            return self._refuse(ErrorKind.outcome_unknown)
        failure = Failure(ErrorKind.endpoint_unavailable)
        return [Refuse(failure), *self._abort()]

    def on_answer(self, kept: KeptResult, now_s: float) -> list[CallAction]:
        """Forward the service's answer to the caller and store it."""
        if self._phase is not _Phase.sent:
            return []
        self._kept = kept
        self._done_unix_s = now_s + self._context.unix_offset_s
        return [Reply(kept), *self._keep_result()]

    def on_deadline(self) -> list[CallAction]:
        """End the attempt; pending background writes are completed."""
        if self._phase in {_Phase.creating, _Phase.reading_back}:
            return self._refuse_unconfirmed()
        if self._phase is _Phase.ready:
            return self.give_up(Failure(ErrorKind.deadline_unreachable))
        if self._phase is _Phase.sent:
            return self._refuse(ErrorKind.outcome_unknown)
        if self._phase is _Phase.fetching:
            return self._refuse(ErrorKind.outcome_unknown, _UNREADABLE_DETAIL)
        return []

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[CallAction]:
        """Handle the outcome of the latest operation; ignore all others."""
        if outcome.operation_id != self._operation_id:
            return []
        self._operation_id = 0
        if self._phase is _Phase.creating:
            return self._on_created(outcome, now_s)
        if self._phase is _Phase.reading_back:
            return self._on_read_back(outcome, now_s)
        if self._phase is _Phase.fetching:
            return self._on_fetched(outcome)
        if self._phase is _Phase.keeping_object:
            return self._on_object_kept(outcome)
        if self._phase in {_Phase.keeping_row, _Phase.aborting}:
            return self._on_own_write(outcome)
        return self._finish()

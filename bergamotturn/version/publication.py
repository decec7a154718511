"""Publication of a configuration version.

The content is stored as an object first; then a conditional write of the
version row accepts it under the next number. So an accepted version is durable
and each number is given to one publication. :mod:`.adoption` puts accepted
versions in force.
"""

from datetime import UTC, datetime
from enum import Enum, unique
from typing import Final, final

import msgspec
from expression import Error, Ok, Result

from ..connection.store_events import (
    ObjectWrite,
    Row,
    RowRead,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..errors import ErrorKind, Failure
from ..request.call_actions import StartStoreOperation
from .version_row import (
    VERSION_ROW_KEY,
    AcceptedVersion,
    VersionRow,
    configuration_digest,
    configuration_object_key,
    decode_version_row,
    encode_version_row,
)

__all__ = (
    'Publication',
    'PublicationAction',
    'PublicationRequest',
    'PublicationResult',
)

#: Time after which a publication ends without a known outcome.
_OUTCOME_TIMEOUT_S: Final = 5.0


@final
class PublicationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The content to publish and the version that it replaces.

    :param expected_version: number of the version that the content replaces.
    :param token: unique to this publication.
    :param published_unix_s: wall-clock time, only for display.
    :param owner: circuits channel that gets the outcomes of operations.
    """

    content: bytes
    author: str
    expected_version: int
    token: str
    published_unix_s: float
    owner: str


@final
class PublicationResult(msgspec.Struct, frozen=True, eq=False):
    """End the publication and send ``result`` to the operator.

    :param result: number of the accepted version, or the failure.
    :param accepted: the version, if it was accepted.
    """

    result: Result[int, Failure]
    accepted: AcceptedVersion | None = None


PublicationAction = StartStoreOperation | PublicationResult


@unique
class _Phase(Enum):
    """Step that a publication is at."""

    reading = 'reading'
    storing = 'storing'
    writing = 'writing'
    reading_back = 'reading_back'
    ended = 'ended'


@final
class Publication:
    """One attempt to get a content accepted as the next version."""

    def __init__(self, request: PublicationRequest, now_s: float) -> None:
        """Prepare the attempt; nothing is written before :meth:`start`."""
        self._request = request
        self._deadline_s = now_s + _OUTCOME_TIMEOUT_S
        self._phase = _Phase.reading
        self._operation_id = 0
        self._version = AcceptedVersion(
            version_number=request.expected_version + 1,
            digest=configuration_digest(request.content),
            token=request.token,
            author=request.author,
            accepted_unix_s=request.published_unix_s,
        )
        self._row = VersionRow(())
        self._row_version = 0
        #: Whether a write got no answer and so may still take effect.
        self._has_unanswered_write = False

    def start(self) -> list[PublicationAction]:
        """Read the version row."""
        return self._read(_Phase.reading)

    def on_outcome(self, outcome: StoreOutcome) -> list[PublicationAction]:
        """Process the outcome of the latest operation; ignore all others."""
        if outcome.operation_id != self._operation_id:
            return []
        self._operation_id = 0
        if self._phase is _Phase.reading:
            return self._on_read(outcome)
        if self._phase is _Phase.storing:
            return self._on_stored(outcome)
        if self._phase is _Phase.writing:
            return self._on_written(outcome)
        return self._on_read_back(outcome)

    def on_tick(self, now_s: float) -> list[PublicationAction]:
        """Read the row back again, or fail at the deadline."""
        if self._phase is _Phase.ended:
            return []
        if now_s >= self._deadline_s:
            # A write that is still pending may take effect later.
            if self._phase in {_Phase.writing, _Phase.reading_back}:
                return self._fail(ErrorKind.outcome_unknown)
            return self._fail(ErrorKind.store_unavailable)
        if self._phase is _Phase.reading_back and not self._operation_id:
            return self._read(_Phase.reading_back)
        return []

    def _on_read(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is StoreStatus.found and outcome.rows:
            row = outcome.rows[0]
            versions = decode_version_row(row.value)
            if versions is None:
                return self._fail(ErrorKind.internal)
            self._row = versions
            self._row_version = row.row_version
            if (
                versions.current.version_number
                != self._request.expected_version
            ):
                return self._fail_with_conflict()
        elif outcome.status is not StoreStatus.absent:
            return self._fail(ErrorKind.store_unavailable)
        elif self._request.expected_version:
            return self._fail(
                ErrorKind.configuration_conflict, 'No version is accepted yet.'
            )
        self._phase = _Phase.storing
        return self._start_operation(
            ObjectWrite(
                operation_id=next_operation_id(),
                owner=self._request.owner,
                object_key=configuration_object_key(self._version.digest),
                value=self._request.content,
            )
        )

    def _on_stored(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is not StoreStatus.written:
            return self._fail(ErrorKind.store_unavailable)
        return self._write()

    def _on_written(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is StoreStatus.written:
            return self._succeed()
        if outcome.status is StoreStatus.conflict and outcome.rows:
            return self._check_row(outcome.rows[0])
        if outcome.status is StoreStatus.unknown:
            self._has_unanswered_write = True
        if not self._has_unanswered_write:
            return self._fail(ErrorKind.store_unavailable)
        if outcome.status is StoreStatus.unknown:
            return self._read(_Phase.reading_back)
        self._phase = _Phase.reading_back
        return []

    def _on_read_back(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is StoreStatus.found and outcome.rows:
            return self._check_row(outcome.rows[0])
        if outcome.status is StoreStatus.absent:
            return self._write()
        return []

    def _check_row(self, row: Row) -> list[PublicationAction]:
        if row.row_version == self._row_version:
            # An earlier write may still take effect. Repeating it is safe:
            # both expect the same row version, so at most one takes effect.
            return self._write()
        versions = decode_version_row(row.value)
        if versions is None:
            return self._fail(ErrorKind.outcome_unknown)
        self._row = versions
        own = versions.find(lambda found: found.token == self._request.token)
        if own is not None:
            return self._succeed()
        return self._fail_with_conflict()

    def _succeed(self) -> list[PublicationAction]:
        self._phase = _Phase.ended
        self._operation_id = 0
        number = self._version.version_number
        return [PublicationResult(Ok(number), self._version)]

    def _fail_with_conflict(self) -> list[PublicationAction]:
        number = self._version.version_number
        winner = self._row.find(
            lambda version: version.version_number == number
        )
        if winner is None and self._has_unanswered_write:
            return self._fail(ErrorKind.outcome_unknown)
        winner = winner or self._row.current
        time = datetime.fromtimestamp(winner.accepted_unix_s, UTC)
        return self._fail(
            ErrorKind.configuration_conflict,
            'Version {0} by {1} was accepted at {2}.'.format(
                winner.version_number,
                winner.author,
                time.isoformat(timespec='seconds'),
            ),
        )

    def _fail(
        self, kind: ErrorKind, detail: str = ''
    ) -> list[PublicationAction]:
        self._phase = _Phase.ended
        self._operation_id = 0
        return [PublicationResult(Error(Failure(kind, detail)))]

    def _write(self) -> list[PublicationAction]:
        self._phase = _Phase.writing
        return self._start_operation(
            RowWrite(
                operation_id=next_operation_id(),
                owner=self._request.owner,
                row_key=VERSION_ROW_KEY,
                value=encode_version_row(self._row.followed_by(self._version)),
                expected_version=self._row_version,
            )
        )

    def _read(self, phase: _Phase) -> list[PublicationAction]:
        self._phase = phase
        return self._start_operation(
            RowRead(
                operation_id=next_operation_id(),
                owner=self._request.owner,
                row_key=VERSION_ROW_KEY,
            )
        )

    def _start_operation(
        self, operation: RowRead | RowWrite | ObjectWrite
    ) -> list[PublicationAction]:
        self._operation_id = operation.operation_id
        return [StartStoreOperation(operation)]

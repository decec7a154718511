"""Publication of a configuration version.

The content is stored as an object before a conditional write of the version
row makes it the next number, so an accepted version is durable and each number
has one winner. :mod:`.adoption` puts accepted versions in force.
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
    'PublicationTerms',
    'Settled',
)

#: Time after which the operator is told that the outcome is not known.
_PATIENCE_S: Final = 5.0


@final
class PublicationTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator asks for.

    :param expected_version: number of the version that the content replaces.
    :param token: unique to this publication.
    :param published_unix_s: wall-clock time, for people only.
    """

    content: bytes
    author: str
    expected_version: int
    token: str
    published_unix_s: float
    owner: str


@final
class Settled(msgspec.Struct, frozen=True, eq=False):
    """Tell the operator ``result``; the publication is over.

    :param accepted: the version, when it was accepted.
    """

    result: Result[int, Failure]
    accepted: AcceptedVersion | None = None


PublicationAction = StartStoreOperation | Settled


@unique
class _Phase(Enum):
    """Where a publication is."""

    reading = 'reading'
    storing = 'storing'
    writing = 'writing'
    reading_back = 'reading_back'
    ended = 'ended'


@final
class Publication:
    """One attempt to make a content the next version."""

    def __init__(self, terms: PublicationTerms, now_s: float) -> None:
        """Prepare the attempt; nothing is written before :meth:`start`."""
        self._terms = terms
        self._deadline_s = now_s + _PATIENCE_S
        self._phase = _Phase.reading
        self._operation_id = 0
        self._version = AcceptedVersion(
            version_number=terms.expected_version + 1,
            digest=configuration_digest(terms.content),
            token=terms.token,
            author=terms.author,
            accepted_unix_s=terms.published_unix_s,
        )
        self._row = VersionRow(())
        self._row_version = 0
        # Whether a write without an answer may still take effect.
        self._open_write = False

    def start(self) -> list[PublicationAction]:
        """Read the version row."""
        return self._read(_Phase.reading)

    def on_outcome(self, outcome: StoreOutcome) -> list[PublicationAction]:
        """Take the outcome of the latest operation; others are ignored."""
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
        """Read back again, or give up when the time is over."""
        if self._phase is _Phase.ended:
            return []
        if now_s >= self._deadline_s:
            # The answer to a write that is still running counts as lost.
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
            if versions.current.version_number != self._terms.expected_version:
                return self._lose()
        elif outcome.status is not StoreStatus.absent:
            return self._fail(ErrorKind.store_unavailable)
        elif self._terms.expected_version:
            return self._fail(
                ErrorKind.configuration_conflict, 'No version is accepted yet.'
            )
        self._phase = _Phase.storing
        return self._operate(
            ObjectWrite(
                operation_id=next_operation_id(),
                owner=self._terms.owner,
                object_key=configuration_object_key(self._version.digest),
                value=self._terms.content,
            )
        )

    def _on_stored(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is not StoreStatus.written:
            return self._fail(ErrorKind.store_unavailable)
        return self._write()

    def _on_written(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is StoreStatus.written:
            return self._win()
        if outcome.status is StoreStatus.conflict and outcome.rows:
            return self._judge(outcome.rows[0])
        if outcome.status is StoreStatus.unknown:
            self._open_write = True
        if not self._open_write:
            return self._fail(ErrorKind.store_unavailable)
        if outcome.status is StoreStatus.unknown:
            return self._read(_Phase.reading_back)
        self._phase = _Phase.reading_back
        return []

    def _on_read_back(self, outcome: StoreOutcome) -> list[PublicationAction]:
        if outcome.status is StoreStatus.found and outcome.rows:
            return self._judge(outcome.rows[0])
        if outcome.status is StoreStatus.absent:
            return self._write()
        return []

    def _judge(self, row: Row) -> list[PublicationAction]:
        if row.row_version == self._row_version:
            # The write may still take effect; the same write again cannot do
            # so twice, since both expect the same row version.
            return self._write()
        versions = decode_version_row(row.value)
        if versions is None:
            return self._fail(ErrorKind.outcome_unknown)
        self._row = versions
        own = versions.find(lambda found: found.token == self._terms.token)
        if own is not None:
            return self._win()
        return self._lose()

    def _win(self) -> list[PublicationAction]:
        self._phase = _Phase.ended
        self._operation_id = 0
        number = self._version.version_number
        return [Settled(Ok(number), self._version)]

    def _lose(self) -> list[PublicationAction]:
        wanted = self._version.version_number
        winner = self._row.find(
            lambda version: version.version_number == wanted
        )
        if winner is None and self._open_write:
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
        return [Settled(Error(Failure(kind, detail)))]

    def _write(self) -> list[PublicationAction]:
        self._phase = _Phase.writing
        return self._operate(
            RowWrite(
                operation_id=next_operation_id(),
                owner=self._terms.owner,
                row_key=VERSION_ROW_KEY,
                value=encode_version_row(self._row.followed_by(self._version)),
                expected_version=self._row_version,
            )
        )

    def _read(self, phase: _Phase) -> list[PublicationAction]:
        self._phase = phase
        return self._operate(
            RowRead(
                operation_id=next_operation_id(),
                owner=self._terms.owner,
                row_key=VERSION_ROW_KEY,
            )
        )

    def _operate(
        self, operation: RowRead | RowWrite | ObjectWrite
    ) -> list[PublicationAction]:
        self._operation_id = operation.operation_id
        return [StartStoreOperation(operation)]

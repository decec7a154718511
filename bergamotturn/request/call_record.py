"""Record of one call to a plain service: the value of its row.

The row ``call/<workspace>/<key>`` is written by :mod:`.idempotency`.
"""

from hashlib import sha256
from typing import Final, final
from urllib.parse import quote

import msgspec

from ..connection.exchange import Header

__all__ = (
    'CallRecord',
    'CallState',
    'KeptResult',
    'call_digest',
    'call_row_key',
    'decode_record',
    'decode_result',
    'encode_record',
    'encode_result',
)


class CallState:
    """States of a call's row."""

    #: The call may have been sent.
    started: Final = 'started'
    done: Final = 'done'
    #: The attempt was not sent and never will be.
    aborted: Final = 'aborted'


@final
class KeptResult(msgspec.Struct, frozen=True):
    """A service's whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@final
class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a call's row.

    :param digest: of method, path and body.
    :param token: unique to the attempt that wrote the row.
    :param state: one of :class:`CallState`.
    :param deadline_unix_s: wall-clock time of the attempt's deadline.
    :param kept: the result when it is small.
    :param object_key: object with the result when it is large. A ``done``
        row with neither is a tombstone.
    :param done_unix_s: wall-clock time of the result.
    """

    digest: str
    token: str
    instance: str
    boot_id: str
    state: str
    deadline_unix_s: float
    kept: KeptResult | None = None
    object_key: str = ''
    done_unix_s: float = 0


_ENCODER: Final = msgspec.msgpack.Encoder()
_RECORD_DECODER: Final = msgspec.msgpack.Decoder(CallRecord)
_RESULT_DECODER: Final = msgspec.msgpack.Decoder(KeptResult)


def call_row_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of a call's row.

    Both parts are percent-encoded, so that no key of one workspace names a
    row of another.
    """
    parts = ('call', quote(workspace, safe=''), quote(idempotency_key, safe=''))
    return '/'.join(parts)


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which repeats of a call are known.

    :param path: with the service's name, since one key may meet two services.
    """
    digest = sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def encode_record(record: CallRecord) -> bytes:
    """Return ``record`` as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(value: bytes) -> CallRecord | None:
    """Return the record in ``value``, or nothing when it has another shape."""
    try:
        return _RECORD_DECODER.decode(value)
    except msgspec.DecodeError:
        return None


def encode_result(kept: KeptResult) -> bytes:
    """Return ``kept`` as MessagePack."""
    return _ENCODER.encode(kept)


def decode_result(value: bytes) -> KeptResult | None:
    """Return the result in ``value``, or nothing when it has another shape."""
    try:
        return _RESULT_DECODER.decode(value)
    except msgspec.DecodeError:
        return None

"""Idempotency record of one call to a plain service.

It is the value of the row ``call/<workspace>/<key>``, which
:mod:`.idempotency` writes and :mod:`..process.record_sweep` expires.
"""

from hashlib import sha256
from typing import Final, final
from urllib.parse import quote

import msgspec

from ..connection.exchange import Header
from ..decoding import decode

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
    """States of a call's record."""

    #: The call may have been sent and may have run.
    started: Final = 'started'
    #: The service answered.
    done: Final = 'done'
    #: The call was not sent, and the attempt that wrote the row will not send
    #: it.
    aborted: Final = 'aborted'


@final
class KeptResult(msgspec.Struct, frozen=True):
    """A service's complete answer, stored for retries of the call."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@final
class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """State, owner and result of a call.

    :param digest: digest of method, path and body.
    :param token: unique to the attempt that wrote the row.
    :param instance: name of the instance that made the attempt.
    :param boot_id: boot of that instance.
    :param state: one of :class:`CallState`.
    :param deadline_unix_s: wall-clock time of the attempt's deadline.
    :param kept: a small result.
    :param object_key: key of the object that holds a large result. A ``done``
        record without ``kept`` and ``object_key`` is a tombstone: its result
        has expired.
    :param done_unix_s: wall-clock time at which the answer arrived.
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

    Both parts are percent-encoded, so a key of one workspace cannot address
    a row of another.
    """
    parts = ('call', quote(workspace, safe=''), quote(idempotency_key, safe=''))
    return '/'.join(parts)


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies a call and its retries.

    :param path: path with the service's name, so that calls to two services
        with the same key differ.
    """
    digest = sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def encode_record(record: CallRecord) -> bytes:
    """Return ``record`` encoded as MessagePack."""
    return _ENCODER.encode(record)


def decode_record(value: bytes) -> CallRecord | None:
    """Return the record in ``value``, or None if it cannot be decoded."""
    try:
        return decode(_RECORD_DECODER, value)
    except msgspec.DecodeError:
        return None


def encode_result(kept: KeptResult) -> bytes:
    """Return ``kept`` encoded as MessagePack."""
    return _ENCODER.encode(kept)


def decode_result(value: bytes) -> KeptResult | None:
    """Return the result in ``value``, or None if it cannot be decoded."""
    try:
        return decode(_RESULT_DECODER, value)
    except msgspec.DecodeError:
        return None

"""JSON encoding of a failure, the same on both listeners and in streams."""

from typing import final

import msgspec

from ..errors import Failure, answer_for, retry_after_of

__all__ = ('encode_failure',)


@final
class _ErrorPart(msgspec.Struct, frozen=True):
    code: str
    message: str
    not_run: bool
    retry_after_s: float


@final
class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorPart


def encode_failure(failure: Failure, has_started: bool = False) -> bytes:
    """Return ``failure`` as JSON.

    :param has_started: whether part of the answer was sent; such a request
        ran, even if failures of its kind usually mean that it did not.
    """
    answer = answer_for(failure.kind)
    message = answer.text
    ran = has_started or failure.may_have_run
    if failure.detail:
        message = f'{message} {failure.detail}'
    return msgspec.json.encode(
        _ErrorBody(
            _ErrorPart(
                failure.kind.value,
                message,
                answer.not_run and not ran,
                retry_after_of(failure),
            )
        )
    )

"""All error kinds and the HTTP answer for each kind.

Every refusal or failure that a caller or an operator can get is one of
:class:`ErrorKind`; :data:`ANSWERS` holds its HTTP answer.
"""

from enum import Enum, unique
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, final

import msgspec

__all__ = (
    'ANSWERS',
    'Answer',
    'ErrorKind',
    'Failure',
    'answer_for',
    'retry_after_of',
)


#: Callers accept fractions of a second; hundredths are precise enough.
_RETRY_AFTER_DIGITS: Final = 2


@final
@unique
class ErrorKind(Enum):
    """Kind of a refusal or failure, as callers and operators see it."""

    bad_request = 'bad_request'
    unauthorised = 'unauthorised'
    forbidden = 'forbidden'
    unknown_path = 'unknown_path'
    unknown_model = 'unknown_model'
    method_not_allowed = 'method_not_allowed'
    request_timeout = 'request_timeout'
    body_too_large = 'body_too_large'
    headers_too_large = 'headers_too_large'
    prompt_too_long = 'prompt_too_long'
    key_required = 'key_required'
    key_reused = 'key_reused'
    in_progress = 'in_progress'
    result_expired = 'result_expired'
    outcome_unknown = 'outcome_unknown'
    draining = 'draining'
    overloaded = 'overloaded'
    deadline_unreachable = 'deadline_unreachable'
    deadline_exceeded = 'deadline_exceeded'
    endpoint_unavailable = 'endpoint_unavailable'
    prompt_quarantined = 'prompt_quarantined'
    endpoint_lost = 'endpoint_lost'
    endpoint_failed = 'endpoint_failed'
    store_unavailable = 'store_unavailable'
    configuration_invalid = 'configuration_invalid'
    configuration_conflict = 'configuration_conflict'
    internal = 'internal'


@final
class Answer(msgspec.Struct, frozen=True):
    """HTTP answer for an error kind.

    :param text: one sentence for people.
    :param not_run: whether no attempt of the request ran or will run.
    :param retry_after_s: seconds after which a retry makes sense, or zero.
    """

    status: int
    text: str
    not_run: bool = False
    retry_after_s: int = 0


@final
class Failure(msgspec.Struct, frozen=True):
    """One failure: its kind and the details of this case.

    :param detail: one sentence, without secrets or a stack trace.
    :param may_have_run: whether an earlier submission with the same
        Idempotency-Key may have run; overrides ``not_run`` of the kind.
    :param retry_after_s: seconds after which a retry makes sense, if a better
        value than that of the kind is known.
    """

    kind: ErrorKind
    detail: str = ''
    may_have_run: bool = False
    retry_after_s: float | None = None


ANSWERS: Final = MappingProxyType(
    {
        ErrorKind.bad_request: Answer(
            HTTPStatus.BAD_REQUEST, 'The request is malformed.', True
        ),
        ErrorKind.unauthorised: Answer(
            HTTPStatus.UNAUTHORIZED, 'The API key is not known.', True
        ),
        ErrorKind.forbidden: Answer(
            HTTPStatus.FORBIDDEN,
            'The workspace may not use this resource.',
            True,
        ),
        ErrorKind.unknown_path: Answer(
            HTTPStatus.NOT_FOUND, 'There is no such path.', True
        ),
        ErrorKind.unknown_model: Answer(
            HTTPStatus.NOT_FOUND, 'There is no such model.', True
        ),
        ErrorKind.method_not_allowed: Answer(
            HTTPStatus.METHOD_NOT_ALLOWED,
            'The path does not take this method.',
            True,
        ),
        ErrorKind.request_timeout: Answer(
            HTTPStatus.REQUEST_TIMEOUT,
            'The request did not arrive completely in time.',
            True,
        ),
        ErrorKind.body_too_large: Answer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The body is too large.', True
        ),
        ErrorKind.headers_too_large: Answer(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'The headers are too large.',
            True,
        ),
        ErrorKind.prompt_too_long: Answer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            'The prompt is longer than the model takes.',
            True,
        ),
        ErrorKind.key_required: Answer(
            HTTPStatus.BAD_REQUEST,
            'This call needs an Idempotency-Key header.',
            True,
        ),
        ErrorKind.key_reused: Answer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'The Idempotency-Key was used with another request.',
        ),
        ErrorKind.in_progress: Answer(
            HTTPStatus.CONFLICT,
            'The call with this key is still running.',
            retry_after_s=1,
        ),
        ErrorKind.result_expired: Answer(
            HTTPStatus.GONE,
            'The call ran; its result is no longer kept.',
        ),
        ErrorKind.outcome_unknown: Answer(
            HTTPStatus.BAD_GATEWAY,
            'The call may have run; it will not be run again.',
        ),
        ErrorKind.draining: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This instance is stopping; ask another.',
            True,
        ),
        ErrorKind.overloaded: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'All endpoints are busy.',
            True,
            2,
        ),
        ErrorKind.deadline_unreachable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The deadline cannot be met.',
            True,
            5,
        ),
        ErrorKind.deadline_exceeded: Answer(
            HTTPStatus.GATEWAY_TIMEOUT, 'The deadline has passed.'
        ),
        ErrorKind.endpoint_unavailable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'No endpoint can take the request.',
            True,
            2,
        ),
        ErrorKind.prompt_quarantined: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'Prompts with a part of this one crashed engines; '
            + 'they are not served for now.',
            True,
            60,
        ),
        ErrorKind.endpoint_lost: Answer(
            HTTPStatus.BAD_GATEWAY,
            'The endpoint was lost before the answer was complete.',
        ),
        ErrorKind.endpoint_failed: Answer(
            HTTPStatus.BAD_GATEWAY, 'The endpoint failed.'
        ),
        # Without the table, it is unknown whether an earlier submission with
        # the same key ran, so ``not_run`` stays False.
        ErrorKind.store_unavailable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The table service does not answer; nothing was sent. '
            + 'Repeat later with the same key.',
            retry_after_s=5,
        ),
        ErrorKind.configuration_invalid: Answer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'The configuration has errors.',
            True,
        ),
        ErrorKind.configuration_conflict: Answer(
            HTTPStatus.CONFLICT,
            'Another configuration was accepted first.',
            True,
        ),
        ErrorKind.internal: Answer(
            HTTPStatus.INTERNAL_SERVER_ERROR, 'The instance failed.'
        ),
    }
)


def answer_for(kind: ErrorKind) -> Answer:
    """Return the HTTP answer for ``kind``."""
    return ANSWERS[kind]


def retry_after_of(failure: Failure) -> float:
    """Return the seconds after which a retry makes sense, or zero."""
    if failure.retry_after_s is None:
        return answer_for(failure.kind).retry_after_s
    return round(failure.retry_after_s, _RETRY_AFTER_DIGITS)

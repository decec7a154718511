"""Parses callers' requests in the platform's header format."""

import re
from collections.abc import Iterable
from hashlib import sha256
from typing import Final, final

from ..connection.exchange import Header
from ..connection.request_assembler import CompleteRequest
from ..request.relay.call_builder import CallerRequest

__all__ = ('PlatformCallerFormat',)

_CALL_ID: Final = 'request-id'
#: Milliseconds that the caller waits for the answer.
_DEADLINE: Final = 'request-deadline'
_API_KEY: Final = 'x-api-key'
#: Prompt tokens and maximum output tokens, separated by a comma.
_TOKEN_COUNT: Final = 'token-count'
#: Tokens of the answer as the caller expects them.
_LENGTH_HINT: Final = 'length-hint'
_LAST_EVENT_ID: Final = 'last-event-id'
#: Parts of the prompt as ``id:tokens``, separated by commas.
_PROMPT_PREFIX: Final = 'prompt-prefix'
#: Longer ids of parts are replaced by digests.
_MAX_ID_CHARS: Final = 64
_MS_PER_S: Final = 1000.0
#: A number that fits into 64 bits. Python refuses to parse thousands of digits.
_NUMBER: Final = re.compile('[0-9]{1,18}')

#: Headers that belong to the caller's connection, or that bergamotturn sets.
_NOT_FORWARDED: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'expect-instance',
        'expect-version',
        'helpers',
        'keep-alive',
        'last-event-id',
        'proxy-authorization',
        'proxy-connection',
        'request-deadline',
        'request-priority',
        'te',
        'tenant-id',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-api-key',
    )
)


@final
class PlatformCallerFormat:
    """Parses the headers of callers' requests."""

    def read(self, request: CompleteRequest) -> CallerRequest:
        """Return the parsed form of a complete request.

        A malformed number counts as absent; an engine that is sent the header
        may refuse the request.
        """
        headers = dict(request.headers)
        wait_ms = _parse_number(headers.get(_DEADLINE, ''))
        prompt, _, output = headers.get(_TOKEN_COUNT, '').partition(',')
        return CallerRequest(
            call_id=headers.get(_CALL_ID, ''),
            host=headers.get('host', ''),
            method=request.method,
            path=request.path,
            target=request.path + request.query,
            api_key=headers.get(_API_KEY, ''),
            wait_s=None if wait_ms is None else wait_ms / _MS_PER_S,
            headers=tuple(
                Header(name, content)
                for name, content in request.headers
                if name not in _NOT_FORWARDED
            ),
            body=request.body,
            prompt_tokens=_parse_number(prompt) or 0,
            output_tokens=_parse_number(output) or 0,
            hinted_tokens=_parse_number(headers.get(_LENGTH_HINT, '')) or 0,
            resume_after=_parse_number(headers.get(_LAST_EVENT_ID, '')),
            shared_parts=_shared_parts(request.headers),
        )


def _shared_parts(headers: Iterable[tuple[str, str]]) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which is the request's own.

    A list in several fields of the same name is one list.
    """
    fields = [content for name, content in headers if name == _PROMPT_PREFIX]
    parts = ','.join(fields).split(',')[:-1]
    ids = (part.partition(':')[0].strip().lower() for part in parts)
    return tuple(map(_short_id, filter(None, ids)))


def _short_id(part: str) -> str:
    if len(part) <= _MAX_ID_CHARS:
        return part
    return sha256(part.encode('utf-8', 'surrogateescape')).hexdigest()


def _parse_number(text: str) -> int | None:
    stripped = text.strip()
    if not _NUMBER.fullmatch(stripped):
        return None
    return int(stripped)

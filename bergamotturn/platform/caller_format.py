"""Reads callers' requests as the platform's pages spell them."""

from typing import Final, final

from ..connection.exchange import Header
from ..connection.input_guard import CompleteRequest
from ..request.relay.call_builder import CallerRequest

__all__ = ('PlatformCallerFormat',)

_CALL_ID: Final = 'request-id'
_WAIT_MS: Final = 'request-deadline'
_API_KEY: Final = 'x-api-key'
#: Prompt tokens and most output tokens, separated by a comma.
_SIZE: Final = 'token-count'
_RESUME_AFTER: Final = 'last-event-id'
_MS: Final = 1000.0

#: Fields that concern one connection, or that this system sets itself.
_NOT_PASSED_ON: Final = frozenset(
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
    """The headers of callers' requests."""

    def read(self, request: CompleteRequest) -> CallerRequest:
        """Return what a complete request says.

        Figures that cannot be read count as not given; the engine that gets
        the field refuses it if it must.
        """
        headers = dict(request.headers)
        wait_ms = _number(headers.get(_WAIT_MS, ''))
        prompt, _, output = headers.get(_SIZE, '').partition(',')
        target = request.path
        if request.query:
            target = f'{request.path}?{request.query}'
        return CallerRequest(
            call_id=headers.get(_CALL_ID, ''),
            host=headers.get('host', ''),
            method=request.method,
            path=request.path,
            target=target,
            api_key=headers.get(_API_KEY, ''),
            wait_s=None if wait_ms is None else wait_ms / _MS,
            headers=tuple(
                Header(name, content)
                for name, content in request.headers
                if name not in _NOT_PASSED_ON
            ),
            body=request.body,
            prompt_tokens=_number(prompt) or 0,
            output_tokens=_number(output) or 0,
            resume_after=_number(headers.get(_RESUME_AFTER, '')),
        )


def _number(text: str) -> int | None:
    stripped = text.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        return None
    return int(stripped)

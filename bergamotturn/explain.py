"""The course of one request, put together from the logs of all instances.

Logs may be whole or cut off anywhere, hold lines of other programs, and have
words before the JSON of a line, as collectors write them.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any, Final, final

import msgspec

__all__ = ('LogLine', 'RequestTimeline', 'read_lines', 'timeline_of')

#: Changes of belief count that came so long before a request or after it.
_BEFORE_S: Final = 3.0
_AFTER_S: Final = 0.5
_REQUEST: Final = 'request'
#: Fields that name endpoints in lines about a request.
_ENDPOINT_FIELDS: Final = ('endpoint', 'readers', 'endpoints')
#: Lines about facts that every request depends on.
_COMMON_TYPES: Final = frozenset(
    (
        'configuration_in_force',
        'configuration_unreadable',
        'daemon_ended',
        'daemon_started',
        'log_lines_left_out',
        'order_changed',
        'settings_read',
        'shutdown_phase',
        'store_lost',
        'store_regained',
    )
)
_HIDDEN: Final = frozenset(
    ('instance', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)


@final
@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    :param at_s: Unix time that the instance's clock showed.
    """

    at_s: float
    instance: str
    message_type: str
    fields: Mapping[str, Any]

    def endpoints(self) -> set[str]:
        """Return the endpoints that the line names."""
        named: set[str] = set()
        for name in _ENDPOINT_FIELDS:
            content = self.fields.get(name, ())
            named.update((content,) if isinstance(content, str) else content)
        return named


@final
@dataclass(slots=True)
class RequestTimeline:
    """What the logs say of one request.

    :param lines: lines about it, in order of time.
    :param related: changes of belief at the instances that had it.
    :param searched: how many lines were read.
    """

    request: str
    lines: list[LogLine] = field(default_factory=list)
    related: list[LogLine] = field(default_factory=list)
    searched: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the course for a script."""
        return {
            'request': self.request,
            'searched_lines': self.searched,
            'course': [dict(line.fields) for line in self.lines],
            'beliefs': [dict(line.fields) for line in self.related],
        }

    def as_text(self) -> str:
        """Return the course for a person, times from its first line on."""
        if not self.lines:
            return f'{self.request}: not in the {self.searched} lines read'
        began_s = self.lines[0].at_s
        shown = sorted([*self.lines, *self.related], key=attrgetter('at_s'))
        return '\n'.join(_text(line, began_s, self.request) for line in shown)


def read_lines(texts: Iterable[str]) -> Iterator[LogLine | None]:
    """Return the lines of a log; foreign and torn ones as None."""
    for text in texts:
        begin = text.find('{')
        if begin < 0:
            yield None
            continue
        try:
            fields = msgspec.json.decode(text[begin:].encode())
        except (msgspec.DecodeError, UnicodeEncodeError):
            yield None
            continue
        yield _line(fields)


def timeline_of(
    request: str, lines: Iterable[LogLine | None]
) -> RequestTimeline:
    """Return the course of ``request``."""
    course = RequestTimeline(request)
    beliefs: list[LogLine] = []
    for line in lines:
        course.searched += 1
        if line is None:
            continue
        if line.fields.get(_REQUEST) == request:
            course.lines.append(line)
        elif _REQUEST not in line.fields:
            beliefs.append(line)
    course.lines.sort(key=attrgetter('at_s'))
    if course.lines:
        course.related = _related(course.lines, beliefs)
    return course


def _related(lines: list[LogLine], beliefs: Iterable[LogLine]) -> list[LogLine]:
    instances = {about.instance for about in lines}
    endpoints: set[str] = set()
    for line in lines:
        endpoints.update(line.endpoints())
    from_s = lines[0].at_s - _BEFORE_S
    to_s = lines[-1].at_s + _AFTER_S
    return [
        belief
        for belief in beliefs
        if belief.instance in instances
        and from_s <= belief.at_s <= to_s
        and (
            belief.message_type in _COMMON_TYPES
            or belief.endpoints() & endpoints
        )
    ]


def _line(fields: Any) -> LogLine | None:
    if not isinstance(fields, dict) or 'message_type' not in fields:
        return None
    at_s = fields.get('timestamp', 0)
    if not isinstance(at_s, (int, float)):
        return None
    return LogLine(
        at_s,
        str(fields.get('instance', '')),
        str(fields['message_type']),
        fields,
    )


def _text(line: LogLine, began_s: float, request: str) -> str:
    shown = ' '.join(
        f'{name}={_value(content)}'
        for name, content in line.fields.items()
        if name not in _HIDDEN
        and content is not None
        and (name, content) != (_REQUEST, request)
    )
    after_s = line.at_s - began_s
    parts = (
        format(after_s, '+8.3f'),
        ' ' if _REQUEST in line.fields else '~',
        line.instance,
        line.message_type,
        shown,
    )
    return ' '.join(parts)


def _value(content: Any) -> str:
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()

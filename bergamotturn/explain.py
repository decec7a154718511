"""Builds the timeline of one request from the logs of all instances.

Logs may be truncated anywhere, contain lines of other programs, and have text
before the JSON of a line, as log collectors write it.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any, Final, final

import msgspec

__all__ = ('LogLine', 'RequestTimeline', 'read_lines', 'timeline_of')

#: State changes up to this long before and after the request's own lines are
#: included.
_RELATED_BEFORE_S: Final = 3.0
_RELATED_AFTER_S: Final = 0.5
_REQUEST_FIELD: Final = 'request'
#: Fields that name endpoints in lines about a request.
_ENDPOINT_FIELDS: Final = ('endpoint', 'readers', 'endpoints')
#: State changes that affect all requests of an instance.
_GLOBAL_MESSAGE_TYPES: Final = frozenset(
    (
        'configuration_in_force',
        'configuration_unreadable',
        'daemon_ended',
        'daemon_started',
        'log_lines_left_out',
        'order_changed',
        'rows_kept',
        'settings_read',
        'shutdown_phase',
        'store_lost',
        'store_regained',
        'store_restored',
        'table_behind',
        'table_current',
    )
)
_HIDDEN_FIELDS: Final = frozenset(
    ('instance', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)


@final
@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    :param at_s: Unix time by the instance's clock.
    """

    at_s: float
    instance: str
    message_type: str
    fields: Mapping[str, Any]

    def endpoints(self) -> set[str]:
        """Return the ids of the endpoints that the line names."""
        named: set[str] = set()
        for name in _ENDPOINT_FIELDS:
            content = self.fields.get(name, ())
            named.update((content,) if isinstance(content, str) else content)
        return named


@final
@dataclass(slots=True)
class RequestTimeline:
    """Log lines about one request, and related state changes.

    :param lines: lines about the request, in order of time.
    :param related: related state changes at the instances that had it.
    :param line_count: number of lines read.
    """

    request: str
    lines: list[LogLine] = field(default_factory=list)
    related: list[LogLine] = field(default_factory=list)
    line_count: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the timeline for a script."""
        return {
            'request': self.request,
            'searched_lines': self.line_count,
            'course': [dict(line.fields) for line in self.lines],
            'beliefs': [dict(line.fields) for line in self.related],
        }

    def as_text(self) -> str:
        """Return the timeline as text, with times since its first line."""
        if not self.lines:
            return f'{self.request}: not in the {self.line_count} lines read'
        start_s = self.lines[0].at_s
        displayed = sorted([*self.lines, *self.related], key=attrgetter('at_s'))
        return '\n'.join(
            _format_line(line, start_s, self.request) for line in displayed
        )


def read_lines(texts: Iterable[str]) -> Iterator[LogLine | None]:
    """Yield the lines of a log, None for a foreign or truncated line."""
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
        yield _parse_line(fields)


def timeline_of(
    request: str, lines: Iterable[LogLine | None]
) -> RequestTimeline:
    """Return the timeline of ``request``."""
    timeline = RequestTimeline(request)
    state_changes: list[LogLine] = []
    for line in lines:
        timeline.line_count += 1
        if line is None:
            continue
        if line.fields.get(_REQUEST_FIELD) == request:
            timeline.lines.append(line)
        elif _REQUEST_FIELD not in line.fields:
            state_changes.append(line)
    timeline.lines.sort(key=attrgetter('at_s'))
    if timeline.lines:
        timeline.related = _related(timeline.lines, state_changes)
    return timeline


def _related(
    lines: list[LogLine], state_changes: Iterable[LogLine]
) -> list[LogLine]:
    instances = {about.instance for about in lines}
    endpoints: set[str] = set()
    for line in lines:
        endpoints.update(line.endpoints())
    from_s = lines[0].at_s - _RELATED_BEFORE_S
    to_s = lines[-1].at_s + _RELATED_AFTER_S
    return [
        change
        for change in state_changes
        if change.instance in instances
        and from_s <= change.at_s <= to_s
        and (
            change.message_type in _GLOBAL_MESSAGE_TYPES
            or change.endpoints() & endpoints
        )
    ]


def _parse_line(fields: Any) -> LogLine | None:
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


def _format_line(line: LogLine, start_s: float, request: str) -> str:
    displayed = ' '.join(
        f'{name}={_format_field(content)}'
        for name, content in line.fields.items()
        if name not in _HIDDEN_FIELDS
        and content is not None
        and (name, content) != (_REQUEST_FIELD, request)
    )
    after_s = line.at_s - start_s
    parts = (
        format(after_s, '+8.3f'),
        ' ' if _REQUEST_FIELD in line.fields else '~',
        line.instance,
        line.message_type,
        displayed,
    )
    return ' '.join(parts)


def _format_field(content: Any) -> str:
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()

"""Steps that compare the answer parser with h11."""

from dataclasses import dataclass
from itertools import pairwise

import h11
from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from bergamotturn.connection.answer_parser import AnswerParser
from bergamotturn.errors import ErrorKind

_COMPLETE = 'complete'


@dataclass
class _ParseResult:
    """What a parser read from an answer.

    :param outcome: ``complete``, or the kind of the failure.
    """

    outcome: str = ''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    is_reusable: bool = False

    @property
    def is_complete(self):
        return self.outcome == _COMPLETE

    def without_reuse(self):
        """Return the values that must not depend on how reads are split."""
        return (self.outcome, self.status, self.headers, self.body)


def _parse(method, reads):
    """Parse with the project's parser, as the HTTP client does."""
    parser = AnswerParser(method)
    result = _ParseResult()
    for received in (*reads, b''):
        step = parser.feed(received) if received else parser.close()
        if step.head:
            result.status = step.head.status
            result.headers = tuple(
                (header.name, header.value) for header in step.head.headers
            )
        result.body += step.body
        if step.failure:
            result.outcome = step.failure.kind.value
            return result
        if step.is_complete:
            result.outcome = _COMPLETE
            result.is_reusable = parser.is_reusable
            return result
    raise AssertionError('neither an end nor a failure was reported')


def _parse_with_h11(method, reads):
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target='/', headers=[('host', 'a')]))
    http.send(h11.EndOfMessage())
    result = _ParseResult()
    for received in (*reads, b''):
        http.receive_data(received)
        try:
            _apply_events(http, result)
        except h11.RemoteProtocolError:
            is_closed = http.trailing_data[1]
            result.outcome = 'endpoint_lost' if is_closed else 'endpoint_failed'
        if result.outcome:
            return result
    raise AssertionError('neither an end nor a failure was reported')


def _apply_events(http, result):
    event = http.next_event()
    while event is not h11.NEED_DATA:
        if isinstance(event, h11.Response):
            result.status = event.status_code
            result.headers = _decode_headers(event)
        elif isinstance(event, h11.Data):
            result.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            result.outcome = _COMPLETE
            result.is_reusable = (
                http.their_state is h11.DONE
                and http.trailing_data == (b'', False)
            )
            return
        event = http.next_event()


def _decode_headers(response):
    return tuple(
        (name.decode(), content.decode('latin-1'))
        for name, content in response.headers
    )


_VISIBLE = [chr(code) for code in range(0x21, 0x7F)]
_VALUES = st.text([*_VISIBLE, ' ', '\t', '\xe9', '\xff'], max_size=8)
_NAMES = st.text('abcXYZ019-_.!~', min_size=1, max_size=6).map('x-{}'.format)
_FIELDS = st.lists(
    st.builds(
        '{}:{}{}\r\n'.format, _NAMES, st.sampled_from(['', ' ', '\t ']), _VALUES
    ),
    max_size=3,
).map(''.join)
_CONNECTIONS = st.sampled_from(
    [
        '',
        '',
        'Connection: close\r\n',
        'connection: keep-alive\r\n',
        'Connection: a, Close\r\n',
        'Connection: a\r\nCONNECTION: close ,b\r\n',
        'Connection: closed\r\n',
    ]
)
_REASONS = st.sampled_from(['', ' ', ' OK', ' Not \xe9 found'])
_VERSIONS = st.sampled_from(['HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0'])
_STATUSES = st.sampled_from([200, 200, 200, 201, 204, 205, 304, 404, 503, 599])
_BODIES = st.one_of(
    st.binary(max_size=40),
    st.text('\r\n0;ab:', max_size=12).map(str.encode),
)
_EXTENSIONS = st.sampled_from(['', '', '', ';a', ';a=b', ';a="b; c";d=e'])
_INFORMATIONAL = st.lists(
    st.builds(
        'HTTP/1.1 {}{}\r\n{}\r\n'.format,
        st.sampled_from([100, 102, 103, 150]),
        _REASONS,
        _FIELDS,
    ),
    max_size=2,
).map(''.join)
_METHODS = st.sampled_from(['GET', 'GET', 'POST', 'HEAD'])
_EXCESS = st.just(b'') | st.sampled_from(
    [
        b'',
        b'\r\n',
        b'\n',
        b'\r',
        b'x',
        b'\r\n\r\n',
        b'0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother',
    ]
)
#: Where to split or corrupt an answer, in thousandths of its length.
_PERMILLES = st.integers(0, 1000)


@st.composite
def _chunked_bodies(draw):
    lines = []
    for part in draw(st.lists(_BODIES.filter(len), max_size=4)):
        size = draw(st.sampled_from(['{:x}', '{:X}', '00{:x}']))
        head = f'{size.format(len(part))}{draw(_EXTENSIONS)}\r\n'
        lines += [head.encode(), part, b'\r\n']
    last = f'0{draw(_EXTENSIONS)}\r\n{draw(_FIELDS)}\r\n'
    return b''.join((*lines, last.encode('latin-1')))


@st.composite
def _answers(draw):
    """Return a method and the bytes of a valid answer to it."""
    method = draw(_METHODS)
    status = draw(_STATUSES)
    framing, body = draw(
        st.one_of(
            _BODIES.map(
                lambda body: (f'Content-Length: {len(body)}\r\n', body)
            ),
            _chunked_bodies().map(
                lambda body: ('Transfer-Encoding: chunked\r\n', body)
            ),
            _BODIES.map(lambda body: ('', body)),
        )
    )
    head = ''.join(
        (
            draw(_INFORMATIONAL),
            f'{draw(_VERSIONS)} {status}{draw(_REASONS)}\r\n',
            draw(_FIELDS),
            framing,
            draw(_CONNECTIONS),
            draw(_FIELDS),
            '\r\n',
        )
    )
    if method == 'HEAD' or status in {204, 304}:
        body = b''
    return method, head.encode('latin-1') + body + draw(_EXCESS)


_SNIPPETS = st.sampled_from(
    [
        b'\r',
        b'\n',
        b'\r\n',
        b'\r\n\r\n',
        b' ',
        b'\t',
        b':',
        b';',
        b',',
        b'0',
        b'1',
        b'a',
        b'\x00',
        b'\x01',
        b'\x0b',
        b'\x7f',
        b'\x80',
        b'"',
        b'0\r\n\r\n',
        b' a\r\n',
        b'Content-Length: 3\r\n',
        b'Content-Length: 0\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Connection: close\r\n',
        b'Connection: upgrade\r\nUpgrade: a\r\n',
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 101 OK\r\n',
    ]
)


@st.composite
def _corrupted_answers(draw):
    method, content = draw(_answers())
    for _ in range(draw(st.integers(1, 3))):
        offset = draw(st.one_of(_positions(content), _line_ends(content)))
        removed = draw(st.sampled_from([0, 0, 0, 1, 2, 5, 1000]))
        snippet = draw(st.one_of(st.just(b''), _SNIPPETS, _SNIPPETS))
        content = content[:offset] + snippet + content[offset + removed :]
    return method, content


def _positions(content):
    return _PERMILLES.map(lambda permille: permille * len(content) // 1000)


def _line_ends(content):
    ends = [0]
    ends += [
        offset for offset in range(len(content)) if content[offset - 1] == 10
    ]
    return st.sampled_from(ends)


def _split(content, permilles):
    inner = {permille * len(content) // 1000 for permille in permilles}
    ends = sorted({0, len(content)} | inner)
    return [content[start:end] for start, end in pairwise(ends)]


def _compare(context, count, answers):
    context.results = []

    def compare_one(answer, permilles):
        method, content = answer
        reads = _split(content, permilles)
        actual = _parse(method, reads)
        at_once = _parse(method, [content] if content else [])
        assert actual.without_reuse() == at_once.without_reuse(), (
            actual,
            at_once,
        )
        context.results.append(
            (actual, _parse_with_h11(method, reads), content)
        )

    settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )(given(answers, st.lists(_PERMILLES, max_size=12))(compare_one))()
    assert len(context.results) >= count * 0.9, len(context.results)


@when('{count:d} valid answers are parsed by both parsers')
def parse_valid(context, count):
    _compare(context, count, _answers())


@when('{count:d} corrupted answers are parsed by both parsers')
def parse_corrupted(context, count):
    _compare(context, count, _corrupted_answers())


@then('both return the same for each answer')
def results_equal(context):
    for actual, reference, content in context.results:
        assert actual == reference, (content, actual, reference)


@then('each complete answer is the one that h11 returns')
def complete_answers_match(context):
    for actual, reference, content in context.results:
        if actual.is_complete:
            seen = (content, actual, reference)
            assert actual.without_reuse() == reference.without_reuse(), seen
            assert reference.is_reusable or not actual.is_reusable, seen


@then('at least {minimum:d} of the answers were {outcome}')
def outcome_count(context, minimum, outcome):
    expects_complete = outcome == _COMPLETE
    count = sum(
        actual.is_complete is expects_complete
        for actual, _, _ in context.results
    )
    assert count >= minimum, count


@when('the answer "{answer}" is parsed')
def parse_literal(context, answer):
    content = answer.encode().decode('unicode_escape').encode('latin-1')
    context.result = _parse('GET', [content])
    context.bytewise_result = _parse(
        'GET', [bytes((byte,)) for byte in content]
    )
    context.reference = _parse_with_h11('GET', [content])


@then('the outcome is "{outcome}" and that of h11 is "{reference}"')
def outcome_is(context, outcome, reference):
    assert context.result.outcome == outcome, context.result
    assert context.bytewise_result.outcome == outcome, context.bytewise_result
    assert context.reference.outcome == reference, context.reference


@when('a peer sends "{start}" and then "{more}" without end')
def send_without_end(context, start, more):
    parser = AnswerParser('GET')
    content = start.encode().decode('unicode_escape').encode()
    step = parser.feed(content)
    context.sent_bytes = len(content)
    repeated = more.encode().decode('unicode_escape').encode()
    while not step.failure and context.sent_bytes < 100_000:
        step = parser.feed(repeated)
        context.sent_bytes += len(repeated)
    context.step = step


@then('the answer is refused after less than {limit:d} bytes')
def refused_after(context, limit):
    assert context.step.failure, context.sent_bytes
    assert context.step.failure.kind.value == 'endpoint_failed', context.step
    assert context.sent_bytes < limit, context.sent_bytes


@then(
    'an answer cut at each place of its head is lost and reports no head, '
    'whatever its framing'
)
def cut_in_head(context):
    start = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: a\r\n'
    framings = (
        b'Content-Length: 10\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'\r\n',
        b'Content-Length: 0\r\n\r\n',
    )
    for framing in framings:
        head = start + framing
        longest_cut = len(head) - 1
        for length in range(longest_cut):
            _check_cut(head[: length + 1])


def _check_cut(part):
    parser = AnswerParser('POST')
    step = parser.feed(part)
    assert step.head is None, part
    assert not step.is_complete, part
    end = parser.close()
    assert not end.is_complete, part
    assert end.failure.kind is ErrorKind.endpoint_lost, (part, end)

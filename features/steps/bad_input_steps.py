"""Steps that send raw bytes to a listener process on 127.0.0.1."""

import json
import re
import select
import socket
import ssl
import subprocess  # noqa: S404
import sys
import threading
import time
from contextlib import suppress
from functools import partial
from pathlib import Path
from queue import Queue

import h11
from behave import given, then, when

_ROOT = Path(__file__).resolve().parents[2]

#: Far above any expected time, so only a hang reaches it.
_TIMEOUT_S = 30

#: A self-signed certificate for 127.0.0.1, valid until 2120, and its key.
_CERTIFICATE = _ROOT / 'features' / 'support' / 'tls' / 'listener.crt'

_KEY_HEADERS = b'Host: a\r\nAuthorization: Bearer north-key\r\n'
_POST = b'POST /v1/chat/completions HTTP/1.1\r\n%b' % _KEY_HEADERS
_MODELS = b'GET /v1/models HTTP/1.1\r\n%b\r\n' % _KEY_HEADERS
_TRACE = re.compile(rb'Traceback|File "|line \d+, in|\.py\b')


class _Caller:
    """A raw connection to the listener."""

    def __init__(self, context):
        self.sock = socket.create_connection(
            ('127.0.0.1', context.port), timeout=_TIMEOUT_S
        )
        if 'tls' in context:
            self.sock = context.tls.wrap_socket(
                self.sock, server_hostname='127.0.0.1'
            )
        self.received = b''
        context.add_cleanup(self.sock.close)

    def send(self, data):
        """Send ``data``; the listener may refuse it before all is sent."""
        with suppress(OSError):
            self.sock.sendall(data)

    def read_answer(self):
        """Return status, headers and body of the next answer."""
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method='GET', target='/', headers=[('host', 'a')])
        )
        http.send(h11.EndOfMessage())
        if self.received:
            http.receive_data(self.received)
        events = [h11.NEED_DATA]
        while not isinstance(
            events[-1], h11.EndOfMessage | h11.InformationalResponse
        ):
            events.append(http.next_event())
            if events[-1] is h11.NEED_DATA:
                data = self.sock.recv(65536)
                assert data, f'the connection ended after {events}'
                http.receive_data(data)
        self.received = http.trailing_data[0]
        head, *parts = [event for event in events if event is not h11.NEED_DATA]
        body = b''.join(bytes(part.data) for part in parts[:-1])
        return head.status_code, dict(head.headers), body

    def read_end(self):
        """Wait for the end of the connection."""
        data = b'more'
        while data:
            data = b''
            with suppress(ConnectionResetError):
                data = self.sock.recv(65536)
            self.received += data

    def read_error(self):
        """Return error and headers of the next answer, which must be JSON."""
        _, head, body = self.read_answer()
        assert head[b'content-type'] == b'application/json', head
        assert not _TRACE.search(body), body
        error = json.loads(body)['error']
        assert set(error) == {'code', 'message', 'not_run', 'retry_after_s'}
        return error, head

    def read_last_error(self, code):
        """Check that the next answer is an error and ends the connection."""
        error, head = self.read_error()
        assert error['code'] == code, error
        assert head[b'connection'] == b'close', head
        self.read_end()
        assert not self.received, self.received


def _chat(model, stream=False, headers=b'', text='hello'):
    messages = [{'role': 'user', 'content': text}]
    content = {'model': model, 'stream': stream, 'messages': messages}
    return _post(json.dumps(content).encode(), headers)


def _post(body, headers=b''):
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return b''.join((_POST, headers, length, body))


_ECHO = _chat('echo').split(b'\r\n\r\n', 1)[1]


_PLACEHOLDERS = (
    (b'{post}', _POST),
    (b'{key}', b'%b\r\n' % _KEY_HEADERS),
    (b'{chunked}', b'%bTransfer-Encoding: chunked\r\n\r\n' % _POST),
    (b'{length}', b'%d' % len(_ECHO)),
    (b'{echo}', _ECHO),
    (b'{echo 900 kB}', _ECHO.replace(b'hello', b'a' * 900_000)),
    (b'{3 MB}', b'a' * 3_000_000),
    (b'{2 MB in chunks}', b'fa0\r\n%b\r\n' % (b'a' * 4000) * 500),
    (b'{small chunks}', b'1\r\na\r\n' * 500_000),
    (b'{deep}', b'[' * 100_000),
)


def _expand_request(cell):
    """Return the request bytes for a table cell with placeholders."""
    data = cell.encode('latin-1').decode('unicode_escape').encode('latin-1')
    is_body = data[:1] in {b'{', b'['} and not data.startswith(
        (b'{post', b'{chu')
    )
    for name, content in _PLACEHOLDERS:
        data = data.replace(name, content)
    return _post(data) if is_body else data


def _peak_bytes(context):
    folder = Path('/proc') / str(context.process.pid)
    status = (folder / 'status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1)) * 1024


def _read_lines(process, lines):
    for line in process.stdout:
        lines.put(line)


def _status(context):
    """Return the status of a valid request, 0 while nothing listens."""
    try:
        caller = _Caller(context)
    except OSError:
        return 0
    caller.send(_MODELS)
    status, _, _ = caller.read_answer()
    caller.sock.close()
    return status


def _serves(context):
    return _status(context) == 200


def _wait_until(condition):
    end_s = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, (
            'the condition did not become true in time'
        )
        time.sleep(0.02)


def _wait_for_line(context, prefix):
    line = context.lines.get(timeout=_TIMEOUT_S)
    assert line.startswith(prefix), line


def _stop(process):
    process.kill()
    process.wait()


def _check_answers(context, port):
    """Check that the process still answers, draining and full included."""
    context.port = port
    assert _status(context) in {200, 503}


@given('a listener process that gives requests {request_s:g} s')
def start_listener(context, request_s):
    _start(context, request_s=request_s)


@given('a listener process that closes stalled callers after {stall_s:g} s')
def start_stall_listener(context, stall_s):
    _start(context, stall_s=stall_s)


@given('a listener process with a certificate that gives requests {time_s:g} s')
def start_tls_listener(context, time_s):
    context.tls = ssl.create_default_context(cafile=_CERTIFICATE)
    certificate = {
        'certificate': str(_CERTIFICATE),
        'private_key': str(_CERTIFICATE.with_suffix('.key')),
    }
    _start(context, certificate, request_s=time_s)


def _start(context, certificate=None, **limits):
    with socket.create_server(('127.0.0.1', 0)) as server:
        context.port = server.getsockname()[1]
    changes = {'limits': limits, 'caller_tls': certificate}
    port, encoded = str(context.port), json.dumps(changes)
    arguments = ('features.listener_process', port, encoded)
    context.process = subprocess.Popen(  # noqa: S603
        (sys.executable, '-m', *arguments),
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    context.add_cleanup(_stop, context.process)
    context.add_cleanup(_check_answers, context, context.port)
    context.lines = Queue()
    threading.Thread(
        target=_read_lines, args=(context.process, context.lines), daemon=True
    ).start()
    _wait_until(partial(_serves, context))
    context.start_bytes = _peak_bytes(context)


@then('each of these gets the error and the end of its connection')
def refused(context):
    for row in context.table:
        caller = _Caller(context)
        caller.send(_expand_request(row['request']))
        try:
            caller.read_last_error(row['error'])
        except (AssertionError, TimeoutError) as error:
            request = row['request']
            raise AssertionError(f'{request}: {error}') from error


@then('each of these gets the error on a connection that stays open')
def refused_in_turn(context):
    caller = _Caller(context)
    for row in context.table:
        caller.send(_expand_request(row['request']))
        error, head = caller.read_error()
        assert error['code'] == row['error'], (row['request'], error)
        assert row['says'] in error['message'], (row['request'], error)
        assert error['not_run'], error
        assert head[b'x-call-id'].startswith(b'a1/b/'), head
    caller.send(_MODELS)
    assert caller.read_answer()[0] == 200


@then('the process never held more than {size_mb:d} MB above its start')
def bounded_memory(context, size_mb):
    growth_bytes = _peak_bytes(context) - context.start_bytes
    assert growth_bytes < size_mb * 1_000_000, growth_bytes


@when('{count:d} calls to "silent" with bodies of {size:d} bytes are sent')
def large_calls(context, count, size):
    context.callers = []
    for _ in range(count):
        caller = _Caller(context)
        caller.send(_large_chat('silent', size))
        context.callers.append(caller)


@when('their callers leave')
def callers_leave(context):
    for caller in context.callers:
        caller.sock.close()


@then('a small call is answered')
def small_answered(context):
    caller = _Caller(context)
    caller.send(_chat('echo'))
    status, _, body = caller.read_answer()
    assert status == 200, (status, body)


@then('a call with a body of {size:d} bytes is answered')
def large_answered(context, size):
    def is_answered():
        caller = _Caller(context)
        caller.send(_large_chat('echo', size))
        return caller.read_answer()[0] == 200

    _wait_until(is_answered)


def _large_chat(model, size):
    """Return a chat request with a field that the listener ignores."""
    messages = [{'role': 'user', 'content': 'hello'}]
    content = {'model': model, 'messages': messages, 'note': 'x' * size}
    return _post(json.dumps(content).encode())


@when('{number:d} connections each send {length:d} bytes of a longer body')
def incomplete_bodies(context, number, length):
    context.callers = [_Caller(context) for _ in range(number)]
    for caller in context.callers:
        caller.send(_post(b'a' * 900_000)[: length - 900_000])


@then('at least {number:d} of them get "{code}"')
def some_refused(context, number, code):
    waiting = {caller.sock: caller for caller in context.callers}
    for _ in range(number):
        ready, _, _ = select.select(waiting, (), (), _TIMEOUT_S)
        assert ready, 'too few are refused'
        waiting.pop(ready[0]).read_last_error(code)


@then('a request that sends a byte every {interval_s:g} s gets "{code}"')
def slow_request(context, interval_s, code):
    caller = _Caller(context)
    caller.sock.settimeout(interval_s)
    _wait_until(partial(_drip_and_check, caller))
    caller.sock.settimeout(_TIMEOUT_S)
    caller.read_last_error(code)


def _drip_and_check(caller):
    caller.send(b'G')
    try:
        caller.received += caller.sock.recv(65536)
    except TimeoutError:
        return False
    return True


@then('a connection that sends nothing is closed without an answer')
def idle_connection(context):
    caller = _Caller(context)
    caller.read_end()
    assert not caller.received, caller.received


@when('{number:d} connections wait for an answer')
def waiting_connections(context, number):
    context.callers = [_Caller(context) for _ in range(number)]
    for caller in context.callers:
        caller.send(_chat('silent'))


@then('once they are closed the listener serves requests again')
def serves_after_close(context):
    for caller in context.callers:
        caller.sock.close()
    _wait_until(partial(_serves, context))


@when('two requests arrive in one piece')
def pipelined(context):
    context.caller = _Caller(context)
    context.caller.send(_chat('echo') + _MODELS)


@when('two requests arrive while the first is not yet answered')
def pipelined_later(context):
    context.caller = _Caller(context)
    context.caller.send(
        _chat('silent', headers=b'X-Request-Timeout-S: 0.5\r\n')
    )
    _wait_for_line(context, b'took a1/b/')
    context.caller.send(_MODELS)


@then(
    'the first is answered and the second gets "{code}"'
    ' and the end of its connection'
)
def second_refused(context, code):
    status, _, body = context.caller.read_answer()
    assert status in {200, 504}, body
    assert b'"data"' not in body, body
    context.caller.read_last_error(code)


@then(
    'a caller that expects 100-continue gets it, sends its body and is answered'
)
def expectation(context):
    caller = _Caller(context)
    head, end, body = _chat(
        'echo', headers=b'Expect: 100-continue\r\n'
    ).partition(b'\r\n\r\n')
    caller.send(head + end)
    assert caller.read_answer()[0] == 100
    caller.send(body)
    status, _, answer = caller.read_answer()
    assert status == 200
    content = json.loads(answer)['choices'][0]['message']['content']
    assert content == 'user: hello', content


@when('a call to "{model}" with a timeout of {timeout_s:g} s is sent')
def call_with_timeout(context, model, timeout_s):
    context.caller = _Caller(context)
    context.began_s = time.monotonic()
    header = f'X-Request-Timeout-S: {timeout_s}\r\n'.encode()
    context.caller.send(_chat(model, headers=header))
    _wait_for_line(context, b'took a1/b/')


@then('it gets "{code}" after at least {timeout_s:g} s')
def late_answer(context, code, timeout_s):
    error, _ = context.caller.read_error()
    assert error['code'] == code, error
    assert not error['not_run'], error
    assert time.monotonic() - context.began_s >= timeout_s


@then('the components are notified that its caller is gone')
def caller_gone_notified(context):
    _wait_for_line(context, b'gone a1/b/')


@when('a streamed call to "{model}" is sent')
def streamed_call(context, model):
    context.caller = _Caller(context)
    context.caller.send(_chat(model, stream=True))


@when('a streamed call to "{model}" is sent by a caller that does not read')
def unread_call(context, model):
    context.began_s = time.monotonic()
    streamed_call(context, model)


@then('the components are notified after {min_s:g} to {max_s:g} s')
def notified_in_time(context, min_s, max_s):
    caller_gone_notified(context)
    took_s = time.monotonic() - context.began_s
    assert min_s <= took_s <= max_s, took_s


@then(
    'a caller that reads a little of "{model}" every {interval_s:g} s gets all'
)
def slow_reader(context, model, interval_s):
    """Read slowly for three stall limits, then read the rest at once."""
    streamed_call(context, model)
    sock = context.caller.sock
    count = 0
    end_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        time.sleep(interval_s)
        count += len(sock.recv(16_384))
    while count < 16_000_000:
        data = sock.recv(65_536)
        assert data, f'the connection ended after {count} bytes'
        count += len(data)


@then('its answer ends with an error event and no end marker')
def cut_answer(context):
    status, _, body = context.caller.read_answer()
    assert status == 200
    assert body.startswith(b'data: part\n\nevent: error\ndata: {"error"'), body
    assert b'[DONE]' not in body, body


@when(
    'a call to the service "{service}" whose answer of type "{content_type}" '
    'is cut is sent over HTTP/1.{minor:d}'
)
def cut_service_call(context, service, content_type, minor):
    caller = _Caller(context)
    line = f'GET /v1/services/{service}/{content_type} HTTP/1.{minor}\r\n'
    caller.send(b''.join((line.encode(), _KEY_HEADERS, b'\r\n')))
    context.was_reset = False
    try:
        while part := caller.sock.recv(65536):
            caller.received += part
    except ConnectionResetError:
        context.was_reset = True
    context.caller = caller


@then('its answer ends with its first part and {end}')
def cut_service_answer(context, end):
    received = context.caller.received
    assert context.was_reset is (end == 'a reset connection'), received
    assert received.count(b'HTTP/1.') <= 1, received
    assert b'error' not in received, received
    assert not received.endswith(b'0\r\n\r\n'), received
    if not context.was_reset:
        assert b'200' in received, received
        assert b'data: part\n\n' in received, received


@when('a call to "{model}" is taken and its connection closed')
def abandoned_call(context, model):
    caller = _Caller(context)
    caller.send(_chat(model))
    _wait_for_line(context, b'took a1/b/')
    caller.sock.close()


@then('its answer is complete and its connection ends')
def complete_answer(context):
    status, head, body = context.caller.read_answer()
    assert status == 200
    assert head[b'connection'] == b'close', head
    assert body.endswith(b'data: [DONE]\n\n'), body
    context.caller.read_end()


@then('its answer is "{code}" and the end of its connection')
def internal_error(context, code):
    context.caller.read_last_error(code)


@then('calls over TLS with {size:d} characters are answered in full')
def answered_over_tls(context, size):
    text = 'a' * size
    caller = _Caller(context)
    caller.send(_chat('echo', text=text))
    status, _, body = caller.read_answer()
    content = json.loads(body)['choices'][0]['message']['content']
    assert (status, content) == (200, f'user: {text}'), (status, len(body))
    caller.send(_chat('echo', stream=True, text=text))
    status, _, body = caller.read_answer()
    assert status == 200
    events = body.decode().split('\n\n')
    assert events[-2:] == ['data: [DONE]', ''], events[-2:]
    chunks = [json.loads(event.partition(' ')[2]) for event in events[:-2]]
    parts = [chunk['choices'][0]['delta'].get('content') for chunk in chunks]
    assert ''.join(filter(None, parts)) == f'user: {text}'


@when('{count:d} clients {stall} and send nothing more')
def stalled_clients(context, count, stall):
    sent = _handshake_start(context) if 'first' in stall else b''
    context.stalled = [_connect(context) for _ in range(count)]
    for sock in context.stalled:
        sock.sendall(sent)
    context.began_s = time.monotonic()


@then('a call over TLS is answered within {max_s:g} s meanwhile')
def answered_meanwhile(context, max_s):
    began_s = time.monotonic()
    assert _serves(context)
    took_s = time.monotonic() - began_s
    assert took_s <= max_s, took_s
    ready, _, _ = select.select(context.stalled, (), (), 0)
    assert not ready, 'a stalled client was closed or answered already'


@then('each stalled client is closed without an answer within {max_s:g} s')
def stalled_closed(context, max_s):
    for sock in context.stalled:
        assert not _read_all(sock)
    took_s = time.monotonic() - context.began_s
    assert took_s <= max_s, took_s


@then('a plain HTTP call gets no answer and the end of its connection')
def plain_call(context):
    sock = _connect(context)
    sock.sendall(_MODELS)
    received = _read_all(sock)
    # A TLS alert (record type 21) may come before the end.
    assert not received or received[0] == 21, received
    assert len(received) <= 7, received


def _handshake_start(context):
    """Return the first half of a client's first handshake message."""
    outgoing = ssl.MemoryBIO()
    client = context.tls.wrap_bio(
        ssl.MemoryBIO(), outgoing, server_hostname='127.0.0.1'
    )
    with suppress(ssl.SSLWantReadError):
        client.do_handshake()
    data = outgoing.read()
    return data[: len(data) // 2]


def _connect(context):
    sock = socket.create_connection(
        ('127.0.0.1', context.port), timeout=_TIMEOUT_S
    )
    context.add_cleanup(sock.close)
    return sock


def _read_all(sock):
    received = b''
    data = b'more'
    while data:
        data = b''
        with suppress(ConnectionResetError):
            data = sock.recv(65536)
        received += data
    return received

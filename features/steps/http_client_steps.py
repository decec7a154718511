"""Steps for the HTTP client, run against scripted peers on 127.0.0.1."""

import re
import socket
import struct
import subprocess
import sys
import threading
import time
from contextlib import suppress
from functools import partial
from queue import Empty, Queue

from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection.exchange import (
    Address,
    Exchange,
    Header,
    cancel_exchange,
    next_exchange_id,
    pause_exchange,
    resume_exchange,
    start_exchange,
)
from bergamotturn.connection.http_client import HttpClient
from bergamotturn.connection.poller import SocketPoller
from bergamotturn.errors import ErrorKind
from bergamotturn.process.timers import Timers
from features.support.processes import ROOT

#: Far above any expected time; exceeded only if something hangs.
_HANG_S = 20
_OTHER_BYTES = b'other bytes'
#: An answer that begins long before the peer reads the body.
_EARLY_PARTS = 40
_EARLY_PAUSE_S = 0.1
#: Larger than the buffers of both ends of a connection.
_LARGE_BODY = 16_000_000
_READ_AT_STANDSTILL = 1_500_000
#: Time in which bytes arrive, and after a standstill that in which the peer
#: reads nothing.
_REST_AFTER_S = 0.1
_SMALL_BUFFER_BYTES = 4096


class _ReportRecorder(Component):
    """Records the reports of the client.

    :ivar pauses: whether exchanges are paused as soon as their answer begins.
    """

    channel = 'owner'

    def __init__(self):
        super().__init__()
        self.reports = Queue()
        self.pauses = False

    @handler('exchange_head', 'exchange_data', 'exchange_end')
    def _on_report(self, event, exchange, *rest):
        if self.pauses and event.name == 'exchange_head':
            self.fire(pause_exchange(exchange.exchange_id), 'http_client')
        self.reports.put((event.name, exchange.exchange_id, rest))

    @handler('exchange_failed')
    def _on_failed(self, exchange, failure, sent):
        self.reports.put(
            ('exchange_failed', exchange.exchange_id, (failure, sent))
        )


class _Standstill(Component):
    """Blocks the event loop once a request has been sent, or a part of it."""

    def __init__(self, peer, stand_s):
        super().__init__()
        self._peer = peer
        self._stand_s = stand_s

    @handler('_write', channel='http_client', priority=-1)
    def _on_sent(self, *_):
        self._peer.data_seen.set()
        assert self._peer.has_answered.wait(_HANG_S)
        time.sleep(self._stand_s)
        self._stand_s = 0


class _StandstillAtConnect(Component):
    """Blocks the event loop while connections are being opened."""

    def __init__(self, stand_s):
        super().__init__()
        self._stand_s = stand_s

    @handler('start_exchange', channel='http_client', priority=-1)
    def _on_started(self, *_):
        time.sleep(self._stand_s)


class _StandstillAtStart(Component):
    """Blocks the event loop before an exchange until its peer has sent."""

    def __init__(self, peer):
        super().__init__()
        self._peer = peer

    @handler('start_exchange', channel='http_client', priority=1)
    def _on_starting(self, *_):
        self._peer.stands_still.set()
        assert self._peer.has_answered.wait(_HANG_S)
        time.sleep(_REST_AFTER_S)


class _Peer:
    """A server that runs ``script`` on each of its connections."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.opened = 0
        self.closed_connections = Queue()
        self.data_seen = threading.Event()
        self.has_answered = threading.Event()
        self.stands_still = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.opened += 1
            threading.Thread(
                target=self._serve, args=(sock, self.opened), daemon=True
            ).start()

    def _serve(self, sock, number):
        with sock:
            with suppress(OSError):
                self.script(self, sock, number)
        self.closed_connections.put(number)

    def read_head(self, sock):
        """Read the head only, and return the length of the body."""
        received = b''
        while b'\r\n\r\n' not in received:
            received += sock.recv(1)
        return re.search(rb'content-length: (\d+)', received).group(1)

    def read_rest(self, sock, size):
        """Read ``size`` bytes."""
        while size:
            data = sock.recv(min(size, 65536))
            assert data, f'{size} bytes of the body are missing'
            size -= len(data)

    def read_request(self, sock, number=0, pause_s=0):
        """Return the body, or None if the connection is closed."""
        received = b''
        while b'\r\n\r\n' not in received:
            data = sock.recv(65536)
            if not data:
                return None
            received += data
        head, _, body = received.partition(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', head, re.IGNORECASE)
        while length and len(body) < int(length.group(1)):
            time.sleep(pause_s)
            body += sock.recv(65536)
        self.requests.append((number, head))
        return body


class _PeerProcess:
    """A server in a process of its own, which prints its port."""

    def __init__(self, module, *arguments):
        self.data_seen = threading.Event()
        self._process = subprocess.Popen(
            (sys.executable, '-m', module, *arguments),
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.address = Address(
            '127.0.0.1', int(self._process.stdout.readline())
        )

    def end(self):
        self._process.kill()
        self._process.communicate()


def _answer(text, length=None):
    length = len(text) if length is None else length
    return f'HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}'.encode()


def _start_peer(context, script):
    context.waits_for_close = False
    context.peer = _Peer(script)
    context.add_cleanup(context.peer.listener.close)
    context.address = Address(*context.peer.listener.getsockname())


def _start_client(context, poller=None, **options):
    timers = Timers()
    context.owner = _ReportRecorder()
    if poller is not None:
        poller.register(timers)
    context.app = timers + HttpClient(timers, **options) + context.owner
    context.exchanges = []
    context.app.start()
    context.add_cleanup(context.app.stop)


def _send(context, method, **options):
    if not hasattr(context, 'app'):
        _start_client(context)
    exchange = Exchange(
        exchange_id=next_exchange_id(),
        owner='owner',
        address=context.address,
        method=method,
        path='/',
        **{
            'connect_timeout_s': _HANG_S,
            'silence_timeout_s': _HANG_S,
            **options,
        },
    )
    context.exchanges.append(exchange)
    context.started_s = time.monotonic()
    context.started_cpu_s = time.process_time()
    context.app.fire(start_exchange(exchange), 'http_client')
    return exchange


def _wait_for_outcome(context, exchange):
    """Wait for the end or failure of ``exchange``; return its reports."""
    seen = []
    while not seen or seen[-1][0] not in {'exchange_end', 'exchange_failed'}:
        name, exchange_id, rest = context.owner.reports.get(timeout=_HANG_S)
        if exchange_id == exchange.exchange_id:
            seen.append((name, rest))
        if name == 'exchange_data':
            context.peer.data_seen.set()
    context.elapsed_s = time.monotonic() - context.started_s
    context.elapsed_cpu_s = time.process_time() - context.started_cpu_s
    if context.waits_for_close and seen[-1][0] == 'exchange_end':
        context.peer.closed_connections.get(timeout=_HANG_S)
    return seen


def _content(reports):
    return b''.join(
        rest[0] for name, rest in reports if name == 'exchange_data'
    )


def _read_without_answering(peer, sock, number):
    while sock.recv(65536):
        peer.requests.append((number, b''))


def _reset_mid_answer(peer, sock, number):
    peer.read_request(sock)
    sock.sendall(_answer('half', 8))
    _reset_when_arrived(peer, sock)


def _answer_once(answer, peer, sock, number):
    peer.read_request(sock)
    sock.sendall(answer)


def _answer_each_request(answer, peer, sock, number):
    while peer.read_request(sock, number) is not None:
        sock.sendall(answer)


def _answer_byte_by_byte(content, peer, sock, number):
    peer.read_request(sock)
    sock.sendall(_answer('', len(content)))
    for byte in content:
        time.sleep(0.05)
        sock.sendall(bytes((byte,)))


def _echo_length(peer, sock, number):
    body = peer.read_request(sock, pause_s=0.002)
    sock.sendall(_answer(str(len(body))))


def _echo_length_after_pause(peer, sock, number):
    time.sleep(1.5)
    body = peer.read_request(sock)
    sock.sendall(_answer(str(len(body))))


def _answer_before_reading(peer, sock, number):
    size = int(peer.read_head(sock))
    sock.sendall(_answer('', _EARLY_PARTS + len(str(size))))
    for _ in range(_EARLY_PARTS):
        sock.sendall(b'.')
        time.sleep(_EARLY_PAUSE_S)
    peer.read_rest(sock, size)
    sock.sendall(b'%d' % size)


def _end_before_reading(peer, sock, number):
    if number > 1:
        _answer_with_keep_alive(peer, sock, number)
        return
    size = int(peer.read_head(sock))
    sock.sendall(_answer('early'))
    time.sleep(2)
    peer.read_rest(sock, size)
    peer.body_bytes = size
    peer.has_answered.set()


def _answer_with_keep_alive(peer, sock, number):
    while peer.read_request(sock, number) is not None:
        sock.sendall(_answer('kept'))


def _answer_together(barrier, peer, sock, number):
    peer.read_request(sock, number)
    barrier.wait(_HANG_S)
    sock.sendall(_answer('all'))
    sock.recv(1)


def _answer_at_standstill(peer, sock, number):
    peer.read_request(sock, number)
    peer.data_seen.wait(_HANG_S)
    sock.sendall(_answer('kept'))
    peer.has_answered.set()
    sock.recv(1)


def _read_at_standstill(peer, sock, number):
    """Read a part of the body at the standstill, and the rest after it."""
    peer.data_seen.wait(_HANG_S)
    sock.recv(_READ_AT_STANDSTILL, socket.MSG_WAITALL)
    peer.has_answered.set()
    time.sleep(_REST_AFTER_S)
    received = _READ_AT_STANDSTILL
    while received < _LARGE_BODY:
        received += len(sock.recv(65536))
    sock.sendall(_answer('kept'))
    sock.recv(1)


def _refuse_at_standstill(peer, sock, number):
    """Answer without reading the body, so that closing resets."""
    peer.data_seen.wait(_HANG_S)
    sock.recv(1)
    sock.sendall(_answer('kept'))
    time.sleep(_REST_AFTER_S)
    sock.close()
    peer.has_answered.set()


def _read_nothing(peer, sock, number):
    peer.has_answered.wait(_HANG_S)


def _send_more(moment, peer, sock, number):
    """Send other bytes after the first answer, at a moment of ``peer``."""
    if number > 1:
        _answer_with_keep_alive(peer, sock, number)
        return
    peer.read_request(sock, number)
    sock.sendall(_answer('first'))
    assert getattr(peer, moment).wait(_HANG_S)
    sock.sendall(_OTHER_BYTES)
    peer.has_answered.set()
    sock.recv(1)


def _send_more_on_reuse(peer, sock, number):
    peer.read_request(sock, number)
    sock.sendall(_answer('first'))
    peer.read_request(sock, number)
    sock.sendall(_OTHER_BYTES)
    sock.recv(1)


def _close_on_reuse(peer, sock, number):
    peer.read_request(sock, number)
    sock.sendall(_answer('first'))
    if number == 1:
        peer.read_request(sock, number)


@given('a peer whose backlog is full')
def full_backlog(context):
    context.waits_for_close = False
    listener = socket.create_server(('127.0.0.1', 0), backlog=0)
    context.add_cleanup(listener.close)
    context.address = Address(*listener.getsockname())
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        context.add_cleanup(filler.close)


@given('an address with the port {port:d}')
def port_out_of_range(context, port):
    context.address = Address('127.0.0.1', port)
    context.waits_for_close = False


@given('an address where nobody listens')
def no_listener(context):
    context.waits_for_close = False
    with socket.create_server(('127.0.0.1', 0)) as listener:
        context.address = Address(*listener.getsockname())


_SCRIPTS = {
    'reads and never answers': _read_without_answering,
    'sends half an answer and resets': _reset_mid_answer,
    'answers one byte every 0.05 s': partial(
        _answer_byte_by_byte, b'abcdefghijkl'
    ),
    'answers one byte every 0.05 s without end': partial(
        _answer_byte_by_byte, bytes(2_000_000)
    ),
    'reads slowly and echoes the length of the body': _echo_length,
    'pauses 1.5 s before it reads and echoes the length of the body': (
        _echo_length_after_pause
    ),
    'answers for 4 s before it reads and ends with the length of the body': (
        _answer_before_reading
    ),
    'answers its first request 2 s before it reads the body': (
        _end_before_reading
    ),
    'answers while the client stands still': _answer_at_standstill,
    'refuses the body while the client stands still': _refuse_at_standstill,
    'reads nothing': _read_nothing,
    'reads a part of the body while the client stands still': (
        _read_at_standstill
    ),
    'keeps connections': _answer_with_keep_alive,
    'closes after each answer without saying so': partial(
        _answer_once, _answer('once')
    ),
    'closes a kept connection when the next request arrives': _close_on_reuse,
    'sends other bytes once its first answer has arrived': partial(
        _send_more, 'data_seen'
    ),
    'sends other bytes once the client stands still after its first answer': (
        partial(_send_more, 'stands_still')
    ),
    'sends other bytes on a kept connection when the next request arrives': (
        _send_more_on_reuse
    ),
}


@given('a peer that {behaviour}')
def scripted_peer(context, behaviour):
    _start_peer(context, _SCRIPTS[behaviour])
    context.waits_for_close = behaviour.startswith('closes after')


@given('a peer with the answer "{answer}" before it closes')
def literal_peer(context, answer):
    literal = answer.encode().replace(rb'\r\n', b'\r\n')
    literal = literal.replace(b'{400 digits}', b'9' * 400)
    _start_peer(context, partial(_answer_once, literal))


@given('a peer with the answer "{answer}" to each request')
def repeating_peer(context, answer):
    literal = answer.encode().replace(rb'\r', b'\r').replace(rb'\n', b'\n')
    _start_peer(context, partial(_answer_each_request, literal))


@given('a peer with answers once {count:d} requests have arrived')
def answering_together_peer(context, count):
    _start_peer(context, partial(_answer_together, threading.Barrier(count)))


@given(
    'a peer whose first {count:d} connections go silent after one answer each'
)
def silent_peer(context, count):
    context.waits_for_close = False
    context.peer = _PeerProcess('features.standins.silent_peer', str(count))
    context.add_cleanup(context.peer.end)
    context.address = context.peer.address


@when('a "{method}" with the field "{text}" is sent to the peer')
def send_field(context, method, text):
    exchange = _send(context, method, headers=(Header('x-name', text),))
    context.reports = _wait_for_outcome(context, exchange)


@then('the peer got the field "{text}" in one byte each')
def got_field(context, text):
    _, head = context.peer.requests[0]
    assert text.encode('latin-1') in head, head


@when('a "{method}" is sent to the peer that {kind} repeated')
def send_repeatable(context, method, kind):
    options = {'is_repeatable': True} if kind == 'may be' else {}
    exchange = _send(context, method, **options)
    context.reports = _wait_for_outcome(context, exchange)


@when(
    'a "{method}" is sent to the peer by a client that keeps connections for '
    '{idle_s:g} s'
)
def send_before_idle(context, method, idle_s):
    _start_client(context, idle_s=idle_s)
    context.reports = _wait_for_outcome(context, _send(context, method))


@when('a "{method}" is sent to the peer')
@when('a "{method}" is sent to the peer with {option} = {number:g}')
def send_one(context, method, option='', number=0):
    options = {option: number} if option else {}
    if option == 'body_bytes':
        options = {'body': bytes(int(number))}
    context.reports = _wait_for_outcome(
        context, _send(context, method, **options)
    )


@when(
    'a "{method}" of {size:d} bytes is sent to the peer by a client that waits '
    '{limit_s:g} s for acknowledgements'
)
def send_body(context, method, size, limit_s):
    _start_client(context, unacknowledged_s=limit_s)
    context.reports = _wait_for_outcome(
        context, _send(context, method, body=bytes(size))
    )


@when(
    'another request is sent to the peer with a total timeout of {limit_s:g} s'
)
def send_another(context, limit_s):
    exchange = _send(context, 'GET', total_timeout_s=limit_s)
    context.reports = _wait_for_outcome(context, exchange)


@then('the peer gets all {size:d} bytes of the body')
def peer_gets_body(context, size):
    assert context.peer.has_answered.wait(_HANG_S)
    assert context.peer.body_bytes == size


@when('a follow-up "{method}" is sent to the peer on the first connection')
def send_follow_up(context, method):
    first = context.exchanges[0].exchange_id
    exchange = _send(context, method, same_connection_as=first)
    context.reports = _wait_for_outcome(context, exchange)


@when(
    '{count:d} "{method}" are sent to the peer at once'
    ' by a client that keeps {kept:d} for {idle_s:g} s'
)
def send_many(context, count, method, kept, idle_s):
    _start_client(context, idle_connections=kept, idle_s=idle_s)
    exchange_ids = {_send(context, method).exchange_id for _ in range(count)}
    while exchange_ids:
        name, exchange_id, _ = context.owner.reports.get(timeout=_HANG_S)
        if name == 'exchange_end':
            exchange_ids.remove(exchange_id)


@when(
    'a "{method}" is sent to the peer by a client that then stands still for '
    'longer than its silence timeout of {silence_s:g} s'
)
def send_before_standstill(context, method, silence_s):
    _start_client(context)
    _Standstill(context.peer, silence_s * 1.5).register(context.app)
    exchange = _send(context, method, silence_timeout_s=silence_s)
    context.reports = _wait_for_outcome(context, exchange)


@when(
    'a "{method}" with a large body is sent to the peer by a client that then '
    'stands still for longer than its silence timeout of {silence_s:g} s'
)
def send_large_before_standstill(context, method, silence_s):
    _start_client(context)
    _Standstill(context.peer, silence_s * 1.5).register(context.app)
    send_large(context, method, silence_s)


@when(
    'a "{method}" with a large body is sent to the peer with a silence timeout '
    'of {silence_s:g} s'
)
def send_large(context, method, silence_s):
    exchange = _send(
        context, method, body=bytes(_LARGE_BODY), silence_timeout_s=silence_s
    )
    context.reports = _wait_for_outcome(context, exchange)


@when(
    'a "{method}" is sent to the peer by a client that stands still for longer '
    'than its connect timeout of {connect_s:g} s'
)
def send_at_standstill(context, method, connect_s):
    _start_client(context)
    _StandstillAtConnect(connect_s * 1.5).register(context.app)
    exchange = _send(context, method, connect_timeout_s=connect_s)
    context.reports = _wait_for_outcome(context, exchange)


@when(
    'a "{method}" is sent to the peer by a client that stands still until '
    'other bytes have arrived'
)
def send_after_standstill(context, method):
    _StandstillAtStart(context.peer).register(context.app)
    context.reports = _wait_for_outcome(context, _send(context, method))


@when('a "{method}" is sent to the peer and cancelled after the answer\'s head')
def send_and_cancel(context, method):
    exchange = _send(context, method)
    assert context.owner.reports.get(timeout=_HANG_S)[0] == 'exchange_head'
    context.app.fire(cancel_exchange(exchange.exchange_id), 'http_client')


@then('the exchange fails as "{kind}" with {what} sent')
def fails(context, kind, what):
    name, (failure, sent) = context.reports[-1]
    assert name == 'exchange_failed', context.reports
    assert failure.kind.value == kind, failure
    assert sent is (what == 'bytes'), sent


@then('the exchange took at least {limit_s:g} s')
def took_at_least(context, limit_s):
    assert context.elapsed_s >= limit_s * 0.95, context.elapsed_s


@then('the exchange took less than {limit_s:g} s')
def took_less_than(context, limit_s):
    assert context.elapsed_s < limit_s, context.elapsed_s


@then('the process used less than half of that time on the CPU')
def cpu_time_is_low(context):
    assert context.elapsed_cpu_s < context.elapsed_s / 2, context.elapsed_cpu_s


@then('the first half of the answer was reported')
def half_reported(context):
    assert _content(context.reports) == b'half', context.reports


@then('the complete answer arrives in several reads')
def several_reads(context):
    assert context.reports[-1][0] == 'exchange_end', context.reports
    assert _content(context.reports) == b'abcdefghijkl'
    assert len(context.reports) > 4, context.reports


@then('the peer\'s answer is ""')
def answer_is_empty(context):
    answer_is(context, '')


@then('the peer\'s answer ends with "{text}"')
def answer_ends(context, text):
    answer_is(context, '.' * _EARLY_PARTS + text)


@then('the peer\'s answer is "{text}"')
def answer_is(context, text):
    assert context.reports[-1][0] == 'exchange_end', context.reports
    assert _content(context.reports) == text.encode()


@then('the follow-up used the first connection and the unrelated one did not')
def same_connection(context):
    numbers = [number for number, _ in context.peer.requests]
    assert numbers == [1, 2, 1], numbers


@then('the peer received {times:d} requests in total and the last {outcome}')
def request_count(context, times, outcome):
    assert len(context.peer.requests) == times, context.peer.requests
    if outcome == 'is answered':
        answer_is(context, 'first')
    else:
        fails(context, 'endpoint_lost', 'bytes')


@then('the requests arrived on {count:d} connections')
def connection_count(context, count):
    numbers = {number for number, _ in context.peer.requests}
    assert len(numbers) == count, context.peer.requests


@when('{count:d} connections to the peer are closed')
@then('{count:d} connections to the peer are closed')
def connections_end(context, count):
    for _ in range(count):
        context.peer.closed_connections.get(timeout=_HANG_S)


@then('the peer sees the connection close and nothing more is reported')
def cancelled(context):
    context.peer.closed_connections.get(timeout=_HANG_S)
    while True:
        try:
            name, _, _ = context.owner.reports.get_nowait()
        except Empty:
            return
        assert name == 'exchange_data', name


@given(
    'an earlier refusal {echo}, which its peer writes once more before the '
    'next answer'
)
def refusal_twice(context, echo):
    fields = b'Request-Id: first\r\n' if echo == 'with its id' else b''
    refusal = b''.join(
        (
            b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n',
            fields,
            b'Content-Length: 0\r\n\r\n',
        )
    )
    _start_peer(context, partial(_refuse_twice, refusal))


def _refuse_twice(refusal, peer, sock, number):
    peer.read_request(sock, number)
    sock.sendall(refusal)
    peer.read_request(sock, number)
    sock.sendall(
        b''.join(
            (
                refusal,
                b'HTTP/1.1 200 OK\r\nRequest-Id: second\r\n',
                b'Content-Length: 5\r\n\r\nwhole',
            )
        )
    )


@when(
    'the requests "{first}" and "{second}" are sent to this peer one after the '
    'other'
)
def send_both(context, first, second):
    context.reports = []
    for call_id in (first, second):
        echo = Header('request-id', call_id)
        exchange = _send(context, 'POST', correlation_header=echo)
        context.reports.append(_wait_for_outcome(context, exchange))


@then(
    'the status {status:d} is reported for the first and the second {outcome}'
)
def second_outcome(context, status, outcome):
    first, second = context.reports
    assert _status(first) == status, first
    assert len({number for number, _ in context.peer.requests}) == 1
    if outcome == 'is lost':
        last, rest = second[-1]
        assert last == 'exchange_failed', second
        assert rest[0].kind is ErrorKind.endpoint_lost, rest
        return
    if outcome == 'gets the status 200':
        assert _status(second) == 200, second
        assert _content(second) == b'whole', second
        return
    last, rest = second[-1]
    assert last == 'exchange_failed', second
    assert rest[0].kind is ErrorKind.endpoint_failed, rest
    assert not any(name == 'exchange_head' for name, _ in second), second


def _status(reports):
    return next(rest[0] for name, rest in reports if name == 'exchange_head')


def _answer_first_at_length(length, peer, sock, number):
    """Send ``length`` bytes on the first connection, short answers later."""
    if number > 1:
        _answer_with_keep_alive(peer, sock, number)
        return
    peer.read_request(sock, number)
    sock.sendall(_answer('', length))
    sock.sendall(bytes(length))


@given('a peer with an answer of {length:d} bytes on its first connection')
def long_first_answer(context, length):
    _start_peer(context, partial(_answer_first_at_length, length))


def _pause(context, method, **options):
    """Send a request that is paused once its answer has begun."""
    _start_client(context)
    context.owner.pauses = True
    exchange = _send(context, method, **options)
    assert context.owner.reports.get(timeout=_HANG_S)[0] == 'exchange_head'
    context.owner.pauses = False
    return exchange


@when(
    'a "{method}" is sent to the peer and paused for {pause_s:g} s, with a '
    'silence timeout of {silence_s:g} s'
)
def send_and_pause(context, method, pause_s, silence_s):
    first = _pause(context, method, silence_timeout_s=silence_s)
    second = _send(context, method)
    time.sleep(pause_s)
    queue = context.owner.reports
    context.during_pause = [queue.get_nowait() for _ in range(queue.qsize())]
    context.app.fire(resume_exchange(first.exchange_id), 'http_client')
    context.reports = _reports_of(context, first)
    context.second_reports = _reports_of(context, second)
    names = {name for name, _ in context.reports}
    if names.isdisjoint(('exchange_end', 'exchange_failed')):
        context.reports += _wait_for_outcome(context, first)


def _reports_of(context, exchange):
    return [
        (name, rest)
        for name, exchange_id, rest in context.during_pause
        if exchange_id == exchange.exchange_id
    ]


@then('less than {length:d} bytes were reported during the pause')
def few_bytes(context, length):
    reported = _content((name, rest) for name, _, rest in context.during_pause)
    assert len(reported) < length, len(reported)


@then('another "{method}" to the peer was answered during the pause')
def answered_during_pause(context, method):
    assert _content(context.second_reports) == b'kept', context.second_reports


@then('the first answer is complete with {length:d} bytes')
def long_answer_complete(context, length):
    last, rest = context.reports[-1]
    assert last == 'exchange_end', (last, rest)
    assert len(_content(context.reports)) == length


@when('a "{method}" is sent to the peer and paused until it {end}')
def send_paused(context, method, end):
    if end == 'is cancelled':
        context.paused = _pause(context, method)
        cancel = cancel_exchange(context.paused.exchange_id)
        context.app.fire(cancel, 'http_client')
        return
    context.paused = _pause(context, method, total_timeout_s=0.5)
    reports = _wait_for_outcome(context, context.paused)
    assert reports[-1][0] == 'exchange_failed', reports[-1]
    failure, _ = reports[-1][1]
    assert failure.kind is ErrorKind.deadline_exceeded, failure


@then(
    'a "{method}" sent later is answered, though the first one is resumed now'
)
def answered_later(context, method):
    resume = resume_exchange(context.paused.exchange_id)
    context.app.fire(resume, 'http_client')
    reports = _wait_for_outcome(context, _send(context, method))
    assert _content(reports) == b'kept', reports


def _reset(sock):
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def _close(peer, sock):
    """Leave it to the kernel, which resets if it holds unread bytes."""


def _reset_at_once(peer, sock):
    _reset(sock)


def _reset_when_arrived(peer, sock):
    assert peer.data_seen.wait(_HANG_S)
    _reset(sock)


def _half_close(peer, sock):
    sock.shutdown(socket.SHUT_WR)
    time.sleep(_REST_AFTER_S)


def _half_close_and_reset(peer, sock):
    sock.shutdown(socket.SHUT_WR)
    _reset(sock)


_ENDINGS = {
    'closes it': _close,
    'closes it with bytes unread': _close,
    'resets the connection': _reset_at_once,
    'resets it when the part has arrived': _reset_when_arrived,
    'ends its side and reads no more': _half_close,
    'resets it while the client stands still': _reset_at_once,
    'ends its side and resets it at a standstill': _half_close_and_reset,
}
_UNFRAMED_PART = b'HTTP/1.1 200 OK\r\n\r\npart'
_REFUSAL = b'HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull'


def _answer_upload(answer, end, is_read, peer, sock, number):
    if is_read:
        peer.read_request(sock, number)
    else:
        sock.recv(1)
    if peer.stands_still.is_set():
        assert peer.data_seen.wait(_HANG_S)
    sock.sendall(answer)
    end(peer, sock)
    peer.has_answered.set()


@given(
    'an endpoint that answers a {amount} upload without a length and {ending}'
)
def answering_endpoint(context, amount, ending):
    _start_upload_peer(context, _UNFRAMED_PART, amount, ending)


@given('an endpoint that refuses a {amount} upload and {ending}')
def refusing_endpoint(context, amount, ending):
    _start_upload_peer(context, _REFUSAL, amount, ending)


def _start_upload_peer(context, answer, amount, ending):
    is_read = amount == 'whole'
    script = partial(_answer_upload, answer, _ENDINGS[ending], is_read)
    _start_peer(context, script)
    # The rest of the upload does not fit into the peer's kernel.
    context.peer.listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
    )
    if 'stand' in ending:
        context.peer.stands_still.set()


@when(
    'a "{method}" of {size:d} bytes is sent to the peer over the daemon\'s '
    'poller'
)
def send_over_daemon_poller(context, method, size):
    _start_client(context, poller=SocketPoller())
    if context.peer.stands_still.is_set():
        _Standstill(context.peer, _REST_AFTER_S).register(context.app)
    exchange = _send(context, method, body=bytes(size))
    context.reports = _wait_for_outcome(context, exchange)


@then('the outcome of the exchange is "{outcome}"')
def outcome_is(context, outcome):
    if outcome == 'complete':
        answer_is(context, 'part')
        return
    fails(context, outcome, 'bytes')


@then('no head of an answer was reported')
def no_head(context):
    names = [name for name, _ in context.reports]
    assert 'exchange_head' not in names, names


def _answer_with_first_id(peer, sock, number):
    """Answer the second request with the id of the first."""
    answer = b'HTTP/1.1 200 OK\r\nRequest-Id: first\r\n'
    peer.read_request(sock, number)
    sock.sendall(b''.join((answer, b'Content-Length: 5\r\n\r\nfirst')))
    peer.read_request(sock, number)
    sock.sendall(b''.join((answer, b'\r\nfirst')))


@given(
    'an endpoint that answers the second request with the id of the first, '
    'without a length'
)
def answering_with_first_id(context):
    _start_peer(context, _answer_with_first_id)

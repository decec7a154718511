"""Steps on the HTTP client against scripted peers on 127.0.0.1."""

import re
import socket
import struct
import threading
import time
from functools import partial
from queue import Empty, Queue

from behave import given, then, use_step_matcher, when
from circuits import Component, handler

from bergamotturn.connection.exchange import (
    Address,
    Exchange,
    cancel_exchange,
    next_exchange_id,
    start_exchange,
)
from bergamotturn.connection.http_client import HttpClient
from bergamotturn.process.timers import Timers

use_step_matcher('parse')

#: Far above any expected time; reached only by a hang.
_HANG_S = 20


class _Owner(Component):
    """Records what the client reports."""

    channel = 'owner'

    def __init__(self):
        super().__init__()
        self.reports = Queue()

    @handler('exchange_head', 'exchange_data', 'exchange_end')
    def _on_report(self, event, exchange, *rest):
        self.reports.put((event.name, exchange.exchange_id, rest))

    @handler('exchange_failed')
    def _on_failed(self, exchange, failure, sent):
        self.reports.put(
            ('exchange_failed', exchange.exchange_id, (failure, sent))
        )


class _Peer:
    """A server whose connections are each served by ``script``."""

    def __init__(self, script, backlog=64):
        self.script = script
        self.requests = []
        self.opened = 0
        self.ended = Queue()
        self.data_seen = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=backlog)
        self.address = Address(*self.listener.getsockname())

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

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
            try:
                self.script(self, sock, number)
            except OSError:
                pass
        self.ended.put(number)

    def read_request(self, sock, number=0, pause_s=0):
        """Return the body, or None at the end of the connection."""
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


def _answer(text):
    return (
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}'.encode()
    )


def _serve_peer(context, script):
    peer = _Peer(script).start()
    context.add_cleanup(peer.listener.close)
    context.peer = peer
    context.address = peer.address


def _client(context, **options):
    timers = Timers()
    context.owner = _Owner()
    context.app = timers + HttpClient(timers, **options) + context.owner
    context.app.start()
    context.add_cleanup(context.app.stop)


def _send(context, method, **options):
    if not hasattr(context, 'app'):
        _client(context)
    exchange = Exchange(
        exchange_id=next_exchange_id(),
        owner='owner',
        address=context.address,
        method=method,
        path='/',
        **{'connect_s': _HANG_S, 'silence_s': _HANG_S, **options},
    )
    context.exchange = exchange
    context.began_s = time.monotonic()
    context.began_cpu_s = time.process_time()
    context.app.fire(start_exchange(exchange), 'http_client')
    return exchange


def _outcome(context, exchange=None):
    """Return the reports of one exchange up to its end or failure."""
    wanted = (exchange or context.exchange).exchange_id
    seen = []
    while True:
        name, number, rest = context.owner.reports.get(timeout=_HANG_S)
        if number != wanted:
            continue
        seen.append((name, rest))
        if name == 'exchange_data':
            context.peer.data_seen.set()
        if name in {'exchange_end', 'exchange_failed'}:
            context.took_s = time.monotonic() - context.began_s
            context.took_cpu_s = time.process_time() - context.began_cpu_s
            return seen


def _content(reports):
    return b''.join(
        rest[0] for name, rest in reports if name == 'exchange_data'
    )


def _say_nothing(peer, sock, number):
    while sock.recv(65536):
        peer.requests.append((number, b''))


def _reset_in_answer(peer, sock, number):
    peer.read_request(sock)
    sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf')
    peer.data_seen.wait(_HANG_S)
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _say_once(answer, peer, sock, number):
    peer.read_request(sock)
    sock.sendall(answer)


def _drip(pause_s, content, peer, sock, number):
    peer.read_request(sock)
    sock.sendall(
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n'.encode()
    )
    for byte in content:
        time.sleep(pause_s)
        sock.sendall(bytes((byte,)))


def _echo_length(peer, sock, number):
    body = peer.read_request(sock, pause_s=0.002)
    sock.sendall(_answer(str(len(body))))


def _keep(peer, sock, number):
    while peer.read_request(sock, number) is not None:
        sock.sendall(_answer('kept'))


def _gather(barrier, peer, sock, number):
    peer.read_request(sock, number)
    barrier.wait(_HANG_S)
    sock.sendall(_answer('all'))
    sock.recv(1)


def _close_under_next(peer, sock, number):
    peer.read_request(sock, number)
    sock.sendall(_answer('first'))
    if number == 1:
        peer.read_request(sock, number)


@given('a peer that reads and never answers')
def silent_peer(context):
    """Serve connections without an answer."""
    _serve_peer(context, _say_nothing)


@given('a peer whose backlog is full')
def full_backlog(context):
    """Fill the backlog so that the kernel drops the next SYN."""
    listener = socket.create_server(('127.0.0.1', 0), backlog=0)
    context.add_cleanup(listener.close)
    context.address = Address(*listener.getsockname())
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        context.add_cleanup(filler.close)


@given('an address where nobody listens')
def nobody(context):
    """Take a free port and give it back."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        context.address = Address(*listener.getsockname())


@given('a peer that sends half an answer and resets')
def resetting_peer(context):
    """Reset once the client has reported the half."""
    _serve_peer(context, _reset_in_answer)


@given('a peer that answers "{answer}" and closes')
def scripted_peer(context, answer):
    """Serve one literal answer."""
    literal = answer.encode().replace(rb'\r\n', b'\r\n')
    _serve_peer(context, partial(_say_once, literal))


@given('a peer that answers one byte each {pause_s:g} s')
def dripping_peer(context, pause_s):
    """Send a short answer slowly."""
    _serve_peer(context, partial(_drip, pause_s, b'abcdefghijkl'))


@given('a peer that answers one byte each {pause_s:g} s for ever')
def endless_peer(context, pause_s):
    """Send an answer that would take a day."""
    _serve_peer(context, partial(_drip, pause_s, bytes(2_000_000)))


@given('a peer that reads slowly and echoes the length of the body')
def slow_reader(context):
    """Read with pauses, so that the client's socket buffer fills."""
    _serve_peer(context, _echo_length)


@given('a peer that keeps connections')
def keeping_peer(context):
    """Answer any number of requests on a connection."""
    _serve_peer(context, _keep)


@given('a peer that answers once {count:d} requests have come')
def gathering_peer(context, count):
    """Hold answers until each request has its own connection."""
    _serve_peer(context, partial(_gather, threading.Barrier(count)))


@given('a peer that closes after each answer without saying so')
def forgetful_peer(context):
    """Close without a Connection header."""
    _serve_peer(context, partial(_say_once, _answer('once')))
    context.closes = True


@given('a peer that closes a kept connection when the next request arrives')
def closing_peer(context):
    """Read the second request of the first connection and close."""
    _serve_peer(context, _close_under_next)


@when('a "{method}" is sent')
def send_plain(context, method):
    context.reports = _outcome(context, _send(context, method))


@when('a "{method}" with a {limit} limit of {limit_s:g} s is sent')
def send_limited(context, method, limit, limit_s):
    context.limit_s = limit_s
    exchange = _send(context, method, **{f'{limit}_s': limit_s})
    context.reports = _outcome(context, exchange)


@when('a "{method}" of {length:d} bytes is sent')
def send_large(context, method, length):
    exchange = _send(context, method, body=b'x' * length)
    context.reports = _outcome(context, exchange)


@when('a "{method}" is sent and kept for a follow-up')
def send_first(context, method):
    context.first = _send(context, method, follow_up_s=_HANG_S)
    _outcome(context)
    if 'closes' in context:
        context.peer.ended.get(timeout=_HANG_S)


@when('an unrelated "{method}" is sent')
def send_unrelated(context, method):
    _send(context, method)
    _outcome(context)


@when('a follow-up "{method}" is sent on the first connection')
def send_follow_up(context, method):
    exchange = _send(
        context, method, same_connection_as=context.first.exchange_id
    )
    context.reports = _outcome(context, exchange)


@when(
    '{count:d} "{method}" are sent at once'
    ' by a client that keeps {kept:d} for {idle_s:g} s'
)
def send_many(context, count, method, kept, idle_s):
    _client(context, idle_connections=kept, idle_s=idle_s)
    exchanges = {_send(context, method).exchange_id for _ in range(count)}
    while exchanges:
        name, number, _ = context.owner.reports.get(timeout=_HANG_S)
        if name == 'exchange_end':
            exchanges.remove(number)


@when('a "{method}" is sent and cancelled after its head')
def send_and_cancel(context, method):
    exchange = _send(context, method)
    assert context.owner.reports.get(timeout=_HANG_S)[0] == 'exchange_head'
    context.app.fire(cancel_exchange(exchange.exchange_id), 'http_client')


@then('it fails as "{kind}" with {what} sent')
def fails(context, kind, what):
    name, (failure, sent) = context.reports[-1]
    assert name == 'exchange_failed', context.reports
    assert failure.kind.value == kind, failure
    assert sent is (what == 'bytes'), sent


@then('it took at least {limit_s:g} s')
def took(context, limit_s):
    assert context.took_s >= limit_s * 0.95, context.took_s


@then('the process used less than half of that time on a core')
def idle_meanwhile(context):
    assert context.took_cpu_s < context.took_s / 2, context.took_cpu_s


@then('the half of the answer was reported')
def half_reported(context):
    assert _content(context.reports) == b'half', context.reports


@then('the whole answer arrives in several reads')
def several_reads(context):
    assert context.reports[-1][0] == 'exchange_end', context.reports
    assert _content(context.reports) == b'abcdefghijkl'
    assert len(context.reports) > 4, context.reports


@then('the answer is "{text}"')
def answer_is(context, text):
    assert context.reports[-1][0] == 'exchange_end', context.reports
    assert _content(context.reports) == text.encode()


@then('the follow-up used the first connection and the unrelated one did not')
def same_connection(context):
    numbers = [number for number, _ in context.peer.requests]
    assert numbers == [1, 2, 1], numbers


@then('the peer saw {times:d} requests in all and the last one {outcome}')
def request_count(context, times, outcome):
    assert len(context.peer.requests) == times, context.peer.requests
    if outcome == 'is answered':
        answer_is(context, 'first')
    else:
        fails(context, 'endpoint_lost', 'bytes')


@then('{count:d} connections end')
def connections_end(context, count):
    for _ in range(count):
        context.peer.ended.get(timeout=_HANG_S)


@then('the peer sees the connection end and nothing more is reported')
def cancelled(context):
    context.peer.ended.get(timeout=_HANG_S)
    while True:
        try:
            name, _, _ = context.owner.reports.get_nowait()
        except Empty:
            return
        assert name == 'exchange_data', name

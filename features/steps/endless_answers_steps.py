"""Steps for answers that never end and answers without progress."""

from time import process_time

from behave import then, when

from bergamotturn.connection.answer_parser import AnswerParser
from bergamotturn.connection.engine_adapter import (
    BrokenChunk,
    EventStreamParser,
)
from bergamotturn.connection.stale_answer import StaleAnswer
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.request.relay.actions import (
    CloseAttempt,
    ReplyData,
    ReportFailure,
)
from bergamotturn.request.relay.event_stream import EventStream
from features.standins.users_platform import event

_READ_BYTES = 16_384
_KB = 1024


def _decoded(text):
    return text.encode().decode('unicode_escape').encode()


@when('its engine sends {megabytes:d} MB of an event without a blank line')
def endless_event(context, megabytes):
    run = context.run
    attempts = run.flow.attempt_count
    context.read_bytes = 0
    part = b'data: '.ljust(_READ_BYTES, b'x')
    while context.read_bytes < megabytes * _KB * _KB:
        run.record(run.flow.on_data(run.now_s, part))
        context.read_bytes += len(part)
        if run.flow.attempt_count > attempts:
            return


@then(
    'at most {kilobytes:d} KB of it were read before it is sent to another '
    'engine'
)
def read_at_most(context, kilobytes):
    assert context.read_bytes <= kilobytes * _KB, context.read_bytes
    assert len(set(context.run.router.placed)) == 2


@then('the endpoint is reported as garbled')
def reported_as_garbled(context):
    (report,) = context.run.actions_of(ReportFailure)
    assert report.fault is Fault.garbled


@then(
    'an event of {kilobytes:d} KB that arrives in {part:d} byte parts is '
    'parsed within {limit_s:d} second'
)
def long_event(context, kilobytes, part, limit_s):
    stream = EventStream()
    whole = b'id: 1\ndata: %b\n\n' % bytes(kilobytes * _KB)
    began_s = process_time()
    events = []
    for offset in range(0, len(whole), part):
        events.extend(stream.feed(whole[offset : offset + part]))
    used_s = process_time() - began_s
    assert [(each.number, each.data) for each in events] == [(1, whole)]
    assert used_s <= limit_s, used_s


@when(
    'its engine sends "{text}" every {gap_s:f} seconds for {total_s:f} seconds'
)
def send_without_event(context, text, gap_s, total_s):
    _send_repeatedly(context.run, _decoded(text), gap_s, total_s)


@when(
    'its engine sends "{text}" every {gap_s:f} seconds for {total_s:d} seconds'
)
def send_without_event_long(context, text, gap_s, total_s):
    _send_repeatedly(context.run, _decoded(text), gap_s, total_s)


@then('the caller received the comment')
def comment_received(context):
    received = b''.join(
        action.data for action in context.run.actions_of(ReplyData)
    )
    assert received.endswith(b': comment\n\n'), received


@when(
    'its engine sends an event every {gap_s:f} seconds for {total_s:d} seconds'
)
def slow_events(context, gap_s, total_s):
    run = context.run
    context.sent = []
    number = 1
    while run.now_s < total_s:
        context.sent.append(event(number))
        run.receive_events(number)
        number += 1
        _pass_time(run, gap_s)


@then('all events were forwarded and no attempt was closed')
def all_forwarded(context):
    received = b''.join(
        action.data for action in context.run.actions_of(ReplyData)
    )
    assert received == b''.join(context.sent)
    assert not context.run.actions_of(CloseAttempt)


@when('an engine sends interim answers without end')
def endless_interim(context):
    parser = AnswerParser('POST')
    context.outcome = None
    context.read_bytes = 0
    while context.outcome is None and context.read_bytes < _KB * _KB:
        part = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
        context.read_bytes += len(part)
        context.outcome = parser.feed(part).failure


@then('the answer is refused after at most {kilobytes:d} KB')
@then('the connection is given up after at most {kilobytes:d} KB')
def refused_after(context, kilobytes):
    assert isinstance(context.outcome, Failure)
    assert context.outcome.kind is ErrorKind.endpoint_failed
    assert context.read_bytes <= kilobytes * _KB, context.read_bytes


@when('an answer to an earlier request never ends')
def endless_stale(context):
    stale = StaleAnswer('POST')
    part = b'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n'
    context.read_bytes = 0
    context.outcome = None
    while context.outcome is None and context.read_bytes < 4 * _KB * _KB:
        context.outcome = stale.feed(part)
        context.read_bytes += len(part)
        part = b'x' * _READ_BYTES


@when('an engine of the own wire sends data lines without a blank line')
def endless_lines(context):
    parser = EventStreamParser()
    part = b'data: %b\n' % bytes(_READ_BYTES)
    context.read_bytes = 0
    context.chunks = []
    while not context.chunks and context.read_bytes < 16 * _KB * _KB:
        context.chunks = parser.feed(part)
        context.read_bytes += len(part)


@then('its stream is broken after at most {megabytes:d} MB')
def broken_after(context, megabytes):
    assert isinstance(context.chunks[0], BrokenChunk)
    assert context.read_bytes <= megabytes * _KB * _KB, context.read_bytes


def _send_repeatedly(run, data, gap_s, total_s):
    attempts = run.flow.attempt_count
    for _ in range(round(total_s / gap_s)):
        run.record(run.flow.on_data(run.now_s, data))
        _pass_time(run, gap_s)
        if run.flow.attempt_count > attempts:
            return


def _pass_time(run, by_s):
    run.now_s += by_s
    if run.now_s >= run.flow.wake_s:
        run.record(run.flow.on_timer(run.now_s))

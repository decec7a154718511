"""Steps on log lines and the timeline of a request."""

import json
import os
import subprocess
import sys
import threading
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then, when

from bergamotturn.explain import read_lines, timeline_of
from bergamotturn.process.log_lines import LogLines

_FIRST_LOG = (
    '12.5 a0 {"timestamp":10.0,"instance":"a0","message_type":"request_taken",'
    '"request":"r-1"}',
    'Traceback of another program {',
    '{"timestamp":9.5,"instance":"a0","message_type":"endpoint_suspected",'
    '"endpoint":"e-1","reason":"silent"}',
    '{"timestamp":10.2,"instance":"a0","message_type":"request_ended",'
    '"request":"r-1","outcome":"endpoint_lost"}',
    '{"timestamp":10.1,"instance":"a0","message_type":"request_sent",'
    '"request":"r-1","endpoint":"e-1"}',
    '{"timestamp":10.15,"instance":"a0","message_type":"request_sent",'
    '"request":"r-2","endpoint":"e-1"}',
    '{"timestamp":10.1,"instance":"a0","message_type":"endpoint_gone",'
    '"endpoint":"e-2"}',
    '{"timestamp":10.3,"instance":"a0","message_ty',
)
_SECOND_LOG = (
    '{"timestamp":10.0,"instance":"b1","message_type":"endpoint_gone",'
    '"endpoint":"e-1"}',
    '[]',
    '{"no":"type"}',
)


class _Clock:
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@given('log lines written to a pipe that nothing reads')
@given('log lines written to a pipe that is read')
@given('log lines written to a pipe that is read slowly')
def lines_into_pipe(context):
    context.reading, writing = os.pipe()
    context.clock = _Clock()
    context.lines = LogLines(writing, context.clock)
    context.received = bytearray()
    context.add_cleanup(os.close, writing)
    context.add_cleanup(os.close, context.reading)


@when('{count:d} lines are written within a second')
def write_over_second(context, count):
    is_slow = 'slowly' in context.scenario.name or count < 2000
    if is_slow:
        reader = threading.Thread(target=_read_slowly, args=(context,))
        reader.start()
    began_s = monotonic()
    for number in range(count):
        context.clock.now_s += 1 / count
        context.lines(_message(number))
    context.took_s = monotonic() - began_s
    if is_slow:
        while context.lines.has_pending:
            context.lines.flush()
            sleep(0.01)
        context.is_written = True
        reader.join()


@when('{count:d} lines are written at one moment')
def write_at_once(context, count):
    for number in range(count):
        context.lines(_message(number))
        _read(context)


@then('writing took less than {seconds:d} seconds')
def check_duration(context, seconds):
    assert context.took_s < seconds, context.took_s


@then('{count:d} of them are written')
def check_written_lines(context, count):
    context.lines.flush()
    _read(context)
    assert len(_lines(context)) == count


@then('dropped lines are counted and reported once the pipe is read')
def check_dropped_lines_reported(context):
    context.clock.now_s += 2
    for _ in range(1000):
        context.lines.flush()
        _read(context)
    read = _lines(context)
    reports = [line for line in read if line['message_type'] != 'sample']
    dropped = sum(line['lines'].get('sample', 0) for line in reports)
    kept = len(read) - len(reports)
    assert reports
    assert dropped + kept in {10_000, 20_000}, (dropped, kept)


@then('each line that was read is complete JSON')
def check_complete_lines(context):
    assert len(_lines(context)) == 1500


@given('logs of two instances with incomplete, unrelated and prefixed lines')
def two_logs(context):
    context.logs = [_FIRST_LOG, _SECOND_LOG]


@when('the timeline of request "{request}" is requested')
def build_timeline(context, request):
    texts = [text for log in context.logs for text in log]
    context.timeline = timeline_of(request, read_lines(texts))


@then(
    'it has the lines about it in order and the state changes of its endpoint'
)
def check_timeline_order(context):
    kinds = [line.message_type for line in context.timeline.lines]
    assert kinds == ['request_taken', 'request_sent', 'request_ended']
    related = [line.message_type for line in context.timeline.related]
    assert related == ['endpoint_suspected']


@then('it has no line about other requests or endpoints')
def check_no_unrelated_lines(context):
    text = context.timeline.as_text()
    assert 'r-2' not in text
    assert 'e-2' not in text
    assert text.count('\n') == 3, text


@then(
    'the tool exits with 6 for request "{request}" and prints how many lines '
    'it read'
)
def tool_finds_nothing(context, request):
    code, output = _run_tool(context, request)
    assert code == 6, output
    assert '11 lines' in output, output


@then('the tool exits with 0 for request "{request}" and prints JSON')
def tool_prints(context, request):
    code, output = _run_tool(context, request, '--json')
    assert code == 0, output
    assert len(json.loads(output)['course']) == 3


def _message(number):
    return {'message_type': 'sample', 'number': number, 'text': 'x' * 60}


def _read(context):
    os.set_blocking(context.reading, False)
    try:
        while data := os.read(context.reading, 65_536):
            context.received += data
    except BlockingIOError:
        return


def _read_slowly(context):
    context.is_written = False
    os.set_blocking(context.reading, False)
    while True:
        try:
            context.received += os.read(context.reading, 777)
        except BlockingIOError:
            if context.is_written:
                return
        sleep(0.0005)


def _lines(context):
    lines = bytes(context.received).splitlines()
    return [json.loads(line) for line in lines]


def _run_tool(context, request, *options):
    with TemporaryDirectory() as folder:
        paths = []
        for number, log in enumerate(context.logs):
            path = Path(folder) / f'{number}.log'
            path.write_text('\n'.join(log))
            paths.append(str(path))
        ran = subprocess.run(
            (
                sys.executable,
                '-m',
                'bergamotturn.command',
                'explain',
                request,
                *paths,
                *options,
            ),
            capture_output=True,
            text=True,
            check=False,
        )
    return ran.returncode, ran.stdout + ran.stderr

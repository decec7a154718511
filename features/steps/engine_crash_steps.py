"""Steps for the crashes of the stand-in for an endpoint."""

import asyncio
from contextlib import closing, suppress
from time import monotonic, sleep

from behave import given, then, when

from features.support.http_call import call
from features.support.standin_process import start_standins

_CRASHED_S = 60
_REQUEST_INTERVAL_S = 0.0005
_ROUND_REQUESTS = 400
#: Few of the requests meet a crash under way.
_MIN_REQUESTS = 6800
_POLL_S = 0.02
_PART = 'dead1'
_LAST_CHUNK = b'0\r\n\r\n'


@given(
    'an endpoint that crashes on one prompt part and restarts after '
    '{delay_s:g} seconds'
)
def crashing_endpoint(context, delay_s):
    context.endpoint = start_standins(context, endpoints=1)[-1]
    fault = {'fault': 'deadly', 'parts': [_PART], 'delay_s': delay_s}
    call(context.endpoint, 'POST', '/_faults', fault)


@when(
    'requests with that part come on new connections until it has crashed '
    'at least {count:d} times'
)
def requests_until_crashed(context, count):
    context.answers = []
    end_s = monotonic() + _CRASHED_S
    crashes = 0
    while crashes < count or len(context.answers) < _MIN_REQUESTS:
        context.answers += asyncio.run(_send_round(context.endpoint))
        crashes = _crash_count(context.endpoint, end_s)


def _crash_count(endpoint, end_s):
    """Return how often the endpoint has crashed, once it is up again."""
    while True:
        assert monotonic() < end_s, 'too few crashes in time'
        with suppress(OSError):
            return len(call(endpoint, 'GET', '/_facts').json()['crashes'])
        sleep(_POLL_S)


async def _send_round(endpoint):
    """Begin requests at short intervals, and return all that was answered."""
    requests = []
    for number in range(_ROUND_REQUESTS):
        requests.append(asyncio.create_task(_send(endpoint, number)))
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    return await asyncio.gather(*requests)


async def _send(endpoint, number):
    """Return the bytes that arrived before the end of the connection."""
    answer = bytearray()
    head = (
        'POST /draft/x HTTP/1.1',
        'Host: h.example',
        f'Request-Id: request-{number}',
        'Request-Deadline: 5000',
        'Token-Count: 1000,100',
        f'Prompt-Prefix: f1:40,{_PART}:95,own:500',
        'Content-Length: 0',
        'Connection: close',
    )
    with suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(
            endpoint.host, endpoint.port
        )
        with closing(writer):
            writer.write('\r\n'.join((*head, '', '')).encode())
            while received := await reader.read(65536):
                answer += received
    return bytes(answer)


@then('none of them got a complete answer')
def none_complete(context):
    assert any(context.answers), 'no answer began'
    complete = [each for each in context.answers if _LAST_CHUNK in each]
    assert not complete, (len(complete), len(context.answers), complete[0])

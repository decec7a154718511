"""Steps for an instance that is suspended for a while."""

import signal
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from time import sleep

from behave import then, when

_SUSPENDED = 'a0'
_EVENT_INTERVAL_S = 0.1
#: Time in which the streams go on before the standstill.
_UNDER_WAY_S = 0.3
_HEADERS = {'Token_Count': '1000,1530', 'Model_Id': 'm'}
_SILENCE_KINDS = {'attempt_failed', 'endpoint_suspected'}


@when(
    'an instance stands still for {stand_s:g} seconds while engines go on with '
    '{count:d} streams'
)
def stand_still(context, stand_s, count):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='paced', delay_s=_EVENT_INTERVAL_S)
    context.requests = [f'stream-{number}' for number in range(count)]
    with ThreadPoolExecutor(count) as callers:
        answers = [
            callers.submit(
                fleet.send_request, _SUSPENDED, '/draft/x', request, **_HEADERS
            )
            for request in context.requests
        ]
        fleet.wait_until(lambda: all(_runs(context)), 'the streams run')
        sleep(_UNDER_WAY_S)
        fleet.signal(_SUSPENDED, signal.SIGSTOP)
        sleep(stand_s)
        fleet.signal(_SUSPENDED, signal.SIGCONT)
    context.answers = [answer.result() for answer in answers]


@then('each stream is complete and ran once')
def ran_once(context):
    for answer in context.answers:
        assert answer.status == HTTPStatus.OK, answer
        assert answer.is_complete, answer
    runs = _runs(context)
    assert set(runs) == {1}, runs


@then('no instance takes an engine for silent')
def none_silent(context):
    for name in context.fleet.instances:
        _assert_not_logged(context, name, _SILENCE_KINDS)


@then('the instance has not taken the store for lost')
def store_not_lost(context):
    _assert_not_logged(context, _SUSPENDED, {'store_lost'})


def _assert_not_logged(context, name, kinds):
    lines = [
        line
        for line in context.fleet.log(name)
        if line['message_type'] in kinds
    ]
    assert not lines, (name, lines)


def _runs(context):
    fleet = context.fleet
    return [fleet.runs(fleet.engines, each) for each in context.requests]

"""Steps for the limit on the memory of requests."""

import re
from dataclasses import dataclass

from behave import given, then, when

from bergamotturn.request.held_input import HeldInput

_KB = 1000


@dataclass(eq=False)
class _Request:
    held_bytes: int = 0


def _add(context, size_kb, *, is_complete):
    if 'held' not in context:
        context.held, context.requests = HeldInput(1000 * _KB), []
    context.requests.append(_Request())
    context.refused = context.held.hold(
        context.requests[-1], size_kb * _KB, is_complete=is_complete
    )


@given('{state} requests of {sizes} kB')
def some_requests(context, state, sizes):
    for size in re.findall('[0-9]+', sizes):
        _add(context, int(size), is_complete=state == 'whole')
        assert not context.refused


@when('a request of {size_kb:d} kB comes whole')
def whole_request(context, size_kb):
    _add(context, size_kb, is_complete=True)


@when('the request {number:d} grows to {size_kb:d} kB')
def request_grows(context, number, size_kb):
    request = context.requests[number - 1]
    assert not context.held.hold(request, size_kb * _KB, is_complete=False)


@when('all requests end')
def requests_end(context):
    for request in context.requests:
        context.held.drop(request)


@then('the requests {numbers} are refused')
def requests_refused(context, numbers):
    expected = [
        context.requests[int(number) - 1]
        for number in re.findall('[0-9]+', numbers)
    ]
    assert context.refused == expected, context.refused


@then('only the newest request is refused')
def newest_refused(context):
    assert context.refused == context.requests[-1:], context.refused


@then('no request is refused')
def none_refused(context):
    assert not context.refused, context.refused

"""Steps for calls that are still open after their deadline."""

from threading import RLock
from time import monotonic, sleep
from types import SimpleNamespace

from behave import given, then, when
from circuits import Component, Event, handler
from prometheus_client import REGISTRY

from bergamotturn.connection.call_listener import CallListener
from bergamotturn.connection.exchange import Address
from bergamotturn.process.timers import Timers
from bergamotturn.request.calls import reply_full
from bergamotturn.version.settings import Limits
from features.support.component_loop import turn

_DEADLINE_S = 0.1
_OWN_ANSWER = b'from the time limit'


class _submit_call(Event):
    """Pass a call to the component under test."""


class _limit_due(Event):
    """The call's own time limit has passed."""


class _limit_handled(Event):
    """A later turn in which the answer is ready."""


class _RecordingListener(CallListener):
    """Records answers instead of sending them."""

    def __init__(self, timers):
        super().__init__(Address('127.0.0.1', 0), Limits(), timers, 'p')
        self.answers = []

    def submit(self):
        web_call = SimpleNamespace(has_begun=False)
        self._submit(
            web_call, 'c', monotonic() + _DEADLINE_S, _submit_call(), 'limited'
        )

    def _answer(self, call, status, content, headers=()):
        self.answers.append((status, content))

    def _answer_failure(self, call, failure):
        self.answers.append((failure.kind.value, b''))


class _LimitedComponent(Component):
    """Answers a call when its time limit has passed."""

    channel = 'limited'

    def __init__(self, timers):
        super().__init__()
        self._timers = timers

    @handler('_submit_call')
    def _on_submit_call(self):
        self._timers.call_after(_DEADLINE_S, _limit_due(), self.channel)

    @handler('_limit_due')
    def _on_limit_due(self):
        self.fire(_limit_handled())

    @handler('_limit_handled')
    def _on_limit_handled(self):
        self.fire(reply_full('c', 504, (), _OWN_ANSWER), 'caller')


def _breaches():
    return (
        REGISTRY.get_sample_value(
            'bergamotturn_invariant_breaches_total',
            {'invariant': 'answered_by_deadline'},
        )
        or 0
    )


def _submit(context, *, has_limit):
    context.root = Component(channel='root')
    timers = Timers().register(context.root)
    context.listener = _RecordingListener(timers).register(context.root)
    if has_limit:
        _LimitedComponent(timers).register(context.root)
    context.breaches = _breaches()
    context.lock = RLock()
    context.listener.submit()
    turn(context.root, context.lock, 0.05)


@given('a call whose own time limit answers it at its deadline')
def limited_call(context):
    _submit(context, has_limit=True)


@given('a call that no component answers')
def lost_call(context):
    _submit(context, has_limit=False)


@when('the process is paused until a second after the deadline')
def pause(context):
    sleep(_DEADLINE_S + 1)
    turn(context.root, context.lock, 0.3)


@when('its deadline has passed by one second')
def deadline_passed(context):
    turn(context.root, context.lock, _DEADLINE_S + 1)


@then('the call gets the answer of its own time limit')
def own_answer(context):
    assert context.listener.answers == [(504, _OWN_ANSWER)]


@then('the listener has answered it with {kind}')
def listener_answer(context, kind):
    assert context.listener.answers == [(kind, b'')]


@then('no invariant was breached')
def no_breach(context):
    assert _breaches() == context.breaches


@then('one invariant was breached')
def one_breach(context):
    assert _breaches() == context.breaches + 1

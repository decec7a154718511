"""Steps for the lifecycle of a chat request."""

from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bergamotturn.connection.peer_messages import (
    Cost,
    EndpointIncarnation,
    PermitGrant,
)
from bergamotturn.request.actions import (
    CancelWork,
    FinishAnswer,
    RefuseAnswer,
    ReturnPermit,
    SendText,
)
from bergamotturn.request.answer import EndChunk, TokenChunk
from bergamotturn.request.calls import ChatCall
from bergamotturn.request.lifecycle import RequestLifecycle, RequestPhase

_TOKENS = ('a', 'b', 'c')
_DEADLINE_S = 100
_REPORTS = (
    'choose',
    'grant',
    'grant_group',
    'late_grant',
    'refused',
    'checked',
    'mismatch',
    'setup_failed',
    'rejected',
    'chunk',
    'old_chunk',
    'end',
    'stream_ended',
    'stream_failed',
    'unsent',
    'unknown',
    'wake',
)


#: Reports that advance the request from each phase. Most reports are drawn
#: from here, since uniformly random ones rarely reach the end of an answer.
_LIKELY_REPORTS = {
    RequestPhase.placing: ('choose', 'grant', 'grant', 'grant_group'),
    RequestPhase.checking: ('checked',),
    RequestPhase.streaming: ('next', 'next', 'next', 'end', 'stream_failed'),
    RequestPhase.ended: ('grant', 'chunk', 'end'),
}


class _RequestHistory:
    """Feeds reports to one request and records its actions."""

    def __init__(self, *, resumable):
        call = ChatCall(
            call_id='i/b/1',
            workspace='w',
            model='m',
            prompt='p',
            prompt_tokens=1,
            max_tokens=3,
            stream=True,
            arrived_s=0,
            deadline_s=_DEADLINE_S,
        )
        self.request = RequestLifecycle(
            call, Cost(1, 3, 4), resumable_elsewhere=resumable
        )
        self.granted = []
        self.returned = []
        self.text = ''
        self.answers = []
        self.now_s = 0
        self.take(self.request.begin())

    def take(self, actions):
        for action in actions:
            match action:
                case ReturnPermit() | CancelWork():
                    self.returned.append(action.release.permit_id)
                case SendText():
                    assert not self.answers, 'text after the answer ended'
                    self.text += action.text
                case FinishAnswer() | RefuseAnswer():
                    self.answers.append(action)

    def grant(self, count=1):
        grants = []
        for _ in range(count):
            name = f'p{len(self.granted)}'
            self.granted.append(name)
            grants.append(
                PermitGrant(
                    ask_id=f'i/b/1/{name}',
                    permit_id=name,
                    endpoint='e',
                    epoch=1,
                    start_s=1,
                    incarnation=EndpointIncarnation('s', 0),
                )
            )
        return tuple(grants)

    def report(self, name, index):
        request = self.request
        self.now_s += 1
        now_s = self.now_s
        incarnation = EndpointIncarnation('s', 0)
        token = TokenChunk(index % 3, _TOKENS[index % 3])
        offset = min(len(self.text), len(_TOKENS) - 1)
        next_token = TokenChunk(offset, _TOKENS[offset])
        reports = {
            'choose': lambda: request.choose(now_s, ('e', 'f')),
            'grant': lambda: request.granted(self.grant()),
            'grant_group': lambda: request.granted(self.grant(3)),
            'late_grant': lambda: request.granted(self.grant()),
            'refused': lambda: request.refused(now_s),
            'checked': lambda: request.checked(
                now_s, incarnation, startable=True
            ),
            'mismatch': lambda: request.checked(
                now_s, EndpointIncarnation('t', 1), startable=False
            ),
            'setup_failed': lambda: request.setup_failed(now_s),
            'rejected': lambda: request.rejected(now_s),
            'chunk': lambda: request.received(now_s, request.starts, [token]),
            'next': lambda: request.received(
                now_s, request.starts, [next_token]
            ),
            'old_chunk': lambda: request.received(
                now_s, request.starts - 1, [token]
            ),
            'end': lambda: request.received(
                now_s, request.starts, [EndChunk(3, 'stop', 1, 3)]
            ),
            'stream_ended': lambda: request.stream_ended(now_s, request.starts),
            'stream_failed': lambda: request.stream_failed(now_s, sent=True),
            'unsent': lambda: request.stream_failed(now_s, sent=False),
            'unknown': lambda: request.stream_unknown(now_s),
            'wake': lambda: request.wake(now_s),
        }
        self.take(reports[name]() or ())
        if name in {'stream_ended', 'stream_failed'}:
            request.resumed()

    def check(self):
        assert len(self.answers) <= 1, 'two answers'
        full_text = ''.join(_TOKENS)
        assert full_text.startswith(self.text), self.text
        if any(isinstance(answer, FinishAnswer) for answer in self.answers):
            assert self.text == full_text, 'a truncated answer was completed'
        assert len(self.returned) == len(set(self.returned)), self.returned

    def close(self, *, caller_left):
        self.take(
            self.request.caller_left() if caller_left else self.request.expire()
        )
        self.check()
        assert self.request.phase is RequestPhase.ended
        assert caller_left or self.answers, 'no answer at the deadline'
        assert set(self.returned) == set(self.granted), 'a permit is lost'


@then('{count:d} random histories of a request keep its invariants')
def random_histories(context, count):
    """Run random reports against one request, then end it."""

    checked = settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    checked(given(_REPORT_LISTS, st.booleans(), st.booleans())(_run_history))()


_REPORT_LISTS = st.lists(
    st.tuples(
        st.sampled_from((True, True, True, False)),
        st.integers(0, len(_REPORTS) - 1),
        st.integers(0, 2),
    ),
    max_size=40,
)


def _run_history(reports, resumable, caller_left):
    history = _RequestHistory(resumable=resumable)
    for is_likely, number, index in reports:
        names = (
            _LIKELY_REPORTS[history.request.phase] if is_likely else _REPORTS
        )
        history.report(names[number % len(names)], index)
        history.check()
    history.close(caller_left=caller_left)

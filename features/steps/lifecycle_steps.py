"""Steps on the life of a chat request."""

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


#: Reports that lead on from each phase. Most are drawn from here, since
#: random ones alone hardly ever reach the end of an answer.
_LIKELY = {
    RequestPhase.placing: ('choose', 'grant', 'grant', 'grant_group'),
    RequestPhase.checking: ('checked',),
    RequestPhase.streaming: ('next', 'next', 'next', 'end', 'stream_failed'),
    RequestPhase.ended: ('grant', 'chunk', 'end'),
}


class _Course:
    """Feeds reports to one request and keeps account of its actions."""

    def __init__(self, *, elsewhere):
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
        self.life = RequestLifecycle(
            call, Cost(1, 3, 4), resumable_elsewhere=elsewhere
        )
        self.granted = []
        self.returned = []
        self.text = ''
        self.answers = []
        self.now_s = 0
        self.take(self.life.begin())

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

    def report(self, name, place):
        life = self.life
        self.now_s += 1
        now_s = self.now_s
        same = EndpointIncarnation('s', 0)
        token = TokenChunk(place % 3, _TOKENS[place % 3])
        offset = min(len(self.text), len(_TOKENS) - 1)
        following = TokenChunk(offset, _TOKENS[offset])
        reports = {
            'choose': lambda: life.choose(now_s, ('e', 'f')),
            'grant': lambda: life.granted(self.grant()),
            'grant_group': lambda: life.granted(self.grant(3)),
            'late_grant': lambda: life.granted(self.grant()),
            'refused': lambda: life.refused(now_s),
            'checked': lambda: life.checked(now_s, same, startable=True),
            'mismatch': lambda: life.checked(
                now_s, EndpointIncarnation('t', 1), startable=False
            ),
            'setup_failed': lambda: life.setup_failed(now_s),
            'rejected': lambda: life.rejected(now_s),
            'chunk': lambda: life.received(now_s, life.starts, [token]),
            'next': lambda: life.received(now_s, life.starts, [following]),
            'old_chunk': lambda: life.received(now_s, life.starts - 1, [token]),
            'end': lambda: life.received(
                now_s, life.starts, [EndChunk(3, 'stop', 1, 3)]
            ),
            'stream_ended': lambda: life.stream_ended(now_s, life.starts),
            'stream_failed': lambda: life.stream_failed(now_s, sent=True),
            'unsent': lambda: life.stream_failed(now_s, sent=False),
            'unknown': lambda: life.stream_unknown(now_s),
            'wake': lambda: life.wake(now_s),
        }
        self.take(reports[name]() or ())
        if name in {'stream_ended', 'stream_failed'}:
            life.resumed()

    def check(self):
        assert len(self.answers) <= 1, 'two answers'
        whole = ''.join(_TOKENS)
        assert whole.startswith(self.text), self.text
        if any(isinstance(answer, FinishAnswer) for answer in self.answers):
            assert self.text == whole, 'a short answer was called whole'
        assert len(self.returned) == len(set(self.returned)), self.returned

    def close(self, *, caller_left):
        self.take(
            self.life.caller_left() if caller_left else self.life.expire()
        )
        self.check()
        assert self.life.phase is RequestPhase.ended
        assert caller_left or self.answers, 'no answer at the deadline'
        assert set(self.returned) == set(self.granted), 'a permit is lost'


@then('{count:d} random courses of a request keep its invariants')
def random_courses(context, count):
    """Run random reports against one request, then end it."""

    checked = settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    checked(given(_REPORT_LISTS, st.booleans(), st.booleans())(_run_course))()


_REPORT_LISTS = st.lists(
    st.tuples(
        st.sampled_from((True, True, True, False)),
        st.integers(0, len(_REPORTS) - 1),
        st.integers(0, 2),
    ),
    max_size=40,
)


def _run_course(reports, elsewhere, caller_left):
    course = _Course(elsewhere=elsewhere)
    for is_likely, number, place in reports:
        names = _LIKELY[course.life.phase] if is_likely else _REPORTS
        course.report(names[number % len(names)], place)
        course.check()
    course.close(caller_left=caller_left)

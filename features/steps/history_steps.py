"""Steps that run histories and check their invariants.

Histories are random event sequences with injected faults.
"""

from collections import Counter
from random import Random

from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from bergamotturn.request.call_actions import Reply
from features.support.long_fuzz import HISTORIES


@when('{count:d} histories of "{kind}" are run with a fixed seed')
def run_histories(context, count, kind):
    """Run histories whose random choice sequences Hypothesis generates.

    Hypothesis shrinks the sequence of a failing history. It derives its seed
    from the checking function, so each run has the same histories.
    """
    context.wanted_runs = count
    context.runs = []
    fuzzed = given(
        kind=st.just(kind),
        runs=st.just(context.runs),
        tape=st.binary(min_size=16, max_size=200),
    )(_check_history)
    settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )(fuzzed)()


@then('no history broke a rule')
def all_histories_ran(context):
    # A broken rule raises in the ``when`` step.
    assert len(context.runs) >= context.wanted_runs, len(context.runs)


@when('{count:d} histories of "{kind}" are sampled')
def sample_histories(context, count, kind):
    source = Random(1)
    context.answers = Counter()
    for _ in range(count):
        history = HISTORIES[kind](source.randbytes(source.randrange(16, 200)))
        history.run()
        for submission in history.submissions:
            for _, action in submission.replies:
                if isinstance(action, Reply):
                    context.answers['whole'] += 1
                else:
                    context.answers[action.failure.kind.value] += 1


@then('each of these answers was given at least {minimum:d} times')
def answers_were_given(context, minimum):
    for row in context.table:
        assert context.answers[row['answer']] >= minimum, context.answers


def _check_history(kind, runs, tape):
    runs.append(len(tape))
    history = HISTORIES[kind](tape)
    history.run()
    faults = list(history.faults())
    assert not faults, f'tape {tape.hex()}: {faults}'

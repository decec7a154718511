"""Steps for the requests that a stopping instance still accepts."""

from behave import then

from bergamotturn.process.relay_tasks.answer_durations import AnswerDurations
from bergamotturn.request.relay.longest_answer import longest_answer_s
from features.support.relay_samples import ENGINE_SERVICE, relay_call, route

_OBJECTIVES_S = {1000: 0.3, 20_000: 3, 154_000: 3}
_LIMIT_S = 15


@then(
    'a request for {prompt:d} and {output:d} tokens is taken to last {least:g} '
    'to {most:g} seconds at first'
)
def possible_duration(context, prompt, output, least, most):
    call = relay_call(
        route(objective_s=_OBJECTIVES_S[prompt]),
        prompt_tokens=prompt,
        output_tokens=output,
        deadline_s=_LIMIT_S,
    )
    longest_s = longest_answer_s(call, ENGINE_SERVICE, 0)
    assert least <= longest_s <= most, longest_s
    assert longest_answer_s(call, ENGINE_SERVICE, _LIMIT_S - 1) == 1


@then(
    'after 100 answers of at most {seen:g} seconds it is taken to last '
    '{expected:g} seconds'
)
def expected_duration(context, seen, expected):
    durations = AnswerDurations()
    for _ in range(100):
        durations.record('r', 4 * seen)
    for number in range(100):
        durations.record('r', seen * number / 99)
    assert abs(durations.longest_s('r') - expected) < 1e-6


@then('after 19 short answers the longest is unknown, after 20 it is known')
def few_answers(context):
    durations = AnswerDurations()
    for _ in range(19):
        durations.record('r', 0.1)
    assert durations.longest_s('r') is None
    durations.record('r', 0.1)
    assert durations.longest_s('r') is not None
    context.durations = durations


@then('a route that is gone from the configuration is forgotten')
def forgotten(context):
    context.durations.keep_routes(frozenset(('other',)))
    assert context.durations.longest_s('r') is None

"""Steps for the placement of requests."""

from collections import Counter
from random import Random

from behave import given, then, when

from bergamotturn.errors import ErrorKind
from bergamotturn.process.endpoints.endpoint_load import (
    EndpointLoad,
    RequestLoad,
)
from bergamotturn.process.placement.plan import (
    PlacementCandidate,
    Plan,
    Refusal,
)
from bergamotturn.process.placement.policies import PackedPlacement, policy_of
from bergamotturn.process.relay_tasks.placement_router import short_prefill_s
from bergamotturn.version.serving import ServingConfiguration, ServingIndex
from features.support.relay_samples import (
    ENGINE_PROFILE,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    candidates,
    engine_request,
    entry,
    route,
)

_NOW_S = 100.0


@given('{count:d} idle engines')
def idle_engines(context, count):
    context.candidates = candidates(count)
    context.policy = PackedPlacement('a')
    context.random = Random(1)
    context.now_s = _NOW_S
    context.plans = []


@given(
    '{count:d} plain endpoints with {slots:d} slots, one of them in the own '
    'data centre'
)
def plain_endpoints(context, count, slots):
    context.candidates = [
        PlacementCandidate(
            entry(f'p-{number}', slots=slots, data_centre='abc'[number]),
            EndpointLoad(),
            number,
        )
        for number in range(count)
    ]
    context.policy = PackedPlacement('a')
    context.random = Random(1)
    context.now_s = _NOW_S
    context.plans = []


@given('the first engine prefills a prompt of {tokens:d} tokens')
def first_prefills_long(context, tokens):
    part = RequestLoad(
        runs=True,
        is_long=True,
        prefill_s=ENGINE_PROFILE.prefill_s(tokens),
        kv_tokens=tokens,
    )
    context.candidates[0].load.add(_NOW_S, 'before', part)


@given('each engine has {seconds:d} seconds of prefill pending')
def all_prefill(context, seconds):
    part = RequestLoad(
        runs=True, is_long=True, prefill_s=seconds, kv_tokens=1000
    )
    for candidate in context.candidates:
        candidate.load.add(_NOW_S, 'before', part)


@when('{count:d} shorts are placed one after the other')
@when('{count:d} short is placed')
def place_shorts(context, count):
    for _ in range(count):
        _place(context, engine_request(2000))


@when('{count:d} short with {seconds:d} seconds left is placed')
def place_short_with(context, count, seconds):
    _place(context, engine_request(2000, left_s=seconds))


@when('{count:d} longs of {tokens:d} tokens are placed one after the other')
def place_longs(context, count, tokens):
    for _ in range(count):
        _place(context, engine_request(tokens))


@when(
    'a long of {tokens:d} tokens with an objective of {seconds:g} seconds '
    'is placed'
)
def place_long(context, tokens, seconds):
    _place(context, engine_request(tokens, objective_s=seconds))


@when('{seconds:g} seconds later a long of {tokens:d} tokens is placed')
def place_later(context, seconds, tokens):
    context.now_s += seconds
    _place(context, engine_request(tokens))


@when(
    '{count:d} longs of {tokens:d} tokens are placed, each after the prefill '
    'of the one before'
)
def place_after_prefill(context, count, tokens):
    by_id = {
        candidate.entry.endpoint_id: candidate
        for candidate in context.candidates
    }
    for _ in range(count):
        _place(context, engine_request(tokens))
        for endpoint_id in _prefill_engine_ids(context.plans[-1]):
            by_id[endpoint_id].load.note_prefilled(
                context.now_s, len(context.plans) - 1
            )
        context.now_s += 1


@when('{count:d} plain calls are placed one after the other')
def place_plain_calls(context, count):
    for _ in range(count):
        _place(
            context,
            engine_request(
                0, service=PLAIN_SERVICE, objective_s=0.2, short_prefill_s=0
            ),
        )


@then(
    'they are on the first {engines:d} engines in the common order, '
    'at most {each:d} on each'
)
def on_first_engines(context, engines, each):
    names = [candidate.entry.endpoint_id for candidate in context.candidates]
    used = Counter(plan.entry.endpoint_id for plan in context.plans)
    assert set(used) == set(names[:engines]), used
    assert max(used.values()) <= each, used


@when('{count:d} shorts are sent within a second')
def sent_within_second(context, count):
    for _ in range(count):
        context.now_s += 1 / count
        _place(context, engine_request(2000))


@then(
    'the next {count:d} shorts, placed without updates on each other, go to '
    '{engines:d} engines or more'
)
def spread_over_engines(context, count, engines):
    used = {
        context.policy.choose(
            context.now_s,
            engine_request(2000),
            context.candidates,
            context.random,
        ).entry.endpoint_id
        for _ in range(count)
    }
    assert len(used) >= engines, used


@when(
    '{count:d} shorts are placed by instances that have just started and know '
    'of no other request'
)
def place_at_start(context, count):
    context.plans = [
        context.policy.choose(
            context.now_s,
            engine_request(2000, is_load_unknown=True),
            context.candidates,
            context.random,
        )
        for _ in range(count)
    ]


@then('no engine has more than {most:d} of them')
def spread_evenly(context, most):
    counts = Counter(plan.entry.endpoint_id for plan in context.plans)
    assert max(counts.values()) <= most, counts


@then('a short that is placed later by one of them is on the first engine')
def later_on_first(context):
    place_shorts(context, 1)
    assert context.plans[-1].entry is context.candidates[0].entry


@then('it is on the second engine')
def on_second(context):
    assert context.plans[-1].entry is context.candidates[1].entry


@then('each engine has {low:d} or {high:d} of them')
def even_load(context, low, high):
    loads = [candidate.load.shorts for candidate in context.candidates]
    assert set(loads) <= {low, high}, loads


@then('it is refused as {kind} with a time to retry after')
def refused_with_time(context, kind):
    refusal = context.plans[-1]
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind(kind)
    assert refusal.retry_after_s > 0


@then('it is refused as {kind}')
def refused(context, kind):
    refusal = context.plans[-1]
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind(kind), refusal


@then('{engines:d} engines prefill it within {seconds:g} seconds')
def engines_prefill(context, engines, seconds):
    plan = context.plans[-1]
    assert 1 + len(plan.prefill_helpers) == engines, plan
    assert plan.part_prefill_s <= seconds, plan.part_prefill_s


@then('they are the last engines in the common order')
def last_engines(context):
    used = _prefill_engine_ids(context.plans[-1])
    last = context.candidates[-len(used) :]
    assert used == {candidate.entry.endpoint_id for candidate in last}


@then('no engine prefills two of them')
def no_shared_engine(context):
    counts = Counter(
        name for plan in context.plans for name in _prefill_engine_ids(plan)
    )
    assert set(counts.values()) == {1}, counts


@then(
    'the second shares no engine with the first, and each of its parts takes '
    '{seconds:g} seconds at most'
)
def prefills_elsewhere(context, seconds):
    first, second = context.plans
    assert not _prefill_engine_ids(first) & _prefill_engine_ids(second)
    assert second.part_prefill_s <= seconds, second.part_prefill_s


@then('they run on {count:d} engine')
def run_on(context, count):
    assert len({plan.entry.endpoint_id for plan in context.plans}) == count


@then(
    'the prefill helpers of a long of {tokens:d} tokens are engines that run '
    'nothing'
)
def helpers_run_nothing(context, tokens):
    running = {plan.entry.endpoint_id for plan in context.plans}
    _place(context, engine_request(tokens))
    helpers = {
        helper.entry.endpoint_id for helper in context.plans[-1].prefill_helpers
    }
    assert helpers
    assert not helpers & running


@then('no engine with shorts prefills a long')
def shorts_and_longs_apart(context):
    for candidate in context.candidates:
        assert not (candidate.load.shorts and candidate.load.longs)
        if candidate.load.shorts:
            assert candidate.load.pending_prefill_s(_NOW_S) < 0.2, candidate


@then('the memory reserved for it is at least {tokens:d} tokens')
def memory_reserved(context, tokens):
    plan = context.plans[-1]
    reserved = plan.own_kv_tokens + sum(
        helper.kv_tokens for helper in plan.prefill_helpers
    )
    assert reserved >= tokens, reserved


@then('{count:d} engines are listed, the one that runs it among them')
def engines_listed(context, count):
    plan = context.plans[-1]
    assert plan.own_kv_tokens
    assert 1 + len(plan.prefill_helpers) == count, len(plan.prefill_helpers)


@then('no engine has more reserved than it has memory')
def memory_fits(context):
    plan = context.plans[-1]
    assert plan.own_kv_tokens <= ENGINE_PROFILE.kv_tokens
    assert all(
        helper.kv_tokens <= ENGINE_PROFILE.kv_tokens
        for helper in plan.prefill_helpers
    )


@then('no two run on the same engine')
def run_apart(context):
    names = [plan.entry.endpoint_id for plan in context.plans]
    assert len(set(names)) == len(names), names


@then(
    'the one in the own data centre has {minimum:d} or more and none has more '
    'than {maximum:d}'
)
def own_data_centre_first(context, minimum, maximum):
    loads = [candidate.load.requests for candidate in context.candidates]
    assert loads[0] >= minimum, loads
    assert max(loads) <= maximum, loads


@then(
    'random, round_robin and fewest_outstanding each use all of them for '
    '{count:d} requests'
)
def baselines(context, count):
    for name in ('random', 'round_robin', 'fewest_outstanding'):
        policy = policy_of(name, 'a')
        used = set()
        for _ in range(count):
            plan = policy.choose(
                _NOW_S, engine_request(2000), context.candidates, context.random
            )
            used.add(plan.entry.endpoint_id)
            _add_plan_to_load(context, plan, engine_request(2000))
        assert len(used) == len(context.candidates), name


@then(
    'with a promised token gap of {gap_s:g} seconds a prompt of {short:d} '
    'tokens is short and one of {long:d} long'
)
def threshold(context, gap_s, short, long):
    limit_s = _limit_s(gap_s)
    assert (
        ENGINE_PROFILE.prefill_s(short)
        <= limit_s
        < ENGINE_PROFILE.prefill_s(long)
    ), limit_s


@then(
    'with a promised token gap of {gap_s:g} second a prompt of {short:d} '
    'tokens is short'
)
def longer_gap(context, gap_s, short):
    assert ENGINE_PROFILE.prefill_s(short) <= _limit_s(gap_s)


def _limit_s(gap_s):
    configuration = ServingConfiguration(
        version_number=1,
        routes=(route(gap_objective_s=gap_s, objective_s=3),),
        services=(ENGINE_SERVICE,),
    )
    return short_prefill_s(ServingIndex(configuration), ENGINE_SERVICE)


def _place(context, request):
    plan = context.policy.choose(
        context.now_s, request, context.candidates, context.random
    )
    context.plans.append(plan)
    if isinstance(plan, Plan):
        _add_plan_to_load(context, plan, request)


def _add_plan_to_load(context, plan, request):
    """Add the planned work to the load of its endpoints."""
    by_id = {
        candidate.entry.endpoint_id: candidate
        for candidate in context.candidates
    }
    reserved = sum(helper.kv_tokens for helper in plan.prefill_helpers)
    kv_shares = {plan.entry.endpoint_id: request.kv_tokens - reserved}
    kv_shares.update(
        {
            helper.entry.endpoint_id: helper.kv_tokens
            for helper in plan.prefill_helpers
        }
    )
    for endpoint_id, kv_tokens in kv_shares.items():
        part = RequestLoad(
            runs=endpoint_id == plan.entry.endpoint_id,
            is_long=request.service.engine is not None and request.is_long,
            prefill_s=plan.part_prefill_s,
            kv_tokens=kv_tokens,
            due_s=context.now_s + request.objective_s,
            max_token_gap_s=0.25 if request.prompt_tokens < 20_000 else 1,
        )
        by_id[endpoint_id].load.add(context.now_s, len(context.plans) - 1, part)


def _prefill_engine_ids(plan):
    return {
        plan.entry.endpoint_id,
        *(helper.entry.endpoint_id for helper in plan.prefill_helpers),
    }

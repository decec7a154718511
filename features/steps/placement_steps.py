"""Steps on where requests go."""

from collections import Counter
from random import Random

from behave import given, then, when

from bergamotturn.errors import ErrorKind
from bergamotturn.process.endpoints.endpoint_load import EndpointLoad, WorkPart
from bergamotturn.process.placement.plan import Candidate, Plan, Refusal
from bergamotturn.process.placement.policies import PackedPlacement, policy_of
from bergamotturn.process.relay.desk import short_read_s
from bergamotturn.version.serving import ServingConfiguration, ServingIndex
from features.support.relay_samples import (
    ENGINES,
    PLAIN,
    PROFILE,
    candidates,
    engine_need,
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


@given('{count:d} plain endpoints with {slots:d} slots of which one is near')
def plain_endpoints(context, count, slots):
    context.candidates = [
        Candidate(
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


@given('a prompt of {tokens:d} tokens is being read on the first engine')
def reads_long(context, tokens):
    part = WorkPart(
        runs=True, is_long=True, read_s=PROFILE.read_s(tokens), kv_tokens=tokens
    )
    context.candidates[0].load.add(_NOW_S, 'before', part)


@given('each engine reads for {seconds:d} seconds')
def all_read(context, seconds):
    part = WorkPart(runs=True, is_long=True, read_s=seconds, kv_tokens=1000)
    for candidate in context.candidates:
        candidate.load.add(_NOW_S, 'before', part)


@when('{count:d} shorts are placed one after the other')
@when('{count:d} short is placed')
def place_shorts(context, count):
    for _ in range(count):
        _place(context, engine_need(2000))


@when('{count:d} short with {seconds:d} seconds left is placed')
def place_short_with(context, count, seconds):
    _place(context, engine_need(2000, left_s=seconds))


@when('{count:d} longs of {tokens:d} tokens are placed one after the other')
def place_longs(context, count, tokens):
    for _ in range(count):
        _place(context, engine_need(tokens))


@when(
    'a long of {tokens:d} tokens with an objective of {seconds:g} seconds '
    'is placed'
)
def place_long(context, tokens, seconds):
    _place(context, engine_need(tokens, objective_s=seconds))


@when('{seconds:g} seconds later a long of {tokens:d} tokens is placed')
def place_later(context, seconds, tokens):
    context.now_s += seconds
    _place(context, engine_need(tokens))


@when(
    '{count:d} longs of {tokens:d} tokens are placed, each after the one '
    'before is read'
)
def place_in_turn(context, count, tokens):
    by_name = {known.entry.endpoint_id: known for known in context.candidates}
    for _ in range(count):
        _place(context, engine_need(tokens))
        for name in _readers(context.plans[-1]):
            by_name[name].load.note_read(context.now_s, len(context.plans) - 1)
        context.now_s += 1


@when('{count:d} plain calls are placed one after the other')
def place_plain_calls(context, count):
    for _ in range(count):
        _place(
            context,
            engine_need(0, service=PLAIN, objective_s=0.2, short_read_s=0),
        )


@then(
    'they are on the first {engines:d} engines in the common order, '
    'at most {each:d} on each'
)
def on_first_engines(context, engines, each):
    names = [known.entry.endpoint_id for known in context.candidates]
    used = Counter(plan.entry.endpoint_id for plan in context.plans)
    assert set(used) == set(names[:engines]), used
    assert max(used.values()) <= each, used


@when('{count:d} shorts are sent within a second')
def sent_within_second(context, count):
    for _ in range(count):
        context.now_s += 1 / count
        _place(context, engine_need(2000))


@then(
    'the next {count:d} shorts that know nothing of each other go to '
    '{engines:d} engines or more'
)
def spread(context, count, engines):
    used = {
        context.policy.choose(
            context.now_s,
            engine_need(2000),
            context.candidates,
            context.random,
        ).entry.endpoint_id
        for _ in range(count)
    }
    assert len(used) >= engines, used


@then('it is on the second engine')
def on_second(context):
    assert context.plans[-1].entry is context.candidates[1].entry


@then('each engine has {low:d} or {high:d} of them')
def even_load(context, low, high):
    loads = [known.load.shorts for known in context.candidates]
    assert set(loads) <= {low, high}, loads


@then('it is refused as {kind} with a time to come back')
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


@then('{engines:d} engines read it within {seconds:g} seconds')
def engines_read(context, engines, seconds):
    plan = context.plans[-1]
    assert 1 + len(plan.co_readers) == engines, plan
    assert plan.part_s <= seconds, plan.part_s


@then('they are the last engines in the common order')
def last_engines(context):
    used = _readers(context.plans[-1])
    last = context.candidates[-len(used) :]
    assert used == {known.entry.endpoint_id for known in last}


@then('no engine reads for two of them')
def no_shared_reader(context):
    counts = Counter(name for plan in context.plans for name in _readers(plan))
    assert set(counts.values()) == {1}, counts


@then(
    'the second reads nowhere where the first does, and within {seconds:g} '
    'seconds'
)
def reads_elsewhere(context, seconds):
    first, second = context.plans
    assert not _readers(first) & _readers(second)
    assert second.part_s <= seconds, second.part_s


@then('they run on {count:d} engine')
def run_on(context, count):
    assert len({plan.entry.endpoint_id for plan in context.plans}) == count


@then('a long of {tokens:d} tokens reads its parts where nothing runs')
def reads_where_nothing_runs(context, tokens):
    running = {plan.entry.endpoint_id for plan in context.plans}
    _place(context, engine_need(tokens))
    readers = {
        reader.entry.endpoint_id for reader in context.plans[-1].co_readers
    }
    assert readers
    assert not readers & running


@then('no engine with shorts reads a long')
def apart(context):
    for known in context.candidates:
        assert not (known.load.shorts and known.load.longs)
        if known.load.shorts:
            assert known.load.unread_s(_NOW_S) < 0.2, known


@then('the memory held for it is at least {tokens:d} tokens')
def memory_held(context, tokens):
    plan = context.plans[-1]
    held = plan.own_kv_tokens + sum(
        reader.kv_tokens for reader in plan.co_readers
    )
    assert held >= tokens, held


@then('{count:d} engines are listed, the one that runs it among them')
def listed(context, count):
    plan = context.plans[-1]
    assert plan.own_kv_tokens
    assert 1 + len(plan.co_readers) == count, len(plan.co_readers)


@then('no engine holds more than it has')
def memory_fits(context):
    plan = context.plans[-1]
    assert plan.own_kv_tokens <= PROFILE.kv_tokens
    assert all(
        reader.kv_tokens <= PROFILE.kv_tokens for reader in plan.co_readers
    )


@then('no two run on the same engine')
def run_apart(context):
    names = [plan.entry.endpoint_id for plan in context.plans]
    assert len(set(names)) == len(names), names


@then('the near one has {most:d} or more and none has more than {limit:d}')
def near_first(context, most, limit):
    loads = [known.load.requests for known in context.candidates]
    assert loads[0] >= most, loads
    assert max(loads) <= limit, loads


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
                _NOW_S, engine_need(2000), context.candidates, context.random
            )
            used.add(plan.entry.endpoint_id)
            _note(context, plan, engine_need(2000))
        assert len(used) == len(context.candidates), name


@then(
    'with a promised pause of {pause:g} seconds a prompt of {short:d} tokens '
    'is short and one of {long:d} long'
)
def threshold(context, pause, short, long):
    limit_s = _limit_s(pause)
    assert PROFILE.read_s(short) <= limit_s < PROFILE.read_s(long), limit_s


@then(
    'with a promised pause of {pause:g} second a prompt of {short:d} tokens '
    'is short'
)
def longer_pause(context, pause, short):
    assert PROFILE.read_s(short) <= _limit_s(pause)


def _limit_s(pause_s):
    configuration = ServingConfiguration(
        version_number=1,
        routes=(route(gap_objective_s=pause_s, objective_s=3),),
        services=(ENGINES,),
    )
    return short_read_s(ServingIndex(configuration), ENGINES)


def _place(context, need):
    plan = context.policy.choose(
        context.now_s, need, context.candidates, context.random
    )
    context.plans.append(plan)
    if isinstance(plan, Plan):
        _note(context, plan, need)


def _note(context, plan, need):
    """Take the work into account, as all instances do."""
    by_name = {known.entry.endpoint_id: known for known in context.candidates}
    held = sum(reader.kv_tokens for reader in plan.co_readers)
    shares = {plan.entry.endpoint_id: need.kv_tokens - held}
    shares.update(
        {
            reader.entry.endpoint_id: reader.kv_tokens
            for reader in plan.co_readers
        }
    )
    for name, kv_tokens in shares.items():
        part = WorkPart(
            runs=name == plan.entry.endpoint_id,
            is_long=need.service.engine is not None and need.is_long,
            read_s=plan.part_s,
            kv_tokens=kv_tokens,
            due_s=context.now_s + need.objective_s,
            pause_s=0.25 if need.prompt_tokens < 20_000 else 1,
        )
        by_name[name].load.add(context.now_s, len(context.plans) - 1, part)


def _readers(plan):
    return {
        plan.entry.endpoint_id,
        *(reader.entry.endpoint_id for reader in plan.co_readers),
    }

"""Steps for the choice of endpoint and the cost of requests."""

from collections import Counter
from dataclasses import replace
from random import Random

from behave import given, then
from hypothesis import strategies as st

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import PermitAsk, WorkClass
from bergamotturn.errors import ErrorKind
from bergamotturn.process.ledger import (
    CoordinatorSettings,
    Usage,
    has_warm_room,
)
from bergamotturn.process.prefix_hints import PrefixHints, prefix_digest
from bergamotturn.process.routing import (
    FewestOutstanding,
    LeastWait,
    RandomChoice,
    RoundRobin,
    RoutingCandidate,
    RoutingRequest,
    excluded_endpoints,
    long_endpoints,
    refusal_kind,
)
from bergamotturn.request.cost import (
    classify,
    cost_of,
    group_size,
    share_of,
)
from bergamotturn.version.configuration import EndpointSettings, Policy
from features.simulated_fleet import centre_of, for_any, orders_out

_POLICY = Policy()
_POLICIES = (
    RandomChoice(),
    RoundRobin(),
    FewestOutstanding(),
    LeastWait(_POLICY),
)
_NOW_S = 1000
_SHORT_TOKENS = 1000
_LONG_TOKENS = 100_000


@then('no policy chooses an excluded or too small endpoint for any request')
@for_any(
    100,
    st.lists(st.sampled_from((10_000, 500_000)), min_size=1, max_size=12),
    st.sets(st.integers(0, 11)),
    st.sets(st.integers(0, 11)),
    st.sets(st.integers(0, 2)),
    st.sampled_from((_SHORT_TOKENS, 20_000, _LONG_TOKENS, 900_000)),
)
def check_excluded_not_chosen(
    context, memories, out, leaving, centres_out, tokens
):
    endpoints = list(map(_endpoint, range(len(memories)), memories))
    orders = orders_out(
        *(f'endpoint/engine-{number}' for number in out),
        *(f'data_centre/{centre_of(centre)}' for centre in centres_out),
    )
    excluded = excluded_endpoints(
        endpoints, orders, [f'engine-{number}' for number in leaving]
    )
    candidates = [
        RoutingCandidate(endpoint, is_excluded=endpoint.name in excluded)
        for endpoint in endpoints
    ]
    request = _request(tokens, candidates)
    forbidden = {
        endpoint.name
        for number, endpoint in enumerate(endpoints)
        if number in out | leaving
        or number % 3 in centres_out
        or (request.work_class != 'group' and endpoint.kv_tokens < tokens)
    }
    for policy in _POLICIES:
        names = policy.choose(_NOW_S, request, candidates, Random(1))
        assert not set(names) & forbidden, policy


@given('{size:d} endpoints')
def some_endpoints(context, size):
    context.candidates = _candidates(size)


@given('4 endpoints of which one failed a second ago')
def one_failed(context):
    first, *others = _candidates(4)
    context.candidates = _replace_all([first], failed_s=_NOW_S - 1) + others


@then('no policy chooses it')
def check_failed_not_chosen(context):
    for policy in _POLICIES:
        for seed in range(50):
            names = _choose(policy, _SHORT_TOKENS, context.candidates, seed)
            assert names and 'engine-0' not in names, policy


@then('when all have failed every policy chooses some')
def all_failed(context):
    failed = _replace_all(context.candidates, failed_s=_NOW_S - 1)
    for policy in _POLICIES:
        assert _choose(policy, _SHORT_TOKENS, failed), policy


@then('longs use the same 12 of them on all instances')
def longs_share(context):
    used = set()
    for seed in range(300):
        shuffled = Random(seed).sample(context.candidates, 20)
        used.add(_choose(LeastWait(_POLICY), _LONG_TOKENS, shuffled, seed)[0])
    context.for_longs = used
    assert len(used) == 12, used


@then('taking one of those out of service changes only its own place')
def longs_keep_endpoints(context):
    removed = min(context.for_longs)
    candidates = [
        replace(candidate, is_excluded=candidate.name == removed)
        for candidate in context.candidates
    ]
    kept = long_endpoints('letters', candidates, _POLICY)
    # 0.6 of the remaining 19 is 11, so that no other endpoint takes its place.
    assert kept == context.for_longs - {removed}, kept


@then('shorts use them when all others have a wait of 1 second, not of 0.1')
def shorts_use_long_endpoints(context):
    for wait_s, wanted in ((0.1, False), (1, True)):
        busy = [
            candidate
            if candidate.name in context.for_longs
            else _with_wait(candidate, wait_s)
            for candidate in context.candidates
        ]
        for name in _first_choices(busy, 100):
            assert (name in context.for_longs) == wanted, name


@given('20 endpoints of which one for shorts has the prefix cached')
def cached_prefix(context):
    context.candidates = _candidates(20)
    for_longs = long_endpoints('letters', context.candidates, _POLICY)
    names = [candidate.name for candidate in context.candidates]
    name = min(set(names) - for_longs)
    context.cached_index = names.index(name)
    hints = PrefixHints()
    system_text = 'You draft letters. ' * 100
    hints.record(name, prefix_digest(f'{system_text}first'), cached=True)
    tokens = hints.cached_tokens(name, prefix_digest(f'{system_text}second'))
    assert tokens and not hints.cached_tokens(name, prefix_digest('other'))
    context.candidates[context.cached_index] = replace(
        context.candidates[context.cached_index], cached_tokens=tokens
    )


@then('a short goes there first, but not with a wait of 1 second there')
def goes_to_cached(context):
    cached = context.candidates[context.cached_index]
    assert set(_first_choices(context.candidates, 100)) == {cached.name}
    context.candidates[context.cached_index] = _with_wait(cached, 1)
    assert cached.name not in _first_choices(context.candidates, 100)


@then('800 shorts use each endpoint for shorts between 60 and 140 times')
def shorts_spread(context):
    firsts = _first_choices(context.candidates, 800)
    assert len(firsts) == 8, firsts
    assert all(60 <= times <= 140 for times in firsts.values()), firsts


@given('4 endpoints with a reported wait of 20 seconds')
def long_waits(context):
    context.candidates = list(map(_with_wait, _candidates(4), (20,) * 4))


@then('a request with 10 seconds left is refused, but not 11 seconds later')
def refused_early(context):
    policy = LeastWait(_POLICY)
    assert not _choose(policy, _SHORT_TOKENS, context.candidates)
    kind = refusal_kind(_NOW_S, _request(_SHORT_TOKENS), context.candidates)
    assert kind == ErrorKind.deadline_unreachable
    old = _replace_all(context.candidates, reported_s=_NOW_S - 11)
    assert _choose(policy, _SHORT_TOKENS, old)


@then('with all endpoints excluded it is refused as endpoint_unavailable')
def refused_unavailable(context):
    excluded = _replace_all(context.candidates, is_excluded=True)
    kind = refusal_kind(_NOW_S, _request(_SHORT_TOKENS), excluded)
    assert kind == ErrorKind.endpoint_unavailable


@then(
    'a request with {prompt:d} prompt tokens and {output:d} output tokens at '
    'engines of 100000 tokens is {work_class} and needs {engines:d} engines'
)
def request_classified(context, prompt, output, work_class, engines):
    cost = cost_of(prompt, output)
    endpoints = [_endpoint(0, 100_000), _endpoint(1, 50_000)]
    assert classify(cost, _POLICY, endpoints) == work_class
    assert _engines(cost, _POLICY, endpoints) == engines


def _engines(cost, policy, endpoints):
    if classify(cost, policy, endpoints) != WorkClass.group:
        return 1
    return group_size(cost, policy.long_kv_tokens(endpoints[0].kv_tokens))


@then('an idle engine has room for each part of any request')
@for_any(
    2000,
    st.integers(1000, 1_000_000),
    st.integers(1, 1_500_000),
    st.integers(1, 100_000),
    st.floats(0, 0.9),
)
def parts_fit(context, kv_tokens, prompt, output, reserve):
    policy = Policy(short_reserve=reserve)
    endpoint = _endpoint(0, kv_tokens)
    cost = cost_of(prompt, output)
    work_class = classify(cost, policy, [endpoint])
    engines = _engines(cost, policy, [endpoint])
    ask = PermitAsk(
        ask_id='i/b/1',
        endpoint=endpoint.name,
        workspace='w',
        work_class=work_class,
        cost=share_of(cost, engines),
        wait_s=1,
    )
    settings = CoordinatorSettings(endpoint, policy, {})
    assert has_warm_room(settings, ask, Usage()), (work_class, engines)


def _endpoint(number, kv_tokens=500_000):
    return EndpointSettings(
        name=f'engine-{number}',
        address=Address('10.0.0.1', 9000 + number),
        data_centre=centre_of(number),
        serves='letters',
        kv_tokens=kv_tokens,
    )


def _candidates(size):
    return [RoutingCandidate(_endpoint(number)) for number in range(size)]


def _replace_all(candidates, **changes):
    return [replace(candidate, **changes) for candidate in candidates]


def _with_wait(candidate, wait_s):
    return replace(candidate, expected_wait_s=wait_s, reported_s=_NOW_S)


def _request(tokens, candidates=()):
    cost = cost_of(tokens, 100)
    endpoints = [candidate.endpoint for candidate in candidates]
    work_class = classify(cost, _POLICY, endpoints or [_endpoint(0)])
    return RoutingRequest('letters', work_class, cost, deadline_s=_NOW_S + 10)


def _choose(policy, tokens, candidates, seed=1):
    request = _request(tokens, candidates)
    return policy.choose(_NOW_S, request, candidates, Random(seed))


def _first_choices(candidates, requests):
    policy = LeastWait(_POLICY)
    return Counter(
        _choose(policy, _SHORT_TOKENS, candidates, seed)[0]
        for seed in range(requests)
    )

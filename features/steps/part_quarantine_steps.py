"""Steps for the quarantine of prompt parts."""

from collections import Counter
from math import inf
from random import Random
from time import perf_counter

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

from bergamotturn.process.endpoints.part_quarantine import (
    PartEvidence,
    PartQuarantine,
    QuarantinedPart,
    untold_successes,
)
from features.support.part_simulation import PartSimulation

_NOW_S = 50.0
_MAX_CRASHES = 7
#: Distinct parts and all parts of the reports that are kept.
_MAX_SUSPECTS = 32_768
_MAX_REFERENCES = 262_144
_MAX_REPORTS = 2048
_MAX_QUARANTINED = 64
_MAX_SUCCESSES = 16_384
_MAX_UNCONFIRMED = 512
_MAX_ENDPOINTS = 1024
_PARTS = ('a', 'b', 'c')
_REPORTS = ('strong', 'weak', 'break', 'unreachable', 'success', 'clear')


@given('an instance without evidence')
def instance_without_evidence(context):
    context.quarantine = PartQuarantine()
    context.now_s = _NOW_S
    context.decided = ()
    context.told = ()
    context.other = None


@given(
    'another instance that had a success with "{part}" {seconds:g} seconds ago'
)
def other_had_success(context, part, seconds):
    context.other = PartQuarantine()
    context.other.record_success(context.now_s - seconds, (part,))


@given('the other instance had a success with "{part}" {seconds:g} seconds ago')
def other_had_another(context, part, seconds):
    context.other.record_success(context.now_s - seconds, (part,))


@when('the other instance tells its successes with "{parts}"')
def other_tells(context, parts):
    told = _untold_by_other(context, parts)
    assert told
    context.other.successes.tell(told)
    context.quarantine.record_served(context.now_s, told)


@then('the other instance has nothing more to tell of "{parts}"')
def nothing_more_told(context, parts):
    assert not _untold_by_other(context, parts)
    assert not untold_successes(
        context.quarantine, context.now_s, parts.split()
    )


def _untold_by_other(context, parts):
    return untold_successes(context.other, context.now_s, parts.split())


@when(
    'a quarantine of "{part}" beside "{beside}" that ends in {seconds:g} '
    'seconds arrives'
)
def quarantine_beside_arrives(context, part, beside, seconds):
    until_s = context.now_s + seconds
    context.sent = QuarantinedPart(part, until_s, 0, tuple(beside.split()))
    sent_again(context)


@when('a request with "{parts}" crashes "{endpoint}"')
def request_crashes(context, parts, endpoint):
    requests_crash(context, parts, endpoint)


@when('requests with "{parts}" crash "{endpoints}"')
def requests_crash(context, parts, endpoints):
    for endpoint in endpoints.split():
        _crash(context, tuple(parts.split()), endpoint)


@when('a request with "{parts}" crashes "{endpoint}" 6 times, 3 seconds apart')
def crashes_often(context, parts, endpoint):
    for _ in range(6):
        _crash(context, tuple(parts.split()), endpoint)
        _pass(context, 3)


@when(
    'requests with "{parts}" {kind} "{endpoints}" each {interval_s:g} seconds, '
    '{count:d} times'
)
def break_repeatedly(context, parts, kind, endpoints, interval_s, count):
    breaks = requests_crash if kind == 'crash' else requests_break_off
    for _ in range(count):
        _pass(context, interval_s)
        assert not context.decided, context.decided
        for endpoint in endpoints.split():
            context.crash_count = getattr(context, 'crash_count', 0) + 1
            own_part = f'own-{context.crash_count}'
            breaks(context, parts.replace('own-count', own_part), endpoint)


@when('requests with {count:d} other parts and "{part}" crash "{endpoints}"')
def long_prompts_crash(context, count, part, endpoints):
    for endpoint in endpoints.split():
        _crash(context, (*_other_parts(count), part), endpoint)


@when('a request with {count:d} other parts and "{part}" succeeds')
def long_prompt_succeeds(context, count, part):
    context.quarantine.record_success(
        context.now_s, (*_other_parts(count), part)
    )


@then(
    'requests with {count:d} other parts and "{part}" are refused because of '
    '"{blocking}"'
)
def long_prompts_refused(context, count, part, blocking):
    parts = (*_other_parts(count), part)
    refused_because(context, ' '.join(parts), blocking)


@then('requests with {count:d} other parts and "{part}" are not refused')
def long_prompts_not_refused(context, count, part):
    not_refused(context, ' '.join((*_other_parts(count), part)))


def _other_parts(count):
    return tuple(f'other-{number}' for number in range(count))


@when(
    '{requests:d} requests with {count:d} parts of their own crash an endpoint '
    'each'
)
def odd_prompts_crash(context, requests, count):
    for number in range(requests):
        parts = tuple(f'{number}-{part}' for part in range(count))
        _crash(context, parts, f'odd-{number}')


@when('{requests:d} requests with {count:d} parts of their own succeed')
def odd_prompts_succeed(context, requests, count):
    for number in range(requests):
        parts = tuple(f'{number}-{part}' for part in range(count))
        context.quarantine.record_success(context.now_s, parts)


@then('the tables are bounded')
def sizes_bounded(context):
    _check_sizes(context.quarantine)


@when('requests with a part of {length:d} characters crash "{endpoints}"')
def long_part(context, length, endpoints):
    requests_crash(context, 'x' * length, endpoints)


@when('a request with "{parts}" breaks off before its answer at "{endpoint}"')
def request_breaks_off(context, parts, endpoint):
    requests_break_off(context, parts, endpoint)


@when('requests with "{parts}" break off before their answers at "{endpoints}"')
def requests_break_off(context, parts, endpoints):
    lose_connections(context, parts, endpoints)
    others_break_off(context, endpoints)


@when('requests with "{parts}" lose their connections to "{endpoints}"')
def lose_connections(context, parts, endpoints):
    for endpoint in endpoints.split():
        evidence = PartEvidence(endpoint, tuple(parts.split()), has_head=False)
        context.quarantine.record_break(context.now_s, endpoint)
        context.quarantine.record_evidence(context.now_s, evidence)


@when('other attempts at "{endpoints}" break off')
def others_break_off(context, endpoints):
    for endpoint in endpoints.split():
        context.quarantine.record_break(context.now_s, endpoint)


@when('"{endpoints}" are found unreachable')
def found_unreachable(context, endpoints):
    for endpoint in endpoints.split():
        context.quarantine.record_unreachable(context.now_s, endpoint)


@when('a request with "{parts}" succeeds')
def request_succeeds(context, parts):
    context.told = context.quarantine.record_success(
        context.now_s, tuple(parts.split())
    )


@when('another instance reports that "{parts}" is sound')
def reported_sound(context, parts):
    context.quarantine.clear(context.now_s, tuple(parts.split()))


@when('the other instance objects to "{part}"')
def other_objects(context, part):
    objections = context.other.objections(context.now_s, (part,))
    assert objections == (part,), objections
    context.quarantine.clear(context.now_s, objections)


@then('the other instance has no objection to "{part}"')
def no_objection(context, part):
    assert context.other.has_evidence(part)
    assert not context.other.objections(context.now_s, (part,))


@when('{seconds:g} seconds go by')
def seconds_go_by(context, seconds):
    _pass(context, seconds)
    assert not context.decided, context.decided


@when('a quarantine of "{part}" that ends in {seconds:g} seconds arrives')
def quarantine_arrives(context, part, seconds):
    context.sent = QuarantinedPart(part, context.now_s + seconds)
    sent_again(context)


@when(
    'a quarantine of "{part}" after {relapses:d} relapse that ends in '
    '{seconds:g} seconds arrives'
)
def renewed_arrives(context, part, relapses, seconds):
    until_s = context.now_s + seconds
    context.sent = QuarantinedPart(part, until_s, relapses)
    sent_again(context)


@when('a quarantine of "{part}" that ended {seconds:g} seconds ago arrives')
def ended_arrives(context, part, seconds):
    quarantine_arrives(context, part, -seconds)


@when('the same quarantine arrives again')
def sent_again(context):
    context.adopted = context.quarantine.adopt(context.now_s, (context.sent,))


@when(
    'a quarantine of "{part}" arrives {count:d} times, each {delay_s:g} '
    'seconds later than what is known'
)
def repeated(context, part, count, delay_s):
    quarantine_arrives(context, part, 60)
    for _ in range(count):
        (known,) = context.quarantine.quarantined(context.now_s)
        later = QuarantinedPart(part, known.until_s + delay_s)
        assert not context.quarantine.adopt(context.now_s, (later,))


@then('its end has not changed')
def end_unchanged(context):
    (known,) = context.quarantine.quarantined(context.now_s)
    assert known.until_s == context.sent.until_s, known


@then('it is new')
def is_new(context):
    assert context.adopted == (context.sent,), context.adopted


@then('it is not new')
def is_not_new(context):
    assert not context.adopted, context.adopted


@then('the ended quarantine is not adopted again')
def not_adopted_again(context):
    ended = context.decided
    assert ended
    _pass(context, 5)
    assert not context.quarantine.adopt(context.now_s, ended)
    assert not context.quarantine.quarantined(context.now_s)


@then('nothing is quarantined {seconds:g} second later')
@then('nothing is quarantined {seconds:g} seconds later')
def nothing_quarantined(context, seconds):
    _pass(context, seconds)
    assert not context.decided, context.decided


@then('"{parts}" is quarantined {seconds:g} seconds later')
@then('"{parts}" are quarantined {seconds:g} seconds later')
def is_quarantined(context, parts, seconds):
    _pass(context, seconds)
    found = sorted(each.part for each in context.decided)
    assert found == parts.split(), found
    in_force = context.quarantine.quarantined(context.now_s)
    assert set(context.decided) <= set(in_force), in_force


@then('its quarantines after one more crash each last "{durations_s}" seconds')
def durations(context, durations_s):
    lasted_s = []
    expected_s = [float(each) for each in durations_s.split()]
    for _ in expected_s:
        (known,) = context.quarantine.quarantined(context.now_s)
        _pass(context, known.until_s - context.now_s)
        _crash(context, ('first', known.part), 'e-again')
        decided_s = context.quarantine.next_decision_s
        (decided,) = context.quarantine.decide(decided_s)
        lasted_s.append(decided.until_s - decided_s)
        context.now_s = decided_s
    assert _rounded(lasted_s) == expected_s, lasted_s


@then('requests with "{parts}" are refused because of "{part}"')
def refused_because(context, parts, part):
    blocking = context.quarantine.blocking(context.now_s, parts.split())
    assert blocking.part == part, blocking


@then('requests with "{parts}" are not refused')
def not_refused(context, parts):
    blocking = context.quarantine.blocking(context.now_s, parts.split())
    assert blocking is None, blocking


@then('requests with "{parts}" are refused {seconds:g} seconds later')
def refused_later(context, parts, seconds):
    _pass(context, seconds)
    assert context.quarantine.blocking(context.now_s, parts.split())


@then('requests with "{parts}" are not refused {seconds:g} seconds later')
def not_refused_later(context, parts, seconds):
    _pass(context, seconds)
    not_refused(context, parts)


@then('nothing is held against "{parts}"')
def nothing_held(context, parts):
    held = [each for each in parts.split() if _has_evidence(context, each)]
    assert not held, held


@then('others are told that "{parts}" is sound')
@then('others are told that "{parts}" are sound')
def told_sound(context, parts):
    assert context.told == tuple(parts.split()), context.told


@then('others are told of nothing')
def told_nothing(context):
    assert not context.told, context.told


@then(
    'after {count:d} random reports the tables are bounded and a deadly part '
    'is still found'
)
def tables_bounded(context, count):
    random = Random(0)
    quarantine = PartQuarantine()
    decided = []
    for number in range(count):
        now_s = number * 0.001
        _report_at_random(random, quarantine, now_s)
        if number % 100 == 0:
            _crash_once(quarantine, now_s, ('deadly',), f'deadly-{number}')
        if now_s >= quarantine.next_decision_s:
            decided += quarantine.decide(now_s)
    assert 'deadly' in {each.part for each in decided}, len(decided)
    _check_sizes(quarantine)


@then(
    '{count:d} requests with 4 parts take less than {limit_us:g} microseconds '
    'each to check and to record'
)
def checks_are_cheap(context, count, limit_us):
    quarantine = PartQuarantine()
    requests = [
        tuple(f'{depth}-{number % 50**depth}' for depth in range(4))
        for number in range(count)
    ]
    began_s = perf_counter()
    for parts in requests:
        assert quarantine.blocking(_NOW_S, parts) is None
        assert not quarantine.record_success(_NOW_S, parts)
    each_us = (perf_counter() - began_s) / count * 1e6
    assert each_us < limit_us, each_us


@then('in random histories the rules of the quarantine hold')
def random_histories(context):
    _check_history()


@then(
    '{count:d} fleets with {deadly:d} deadly parts, from seed {seed:d} on, '
    'quarantine these before their 8th crash and no sound part'
)
def simulated_fleets(context, count, deadly, seed):
    for each in range(seed, seed + count):
        fleet = PartSimulation(each, deadly).run()
        assert not fleet.wrong, (each, deadly, fleet.wrong)
        most = max(fleet.crashes.values(), default=0)
        assert most <= _MAX_CRASHES, (each, deadly, fleet.crashes)
        assert len(fleet.quarantined) == deadly, (each, fleet.quarantined)


@then(
    '{count:d} fleets with a deadly part and common last parts, pauses of '
    '{pause_s:d} seconds, from seed {seed:d} on, refuse no sound request and '
    'have at most 3 crashes later than 3 s after the 5th'
)
def simulated_batches(context, count, pause_s, seed):
    for each in range(seed, seed + count):
        fleet = PartSimulation(each, 1, has_tail=True, pause_s=pause_s).run()
        assert fleet.sound['sent'], each
        assert not fleet.sound['refused'], (each, fleet.sound, fleet.wrong)
        for fifth_s in fleet.crash_times_s[4:5]:
            late = [at_s for at_s in fleet.crash_times_s if at_s > fifth_s + 3]
            assert len(late) <= 3, (each, fifth_s, late)


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given_examples(
    st.lists(
        st.tuples(
            st.sampled_from(_REPORTS),
            st.integers(0, 5),
            st.lists(st.sampled_from(_PARTS), min_size=1, max_size=3),
            st.sampled_from((0, 0.01, 0.1, 0.5, 70)),
        ),
        max_size=60,
    )
)
def _check_history(history):
    checked = _CheckedQuarantine()
    for report, number, parts, delay_s in history:
        checked.now_s += delay_s
        checked.apply(report, f'e-{number}', tuple(parts))
        checked.decide()
    checked.check_end()


class _CheckedQuarantine:
    """Checks the rules after each report of a history."""

    def __init__(self):
        self.now_s = _NOW_S
        self._quarantine = PartQuarantine()
        self._endpoints = {part: Counter() for part in _PARTS}
        self._on_probation = set()

    def apply(self, report, endpoint, parts):
        _apply(self._quarantine, self.now_s, report, endpoint, parts)
        for part in parts:
            if report in {'success', 'clear'}:
                self._endpoints[part].clear()
                self._on_probation.discard(part)
                assert not self._quarantine.has_evidence(part)
                assert not self._quarantine.blocking(self.now_s, (part,))
            elif report in {'strong', 'weak'}:
                self._endpoints[part][endpoint] += 1

    def decide(self):
        for decided in self._quarantine.decide(self.now_s):
            if decided.part not in self._on_probation:
                assert self._has_enough_evidence(decided.part), decided
            self._on_probation.update(decided.parts)
            blocking = self._quarantine.blocking(self.now_s, decided.parts)
            assert blocking == decided
            assert not self._quarantine.adopt(self.now_s, (decided,))
        assert self._quarantine.next_decision_s > self.now_s

    def _has_enough_evidence(self, part):
        """Return whether three endpoints crashed, or two of them often."""
        endpoints = self._endpoints[part]
        if len(endpoints) == 2:
            return endpoints.total() >= 5
        return len(endpoints) > 2

    def check_end(self):
        """Check that no decision stays due for ever."""
        for _ in range(20):
            if self._quarantine.next_decision_s < inf:
                self.now_s = self._quarantine.next_decision_s
                self.decide()
        assert self._quarantine.next_decision_s == inf
        assert not self._quarantine.quarantined(self.now_s + 3601)


def _apply(quarantine, now_s, report, endpoint, parts):
    evidence = PartEvidence(endpoint, parts, has_head=report == 'strong')
    match report:
        case 'strong' | 'weak':
            quarantine.record_break(now_s, endpoint)
            quarantine.record_evidence(now_s, evidence)
        case 'break':
            quarantine.record_break(now_s, endpoint)
        case 'unreachable':
            quarantine.record_unreachable(now_s, endpoint)
        case 'success':
            quarantine.record_success(now_s, parts)
        case 'clear':
            quarantine.clear(now_s, parts)


def _report_at_random(random, quarantine, now_s):
    # Parts repeat seldom enough that only some of them are quarantined.
    parts = tuple(
        f'part-{random.randrange(20_000)}' for _ in range(random.randrange(6))
    )
    endpoint = f'e-{random.randrange(5000)}'
    has_head = random.random() < 0.5
    quarantine.record_break(now_s, endpoint)
    quarantine.record_evidence(now_s, PartEvidence(endpoint, parts, has_head))
    if random.random() < 0.1:
        quarantine.record_unreachable(now_s, endpoint)
    if random.random() < 0.5:
        sound = f'sound-{random.randrange(50_000)}'
        quarantine.record_success(now_s, (sound,))
        quarantine.clear(now_s, (f'peer-{sound}',))
    if random.random() < 0.01:
        name = f'adopted-{random.randrange(10_000)}'
        quarantine.adopt(now_s, (QuarantinedPart(name, now_s + 60),))


def _check_sizes(quarantine):
    suspects = quarantine._suspects
    assert len(suspects) <= _MAX_SUSPECTS
    assert len(suspects._reports) <= _MAX_REPORTS
    references = [len(each.reports) for each in suspects._suspects.values()]
    assert sum(references) <= suspects._references <= _MAX_REFERENCES
    assert len(suspects._crashes) <= _MAX_REPORTS
    assert len(quarantine._due_s) <= _MAX_SUSPECTS
    assert len(quarantine._table) <= _MAX_QUARANTINED
    assert len(quarantine._unconfirmed) <= _MAX_UNCONFIRMED
    known = quarantine.successes
    for successes in (known.own, known.peers, known.told):
        assert len(successes) <= _MAX_SUCCESSES
    confirmation = quarantine._confirmation
    assert len(confirmation._breaks_s) <= _MAX_ENDPOINTS
    assert len(confirmation._unreachable_s) <= _MAX_ENDPOINTS


def _has_evidence(context, part):
    return context.quarantine.has_evidence(part)


def _crash(context, parts, endpoint):
    for quarantine in (context.quarantine, context.other):
        if quarantine is not None:
            _crash_once(quarantine, context.now_s, parts, endpoint)


def _crash_once(quarantine, now_s, parts, endpoint):
    quarantine.record_break(now_s, endpoint)
    quarantine.record_evidence(
        now_s, PartEvidence(endpoint, parts, has_head=True)
    )


def _pass(context, seconds):
    """Let time pass and make the decisions that are due meanwhile."""
    end_s = context.now_s + seconds
    decided = []
    while context.quarantine.next_decision_s <= end_s:
        context.now_s = max(context.now_s, context.quarantine.next_decision_s)
        decided += context.quarantine.decide(context.now_s)
    context.now_s = end_s
    context.decided = tuple(decided)


def _rounded(times_s):
    return [round(time_s, 3) for time_s in times_s]

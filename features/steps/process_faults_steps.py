"""Steps on complete systems under failure."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import repeat
from time import monotonic, sleep

import msgspec
from behave import given, step, then, when

from features.support.engine_settings import EngineSettings
from features.support.load_plan import LoadPlan
from features.support.load_report import (
    Outcome,
    ServiceRecord,
    was_under_way,
)
from features.support.plan import DeploymentPlan, FleetPlan
from features.support.trial import (
    Trial,
    long_answer_prompt,
    not_answered_in_full,
    wait_until,
)

_TOKENS_PER_S = 10
#: Slow decoding keeps streams open; prefill runs at the default speed.
_WARM = FleetPlan(
    deployments=(
        DeploymentPlan(
            model='letter',
            engines=9,
            engine=EngineSettings(
                name='', decode_step_s=0.1, chunk_tokens=2048
            ),
        ),
    ),
    services=('postings',),
)
_COLD_ENGINE = EngineSettings(name='', start_cold=True, cold_s=600)
_COLD = FleetPlan(
    deployments=(
        DeploymentPlan(
            model='fenced', engines=2, engine=_COLD_ENGINE, fencing_every=1
        ),
        DeploymentPlan(
            model='open', engines=2, engine=_COLD_ENGINE, fencing_every=0
        ),
    ),
)
_LOAD = LoadPlan(
    seed=41,
    duration_s=0,
    requests_per_s=15,
    model='letter',
    workspaces=_WARM.workspaces,
    long_every=0,
    # Without common prefixes all engines that short requests prefer get work;
    # long ones prefer letter-3, letter-1, letter-2 and letter-5.
    prefix_tokens=0,
    max_tokens=16,
    deadline_s=30,
)
#: 350 tokens take 35 s, so streams last until they are cancelled.
_OPEN_STREAM_TOKENS = 350
_LONG_PROMPT_TOKENS = 100_500
#: More than the memory of one engine.
_GROUP_PROMPT_TOKENS = 410_000
_LEASE_TIMEOUT_S = 25
#: Less than the 1 s that an operation waits for the table's answer.
_MAX_REFUSAL_S = 0.9
#: Deadline of calls to the plain service.
_CALL_DEADLINE_S = 3
#: Time in which each instance has several failed operations on the table.
_OUTAGE_DETECTION_S = 4
#: Cold engines, one with and one without fencing, whose coordinators fail.
_AFFECTED_ENGINES = ('fenced-0', 'open-0')


def _use_trial(context, plan):
    """Reuse the feature's cluster if the last scenario left it intact."""
    feature = context.feature
    trial = getattr(feature, 'trial', None)
    if trial is None or not trial.is_intact or trial.cluster.plan != plan:
        if trial is not None:
            trial.close()
        trial = Trial(plan)
        context.add_cleanup(trial.close, layer='feature')
        feature.trial = trial
        trial.wait_coordinated()
    trial.is_intact = False
    context.trial = trial
    context.killed = set()
    context.paused = set()


def _start_load(context, **changes):
    if not hasattr(context, 'trial'):
        _use_trial(context, _WARM)
    plan = msgspec.structs.replace(_LOAD, **changes)
    context.running = context.trial.start_load(plan)


def _result(context):
    if not hasattr(context, 'result'):
        context.result = context.running.finish()
    return context.result


def _kill(context, name):
    trial = context.trial
    trial.note_breaches()
    address = trial.cluster.instances[name].caller_address
    context.killed.add(str(address))
    trial.cluster.kill(name)


@given('nine instances serve {rate:d} requests a second for {load:d} s')
def serve(context, rate, load):
    """Start a load of short requests."""
    _start_load(context, requests_per_s=rate, duration_s=load)


@given(
    'nine instances serve {rate:d} requests a second for {load:d} s,'
    ' with answers of up to {answer:d} s'
)
def serve_answers(context, rate, load, answer):
    """Start a load whose answers last longer than the leaving phase."""
    _start_load(
        context,
        requests_per_s=rate,
        duration_s=load,
        max_tokens=answer * _TOKENS_PER_S,
    )


@given(
    'nine instances serve {rate:d} requests a second for {load:d} s,'
    ' and {calls:d} calls a second, each retried with its key'
)
def serve_calls(context, rate, load, calls):
    """Start a load of short requests and calls to the plain service."""
    _start_load(
        context,
        requests_per_s=rate,
        duration_s=load,
        workspaces=_WARM.workspaces[:1],
        service='postings',
        calls_per_s=calls,
        call_deadline_s=_CALL_DEADLINE_S,
        repeat_every=1,
    )


@given('the instance "{name}" has ended')
def instance_ended(context, name):
    """Kill an instance while nothing is in flight."""
    _use_trial(context, _WARM)
    _kill(context, name)
    context.killed.clear()


@step('the instance "{name}" is killed')
def kill_instance(context, name):
    """Kill an instance in the middle of the load."""
    context.running.sleep_until(6)
    context.killed_s = monotonic()
    _kill(context, name)


@given(
    '{shorts:d} short, {longs:d} long and {groups:d} group stream'
    ' are open at the instance "{name}"'
)
def open_streams(context, shorts, longs, groups, name):
    """Open streams and wait until the engines report them."""
    trial = context.trial
    boot_id = trial.status(name)['boot_id']
    context.owner = f'{name}/{boot_id}'
    wanted = {
        400: shorts,
        _LONG_PROMPT_TOKENS: longs,
        _GROUP_PROMPT_TOKENS: groups,
    }
    prompts = [
        prompt
        for tokens, count in wanted.items()
        for prompt in repeat(
            long_answer_prompt(tokens, _OPEN_STREAM_TOKENS), count
        )
    ]
    context.cancels = _count(trial, 'cancels')
    pool = ThreadPoolExecutor(len(prompts))
    # A reference to each answer keeps its connection open.
    context.open_answers = [
        pool.submit(trial.open_chat, name, 'letter', prompt, 400)
        for prompt in prompts
    ]
    pool.shutdown(wait=False)
    wait_until(lambda: len(_owned_streams(context)) > len(prompts), 15)


def _owned_streams(context):
    reports = map(context.trial.load_report, context.trial.engines)
    return [
        stream['stream_id']
        for report in reports
        for stream in report['streams']
        if stream['owner'] == context.owner
    ]


def _count(trial, fact):
    return sum(trial.facts(engine)[fact] for engine in trial.engines)


@then('the engines hold none of its streams 10 s later')
def streams_gone(context):
    """Check the engines' load reports for the time 10 s after the kill."""
    trial = context.trial
    until_s = context.killed_s + 10
    for engine in trial.engines:
        report = trial.load_report(engine)
        while report['as_of_s'] < until_s:
            owners = {stream['owner'] for stream in report['streams']}
            if context.owner not in owners:
                break
            sleep(0.1)
            report = trial.load_report(engine)
        owners = {stream['owner'] for stream in report['streams']}
        assert context.owner not in owners, (engine, report)
    assert not _owned_streams(context), _owned_streams(context)


@then('at least {wanted:d} of its streams were cancelled')
def streams_cancelled(context, wanted):
    """Check that streams were cancelled and did not just complete."""
    cancels = _count(context.trial, 'cancels') - context.cancels
    assert cancels >= wanted, cancels


@then('every request is answered in full')
def all_answered(context):
    """Check that no request failed."""
    faults = not_answered_in_full(_result(context).chats)
    assert not faults, faults


@then(
    'every request is answered in full,'
    ' except those lost with a killed instance'
)
def all_answered_but_lost(context):
    """Check that requests failed only at killed instances."""
    faults = not_answered_in_full(
        chat
        for chat in _result(context).chats
        if chat.outcome is not Outcome.lost
        or chat.address not in context.killed
    )
    assert not faults, faults


@then('no lookup was refused')
def no_lookup_refused(context):
    """Check the lookups of the load generator."""
    refusals = _result(context).refusals
    assert not refusals, refusals


@then('no guarantee was violated')
def no_guarantee_violated(context):
    """Check answers, executions and invariants; restart ended instances."""
    trial = context.trial
    faults = trial.faults(_result(context), context.paused)
    assert not faults, faults
    for name in set(trial.cluster.instances) - set(trial.running()):
        trial.restart(name)
    trial.is_intact = True


@when('the table is down for {outage:d} s by "{fault}"')
def table_down(context, outage, fault):
    """Start an outage and wait until all instances are affected."""
    context.running.sleep_until(1)
    table = context.trial.cluster.platform.table
    context.trial.cluster.fault(table, fault=fault, for_s=outage)
    context.outage_end_s = monotonic() + outage
    sleep(_OUTAGE_DETECTION_S)


@when('the data centre "{data_centre}" is taken out of service')
def take_out_of_service(context, data_centre):
    """Send the order to an instance of another data centre."""
    context.out_of_service_s = monotonic()
    context.trial.cluster.order('b0', f'data_centre/{data_centre}', 'out')


@when('the instance "{name}" starts')
def instance_starts(context, name):
    """Start the instance without waiting for it."""
    context.trial.cluster.start_instance(name)


@then('a call that must run at most once is refused immediately')
def call_refused(context):
    """Call the plain service at an instance."""
    cluster = context.trial.cluster
    asked_s = monotonic()
    answer = context.trial.call_service('b1', 'postings', 'outage')
    took_s = monotonic() - asked_s
    error = answer.json()['error']
    assert error['code'] == 'store_unavailable', error
    # Without the table it is unknown whether an earlier call with the key ran.
    assert not error['not_run'], error
    assert took_s < _MAX_REFUSAL_S, took_s
    assert 'outage' not in cluster.executions('postings')


@then('a new configuration is refused immediately')
def publication_refused(context):
    """Publish during the outage."""
    trial = context.trial
    asked_s = monotonic()
    version = trial.status('b0')['configuration_version']
    answer = trial.cluster.publish(
        'b0', _changed_configuration(context, 9), version
    )
    took_s = monotonic() - asked_s
    assert answer.json()['error']['code'] == 'store_unavailable', answer
    assert took_s < _MAX_REFUSAL_S, took_s


@then('the instance "{name}" serves while the table is down')
def serves_in_outage(context, name):
    """Wait for the instance, at most until the outage ends."""
    context.trial.cluster.wait_ready(name, context.outage_end_s - monotonic())


@then(
    'the data centre "{data_centre}" got no new work'
    ' from 5 s after its order until the outage ended'
)
def no_work_in_outage(context, data_centre):
    """Wait until the outage ends, then return the data centre to service."""
    sleep(max(0, context.outage_end_s - monotonic()))
    _no_work(
        context, context.trial.engines_in(data_centre), context.out_of_service_s
    )
    context.trial.cluster.order('b0', f'data_centre/{data_centre}', 'in')


def _no_work(context, engines, out_of_service_s):
    """Check that no request arrived from 5 s after the order until now."""
    late = context.trial.arrivals_between(
        engines, out_of_service_s + 5, monotonic()
    )
    assert monotonic() > out_of_service_s + 6, 'nothing was observed'
    assert not late, f'{late} requests reached {engines}'


@when('the data centre "{data_centre}" is out of service for {out:d} s')
def out_of_service_for(context, data_centre, out):
    """Take the data centre out of service and wait."""
    context.running.sleep_until(1)
    take_out_of_service(context, data_centre)
    sleep(out)


@then(
    'the data centre "{data_centre}" got no new work'
    ' from 5 s after its order until it was in service'
)
def no_work_until_back(context, data_centre):
    """Check arrivals, then return the data centre to service."""
    _no_work(
        context, context.trial.engines_in(data_centre), context.out_of_service_s
    )
    context.trial.cluster.order('c1', f'data_centre/{data_centre}', 'in')


@when(
    'the endpoint "{out}" is out of service and "{leaving}" listed as leaving'
    ' for {away:d} s'
)
def endpoints_leave(context, out, leaving, away):
    """Take one out of service by order, the other by the endpoint list."""
    cluster = context.trial.cluster
    context.away = (out, leaving)
    context.out_of_service_s = monotonic()
    cluster.list_as(leaving, leaving=True)
    cluster.order('a0', f'endpoint/{out}', 'out')
    sleep(away)


@then(
    'neither endpoint got new work from 5 s after that until it was in service'
)
def no_work_at_endpoints(context):
    """Check arrivals, then return both endpoints to service."""
    _no_work(context, context.away, context.out_of_service_s)
    cluster = context.trial.cluster
    cluster.list_as(context.away[1], leaving=False)
    cluster.order('a0', f'endpoint/{context.away[0]}', 'in')
    context.returned_s = monotonic()


@then('both endpoints and the data centre "{data_centre}" got work again')
def work_again(context, data_centre):
    """Check for arrivals after the return, until the load ends."""
    _result(context)
    trial = context.trial
    away_groups = [[engine] for engine in context.away]
    for engines in (*away_groups, trial.engines_in(data_centre)):
        assert trial.arrivals_between(engines, 0, context.out_of_service_s), (
            engines
        )
        assert trial.arrivals_between(
            engines, context.returned_s, monotonic()
        ), engines


def _changed_configuration(context, number):
    configuration = context.trial.cluster.configuration
    policy = msgspec.structs.replace(
        configuration.policy, result_keep_s=604_800 + number
    )
    return msgspec.structs.replace(configuration, policy=policy)


@when('a configuration is published at the instance "{name}"')
def publish(context, name):
    """Publish a version that differs only in ``result_keep_s``."""
    trial = context.trial
    context.versions = {}
    version = trial.status(name)['configuration_version']
    answer = trial.cluster.publish(
        name, _changed_configuration(context, 1), version
    )
    assert answer.status == 200, answer
    context.version = answer.json()['version']
    assert context.version == version + 1, answer


@then('it is in force at all nine instances within 3 s')
def in_force(context):
    """Poll all instances until they agree."""
    wanted = {context.version}
    wait_until(lambda: set(_versions(context).values()) == wanted, 3)
    assert len(_versions(context)) == 9


def _versions(context):
    """Return each instance's version and record it for later checks."""
    trial = context.trial
    seen = {}
    for name in trial.running():
        with suppress(OSError):
            seen[name] = trial.status(name)['configuration_version']
            context.versions.setdefault(name, []).append(seen[name])
    return seen


@when('two configurations are published at once at "{one}" and "{other}"')
def publish_twice(context, one, other):
    """Publish two versions that expect the same current version."""
    with ThreadPoolExecutor(2) as pool:
        context.answers = list(
            pool.map(
                lambda name, number: context.trial.cluster.publish(
                    name,
                    _changed_configuration(context, number),
                    context.version,
                ),
                (one, other),
                (2, 3),
            )
        )


@then('one is accepted and the answer to the other names the accepted version')
def one_accepted(context):
    """Compare both answers."""
    won, lost = sorted(context.answers, key=lambda answer: answer.status)
    context.version += 1
    assert (won.status, lost.status) == (200, 409), context.answers
    assert won.json()['version'] == context.version, won
    error = lost.json()['error']
    assert error['code'] == 'configuration_conflict', error
    text = f'Version {context.version} by cluster was accepted at '
    assert text in error['message'], error


@when(
    'the instance "{name}" is killed and started'
    ' while every other table answer is late'
)
def restart_late(context, name):
    """Start it during a publication, with table answers out of order."""
    cluster = context.trial.cluster
    cluster.fault(
        cluster.platform.table, fault='slow', delay_s=0.8, every=2, for_s=4
    )
    _kill(context, name)
    with ThreadPoolExecutor(1) as operators:
        # Reads that began before the publication are answered after it, with
        # the old row.
        publishing = operators.submit(
            cluster.publish,
            'c1',
            _changed_configuration(context, 4),
            context.version,
        )
        while not publishing.done():
            _versions(context)
    answer = publishing.result()
    assert answer.status == 200, answer
    cluster.start_instance(name)
    until_s = monotonic() + 5
    while monotonic() < until_s:
        _versions(context)
        sleep(0.05)
    context.restarted = name


@then('no instance ever went back to an older version')
def versions_never_decrease(context):
    """Check the order of the versions; 0 means none after a start."""
    for name, seen in context.versions.items():
        in_force = [version for version in seen if version]
        assert in_force == sorted(in_force), (name, seen)
    assert 0 < context.versions[context.restarted][-1], context.versions


@when('the instances "{names}" are restarted in turn')
def restart_in_turn(context, names):
    """Stop by SIGTERM; instances joined by + stop at the same time."""
    cluster = context.trial.cluster
    context.running.sleep_until(1)
    for together in names.split(', '):
        group = together.split('+')
        for name in group:
            cluster.terminate(name)
        for name in group:
            assert cluster.wait_end(name, 60) == 0, cluster.log_tail(name)
        for name in group:
            cluster.start_instance(name)
        for name in group:
            cluster.wait_ready(name)


@when('all open connections of the engines "{names}" freeze three times')
def freeze_connections(context, names):
    """Freeze the open connections repeatedly under load."""
    context.resumes = _resumes(context.trial)
    for at_s in (3, 6, 9):
        context.running.sleep_until(at_s)
        for name in names.split(', '):
            address = context.trial.cluster.engine_address(name)
            context.trial.cluster.fault(address, fault='freeze')


def _resumes(trial):
    pattern = r'bergamotturn_stream_events_total\{event="resume"\}'
    return sum(trial.metric(name, pattern) for name in trial.running())


@then('streams were resumed')
def streams_resumed(context):
    """Check the instances' counters of resumed streams."""
    assert _resumes(context.trial) > context.resumes


@when('the engine process of "{engine}" is killed for {away:d} s')
def kill_engine_process(context, engine, away):
    """Kill it in the middle of the load; its engines restart cold."""
    cluster = context.trial.cluster
    process = next(
        name
        for name in cluster.engine_processes
        if engine in cluster.engines_of(name)
    )
    context.away = cluster.engines_of(process)
    context.running.sleep_until(4)
    context.killed_s = monotonic()
    cluster.kill(process)
    sleep(away)
    cluster.restart_engines(process)


@then(
    'every request is answered in full without retry,'
    ' except answers cut off at killed engines'
)
def all_answered_but_cut(context):
    """Check that only answers under way failed, and that none was refused.

    A caller retries a refused request at another instance, which would hide
    the refusal; so no request may have a second attempt.
    """
    killed_s = context.killed_s - context.running.started_s
    chats = _result(context).chats
    cut = [
        chat
        for chat in chats
        if chat.outcome is Outcome.cut
        and chat.error == 'endpoint_lost'
        and was_under_way(chat, killed_s)
    ]
    faults = not_answered_in_full(chat for chat in chats if chat not in cut)
    assert not faults, faults
    assert cut, 'no answer was open at the killed engines'
    retried = [chat.number for chat in chats if chat.attempts > 1]
    assert not retried, retried


@then('its engines "{one}" and "{other}" got work again')
def engines_work_again(context, one, other):
    """Check for arrivals in the new process.

    Its engine letter-3 is kept for long requests, which this load lacks.
    """
    for engine in (one, other):
        arrivals_s = context.trial.facts(engine)['arrivals_s']
        assert arrivals_s, engine
        assert min(arrivals_s) > context.killed_s, arrivals_s


@then('none of its engines got more than its cold-start limit')
def cold_engines_bounded(context):
    """Check the counters of the new process."""
    faults = context.trial.cold_faults(context.away)
    assert not faults, faults


@given('every fifth answer of the plain service is lost')
def answers_lost(context):
    """Inject the fault for the duration of the load."""
    cluster = context.trial.cluster
    service = cluster.services['postings']
    cluster.fault(service, fault='lose_answer', every=5, for_s=10)


@given('every third table answer is lost after the write took effect')
def writes_unanswered(context):
    """Inject the fault for the duration of the load."""
    cluster = context.trial.cluster
    table = cluster.platform.table
    cluster.fault(table, fault='lose_answers', every=3, for_s=10)


@when('all calls without a result are retried after their deadline')
def retry_calls(context):
    """Retry after the deadline, when no call can still be running."""
    result = _result(context)
    sleep(_CALL_DEADLINE_S)
    done = {each.idempotency_key for each in result.calls if each.status == 200}
    keys = {each.idempotency_key for each in result.calls} - done
    assert keys, 'no call was left without a result'
    for key in sorted(keys):
        answer = context.trial.call_service('a1', 'postings', key)
        error = answer.json().get('error', {})
        result.calls.append(
            ServiceRecord(
                idempotency_key=key,
                workspace=_WARM.workspaces[0],
                arrived_s=0,
                status=answer.status,
                not_run=error.get('not_run', False),
            )
        )


@then('most calls were answered, and none ran twice or contradicted its answer')
def check_calls(context):
    """Compare answers with executions; over half must have a result."""
    result = _result(context)
    answered = sum(record.status == 200 for record in result.calls)
    assert answered * 2 > len(result.calls), (answered, len(result.calls))
    faults = context.trial.faults(result)
    assert not faults, faults


@given('nine instances overload cold engines with and without fencing')
def overload_cold_engines(context):
    """Send each model twice the load that its cold engines can handle."""
    _use_trial(context, _COLD)
    plans = [
        msgspec.structs.replace(
            _LOAD,
            seed=seed,
            model=model,
            requests_per_s=8,
            duration_s=34,
            # Up to 6 s at a cold engine, which is longer than a takeover.
            max_tokens=100,
            deadline_s=12,
        )
        for seed, model in enumerate(('fenced', 'open'))
    ]
    context.running = context.trial.start_load(*plans)
    _wait_work(context)


def _wait_work(context):
    """Wait until each engine has received a request since now."""
    trial = context.trial
    from_s = monotonic()
    wait_until(
        lambda: all(
            trial.arrivals_between([engine], from_s, monotonic())
            for engine in trial.engines
        ),
        _LEASE_TIMEOUT_S,
    )


@when('the coordinators of the cold engines are killed')
def kill_coordinators(context):
    """Kill the coordinators of one engine of each kind."""
    trial = context.trial
    context.claims = trial.coordinators()
    names = {context.claims[engine][1] for engine in _AFFECTED_ENGINES}
    for name in names:
        _kill(context, name)


@when('their next coordinators are paused for {pause:d} s and resumed')
def pause_coordinators(context, pause):
    """Pause them after they granted permits, for longer than a takeover."""
    trial = context.trial
    earlier = context.claims
    wait_until(
        lambda: all(
            trial.coordinators()[engine] > earlier[engine]
            for engine in _AFFECTED_ENGINES
        ),
        _LEASE_TIMEOUT_S,
    )
    _wait_work(context)
    claims = trial.coordinators()
    names = {claims[engine][1] for engine in _AFFECTED_ENGINES}
    for name in names:
        context.paused.add(name)
        trial.cluster.pause(name)
    sleep(pause)
    for name in names:
        trial.cluster.resume(name)


@then('no cold engine ever exceeded its cold-start limit')
def limit_respected(context):
    """Check the maximum load that each engine recorded."""
    _result(context)
    for engine in context.trial.engines:
        facts = context.trial.facts(engine)
        assert not facts['falls'], facts
        assert facts['cold_requests_high'] <= 2, facts
        assert facts['cold_kv_tokens_high'] <= 8000, facts


@then('each cold engine reached its cold-start limit')
def limit_reached(context):
    """Check that the load was high enough to test the limit."""
    for engine in context.trial.engines:
        facts = context.trial.facts(engine)
        assert facts['cold_requests_high'] == 2, facts

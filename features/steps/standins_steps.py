"""Steps for the stand-ins, the load tool's checks and the cluster runner."""

import os
import socket
from base64 import b64decode, b64encode
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from http.client import HTTPConnection
from time import monotonic, sleep
from urllib.parse import urlencode

import msgspec
from behave import given, then, when

from features.standins.engine_model import EngineModel, StreamAsk
from features.support.cluster import Cluster
from features.support.engine_settings import EngineSettings
from features.support.http_call import call
from features.support.load_plan import LoadPlan, arrivals, prompt_text
from features.support.load_report import (
    ChatRecord,
    Outcome,
    ServiceRecord,
    execution_faults,
    faults_of,
)
from features.support.plan import DeploymentPlan, FleetPlan
from features.support.prompts import (
    PromptFacts,
    answer_text,
    prompt_facts,
    token_text,
)

_PROMPT = 'How much is the fee? ' * 300
_STREAM = '/streams/a0%2Fboot%2F1'


def _start_cluster(context, plan):
    context.cluster = Cluster(plan)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()
    context.table_address = context.cluster.platform.table


@given('stand-ins of the platform and a plain service run')
def platform_runs(context):
    """Start the platform and one plain service."""
    _start_cluster(
        context, FleetPlan(instances_per_data_centre=0, services=('postings',))
    )


@given('stand-ins of the platform and an engine run')
def engine_runs(context):
    """Start the platform and one engine with slow tokens."""
    deployment = DeploymentPlan(
        model='letter',
        engines=1,
        engine=EngineSettings(name='', decode_step_s=0.05),
        fencing_every=0,
    )
    _start_cluster(
        context,
        FleetPlan(instances_per_data_centre=0, deployments=(deployment,)),
    )
    context.engine = context.cluster.engine_address('letter-0')


def _write_row(context, row_key, text, expected_version):
    content = {
        'value': b64encode(text.encode()).decode(),
        'expected_version': expected_version,
    }
    path = '/rows/{0}'.format(row_key.replace('/', '%2F'))
    return call(context.table_address, 'PUT', path, content, timeout_s=0.5)


def _read_row(context, row_key):
    return call(
        context.table_address, 'GET', f'/rows/{row_key.replace("/", "%2F")}'
    )


@when('two writers write the row "{row_key}" and both expect version 0')
def two_writers(context, row_key):
    """Write twice with the same expected version."""
    context.answers = [
        _write_row(context, row_key, text, 0) for text in ('first', 'second')
    ]


@then("one has version 1 and the other gets a conflict with the winner's row")
def one_wins(context):
    """Compare both answers."""
    won, lost = context.answers
    assert (won.status, won.json()) == (200, {'row_version': 1})
    assert lost.status == 409
    assert lost.json()['row_version'] == 1
    assert b64decode(lost.json()['value']) == b'first'


@given('the table stand-in has the fault "{fault}"')
def table_fault(context, fault):
    """Set a fault of the table service."""
    context.cluster.fault(context.table_address, fault=fault, delay_s=1)


@when('"{text}" is written to the row "{row_key}" expecting version {version}')
def write_row(context, text, row_key, version):
    """Write, and keep the answer or the error."""
    context.answer = None
    try:
        context.answer = _write_row(context, row_key, text, int(version))
    except OSError as error:
        context.error = error


@given('"{text}" was written to the row "{row_key}"')
def row_written(context, text, row_key):
    """Write the row's first version."""
    assert _write_row(context, row_key, text, 0).status == 200


@when('"{text}" is written to the row "{row_key}" during a read')
def write_during_read(context, text, row_key):
    """Write while a slow read is pending, and keep the read's answer."""
    with ThreadPoolExecutor(1) as readers:
        reading = readers.submit(_read_row, context, row_key)
        sleep(0.2)
        context.cluster.fault(context.table_address, fault='')
        assert _write_row(context, row_key, text, 1).status == 200
        assert not reading.done()
        context.answer = reading.result()


@then('the read shows "{text}"')
def read_shows(context, text):
    """Check the value in the read's answer."""
    assert b64decode(context.answer.json()['value']) == text.encode()


@then('the writer has no answer')
def no_answer(context):
    """Check that the write ended without an answer."""
    assert context.answer is None
    assert context.error is not None


@then('the writer gets status {status}')
def told_status(context, status):
    """Check the status of the write's answer."""
    assert context.answer.status == int(status)


@then('the row "{row_key}" holds "{text}" at version {version} within 2 s')
def row_holds_soon(context, row_key, text, version):
    """Wait for the write's effect."""
    until_s = monotonic() + 2
    context.cluster.fault(context.table_address, fault='')
    while _read_row(context, row_key).status == 404:
        assert monotonic() < until_s, 'the write took no effect'
        sleep(0.05)
    row_holds(context, row_key, text, version)


@then('the row "{row_key}" holds "{text}" at version {version}')
def row_holds(context, row_key, text, version):
    """Check a row's value."""
    row = _read_row(context, row_key).json()
    assert row['row_version'] == int(version)
    assert b64decode(row['value']) == text.encode()


@then('the row "{row_key}" is absent after the fault ends')
def row_absent(context, row_key):
    """Check that nothing was written."""
    context.cluster.fault(context.table_address, fault='')
    assert _read_row(context, row_key).status == 404


@when('{count:d} rows are written and read in pages of {limit:d}')
def read_in_pages(context, count, limit):
    """Write rows out of order and read them in pages."""
    for number in reversed(range(count)):
        _write_row(context, f'call/w/k{number}', 'first', 0)
    _write_row(context, 'call/x/k0', 'other', 0)
    context.pages = [_read_page(context, '', limit)]
    while context.pages[-1]:
        after = context.pages[-1][-1]
        context.pages.append(_read_page(context, after, limit))


@then('each row is in one page, in order of key')
def pages_are_complete(context):
    """Check the sizes of the pages and the order of the keys."""
    sizes = [len(page) for page in context.pages]
    assert sizes == [2, 2, 1, 0], sizes
    keys = [key for page in context.pages for key in page]
    assert keys == [f'call/w/k{number}' for number in range(5)], keys


@then('an object that is written and removed twice is absent')
def object_removed(context):
    """Remove an object twice."""
    address = context.cluster.platform.objects
    path = '/objects/result%2Ftoken'
    call(address, 'PUT', path, b'result')
    assert call(address, 'GET', path).body == b'result'
    for _ in range(2):
        assert call(address, 'DELETE', path).status == 204
    assert call(address, 'GET', path).status == 404


def _read_page(context, after, limit):
    query = urlencode({'prefix': 'call/w/', 'after': after, 'limit': limit})
    answer = call(context.table_address, 'GET', f'/rows?{query}')
    return [row['row_key'] for row in answer.json()['rows']]


@when('the endpoint "{name}" starts to leave')
def endpoint_leaves(context, name):
    """List the endpoint as leaving."""
    context.endpoint = name
    context.cluster.list_as(name, leaving=True)


@then('the list shows it as "{first}" at once and as "{later}" within 3 s')
def list_is_late(context, first, later):
    """Read the list until the change shows."""
    assert _listed_state(context) == first
    until_s = monotonic() + 3
    while _listed_state(context) != later:
        assert monotonic() < until_s, 'the change does not show'
        sleep(0.05)


def _listed_state(context):
    address = context.cluster.platform.instance_list
    endpoints = call(address, 'GET', '/instances').json()['endpoints']
    states = {each['name']: each['state'] for each in endpoints}
    return states[context.endpoint]


def _call_service(context, key):
    address = context.cluster.services['postings']
    connection = HTTPConnection(address.host, address.port, timeout=2)
    connection.request('POST', '/fees', b'{}', {'Idempotency-Key': key})
    return connection.getresponse().status


@when('the plain service loses its answer to the key "{key}"')
def service_loses_answer(context, key):
    """Call the service, which resets the connection after the run."""
    address = context.cluster.services['postings']
    context.cluster.fault(address, fault='lose_answer', count=1)
    try:
        status = _call_service(context, key)
    except ConnectionError:
        return
    raise AssertionError(f'answered with {status}')


@then('the key "{key}" was run 1 time')
def was_run_once(context, key):
    """Check the number of executions."""
    assert context.cluster.executions('postings')[key] == 1


@then('a repeat of the key "{key}" raises the count to 2')
def repeat_counts(context, key):
    """Repeat the call without the fault."""
    assert _call_service(context, key) == 200
    assert context.cluster.executions('postings')[key] == 2


def _open_stream(context, max_tokens):
    body = {
        'stream_id': 'a0/boot/1',
        'owner': 'a0/boot',
        'prompt': _PROMPT,
        'max_tokens': max_tokens,
    }
    return _open_connection(
        context, 'POST', '/streams', msgspec.json.encode(body)
    )


def _open_connection(context, method, path, body=None):
    address = context.engine
    connection = HTTPConnection(address.host, address.port, timeout=5)
    connection.request(method, path, body)
    answer = connection.getresponse()
    assert answer.status == 200, answer.status
    # The answer closes its own socket, so keep the connection with it.
    answer.connection = connection
    return answer


def _events(answer):
    for line in answer:
        if line.startswith(b'data: '):
            yield msgspec.json.decode(line[len(b'data: ') :])


def _read_tokens(answer, wanted):
    pieces = []
    for event in _events(answer):
        if 'text' not in event:
            break
        pieces.append(event['text'])
        if len(pieces) == wanted:
            break
    return ''.join(pieces)


@when(
    'a stream of {tokens} tokens is read to its token {offset}'
    ' and resumed there'
)
def read_and_resume(context, tokens, offset):
    """Read the stream in two parts, each on its own connection."""
    context.tokens = int(tokens)
    first = _open_stream(context, context.tokens)
    context.received = _read_tokens(first, int(offset))
    first.connection.close()
    resumed = _open_connection(context, 'GET', f'{_STREAM}?offset={offset}')
    context.received += _read_tokens(resumed, context.tokens)


@then('both parts together are the expected answer')
def expected_answer(context):
    """Compare with the answer, which depends only on the prompt."""
    assert context.received == answer_text(_PROMPT, context.tokens)


@when("a stream's connection is frozen in the middle")
def freeze_stream(context):
    """Freeze all open connections."""
    context.stream = _open_stream(context, 30)
    context.received = _read_tokens(context.stream, 5)
    context.cluster.fault(context.engine, fault='freeze')


@then('it delivers no byte for 1 s and stays open')
def silent_and_open(context):
    """Read the bytes in transit, then wait for the read to time out."""
    context.stream.connection.sock.settimeout(1)
    try:
        while context.stream.read1():
            sleep(0)
    except TimeoutError:
        return
    raise AssertionError('the connection ended')


@then('a new connection resumes the stream to its end')
def resume_to_end(context):
    """Resume at the offset where the first reader stopped."""
    resumed = _open_connection(context, 'GET', f'{_STREAM}?offset=5')
    text = context.received + _read_tokens(resumed, 30)
    assert text == answer_text(_PROMPT, 30)


@when('the engine restarts with a stream open')
def engine_restarts(context):
    """Restart in the middle of a stream."""
    context.status = call(context.engine, 'GET', '/status').json()
    context.stream = _open_stream(context, 30)
    context.received = _read_tokens(context.stream, 3)
    context.cluster.fault(context.engine, fault='restart')


@then("the stream's connection ends early")
def ends_early(context):
    """Read on, and check that the answer is incomplete."""
    context.stream.connection.sock.settimeout(2)
    try:
        text = _read_tokens(context.stream, 30)
    except (ConnectionError, ValueError):
        return
    assert context.received + text != answer_text(_PROMPT, 30)


@then('the engine is cold, with a new start id, and does not know the stream')
def engine_has_restarted(context):
    """Wait until the engine listens again and check its state."""
    until_s = monotonic() + 2
    while not _is_listening(context.engine):
        assert monotonic() < until_s, 'the engine does not listen again'
        sleep(0.05)
    status = call(context.engine, 'GET', '/status').json()
    assert status['state'] == 'cold'
    assert status['start_id'] != context.status['start_id']
    assert call(context.engine, 'GET', _STREAM).status == 404


def _is_listening(address):
    with socket.socket() as probe:
        return probe.connect_ex((address.host, address.port)) == 0


def _sample_prompt_facts(label, prompt_tokens=100):
    # Digests with this prefix give answers of 400 tokens; see answer_tokens.
    label_digest = sha256(label.encode()).hexdigest()[8:]
    digest = f'0000018f{label_digest}'
    blocks = (sha256(f'{label} prefix'.encode()).hexdigest(),)
    return PromptFacts(digest, prompt_tokens, blocks)


def _start_stream(context, label, now_s=0, prompt_tokens=100, **ask):
    content = {'max_tokens': 400, 'owner': 'a0/boot', **ask}
    return context.model.start(
        now_s,
        StreamAsk(stream_id=label, **content),
        _sample_prompt_facts(label, prompt_tokens),
    )


def _streams(context, now_s):
    return context.model.load(now_s).streams


@given('an engine model in cold start with a limit of 2 requests')
def cold_model(context):
    """Make a model in cold start."""
    settings = EngineSettings(name='e', cold_requests=2, start_cold=True)
    context.model = EngineModel(settings, 0)


@given('a warm engine model')
def warm_model(context):
    """Make a warm model."""
    context.model = EngineModel(EngineSettings(name='e'), 0)


@given('a warm engine model with {memory} tokens of memory')
def model_with_memory(context, memory):
    """Make a warm model with little memory."""
    settings = EngineSettings(name='e', kv_tokens=int(memory))
    context.model = EngineModel(settings, 0)


@given('a warm engine model with 4 streams')
def model_with_streams(context):
    """Start four streams on a warm model."""
    warm_model(context)
    for label in 'abcd':
        assert not _start_stream(context, label)


@given('a warm engine model with 1 stream that never ends')
def model_with_endless_stream(context):
    """Make a model whose steps take so long that nothing ends."""
    settings = EngineSettings(name='e', decode_step_s=10)
    context.model = EngineModel(settings, 0)
    assert not _start_stream(context, 'a')


@given('an engine model that {checks} fencing, fenced at {epoch}')
def fenced_model(context, checks, epoch):
    """Make a model and set its fencing epoch."""
    settings = EngineSettings(name='e', checks_fencing=checks == 'checks')
    context.model = EngineModel(settings, 0)
    context.model.fence(0, int(epoch))


@when('3 streams start at once')
def three_streams(context):
    """Start more streams than the cold limit."""
    context.start_id = context.model.start_id
    context.cold_count = context.model.cold_count
    context.answers = [_start_stream(context, label) for label in 'abc']


@then('the third crashes the engine, which restarts cold and without streams')
def third_crashes_engine(context):
    """Check the state after the crash."""
    model = context.model
    assert context.answers == ['', '', 'fell_over']
    assert not model.streams
    assert model.kv_used_tokens == 0
    assert model.status(0)['state'] == 'cold'
    assert model.start_id != context.start_id
    assert model.cold_count == context.cold_count + 1


@then('its record shows 3 requests in flight while cold')
def record_of_crash(context):
    """Check the crashes and the maximum load while cold."""
    assert context.model.record.falls == 1
    assert context.model.record.cold_requests_high == 3


@when('it turns cold without warning')
def turns_cold(context):
    """Turn the model cold."""
    context.start_id = context.model.start_id
    context.cold_count = context.model.cold_count
    context.model.turn_cold(0.01)


@then(
    'its start id is the same, its cold count has grown and 4 streams continue'
)
def streams_run_on(context):
    """Check that all streams still generate tokens."""
    model = context.model
    assert model.start_id == context.start_id
    assert model.cold_count == context.cold_count + 1
    made_before = [each.made_tokens for each in model.streams.values()]
    model.advance(1)
    made_after = [each.made_tokens for each in model.streams.values()]
    assert len(made_after) == 4
    assert all(
        after > before
        for before, after in zip(made_before, made_after, strict=True)
    )


def _first_token_s(model, label):
    while not model.streams[label].made_tokens:
        model.advance(model.step_end_s)
        now_s = model.step_end_s
    return now_s


@then('a cold model takes longer to a first token than a warm one')
def cold_is_slower(context):
    """Compare a warm and a cold model."""
    times = []
    for start_cold in (False, True):
        settings = EngineSettings(name='e', start_cold=start_cold)
        context.model = EngineModel(settings, 0)
        _start_stream(context, 'a', prompt_tokens=5000)
        times.append(_first_token_s(context.model, 'a'))
    warm_s, cold_s = times
    assert cold_s > 2 * warm_s, times


@when('a group holds 800 tokens')
def group_holds(context):
    """Reserve memory for a group."""
    assert not context.model.reserve_group_memory(0, 'g', 'a0/boot', 800)


@then('another group of 300 tokens is refused')
def group_refused(context):
    """Reserve more memory than is free."""
    assert context.model.reserve_group_memory(0, 'h', 'a0/boot', 300) == 'full'


@then('a stream that needs 300 tokens waits')
def stream_waits(context):
    """Start a stream beside the group."""
    assert not _start_stream(context, 'a', prompt_tokens=200, max_tokens=100)
    context.model.advance(1)
    assert context.model.streams['a'].made_tokens == 0
    assert context.model.kv_used_tokens == 800


@then('the report shows the group with its owner')
def report_shows_group(context):
    """Check the group's entry in the load report."""
    groups = [each for each in _streams(context, 2) if each.stream_id == 'g']
    assert [(each.owner, each.kv_tokens) for each in groups] == [
        ('a0/boot', 800)
    ]


@then(
    'the stream runs once the group is freed,'
    ' and freeing it again changes nothing'
)
def freed_group(context):
    """Free the group twice."""
    context.model.free_group_memory(2, 'g')
    context.model.free_group_memory(2, 'g')
    context.model.advance(2.5)
    assert context.model.streams['a'].made_tokens > 0
    assert context.model.kv_used_tokens == 300


@then('of a prompt of 900 tokens with 2 members the leader holds a third')
def leader_share(context):
    """Check that only a stream with members fits."""
    context.model = EngineModel(EngineSettings(name='e', kv_tokens=340), 0)
    members = ('127.0.0.1:1', '127.0.0.1:2')
    ask = {'prompt_tokens': 900, 'max_tokens': 100}
    assert _start_stream(context, 'a', **ask) == 'full'
    assert not _start_stream(context, 'b', members=members, **ask)
    assert context.model.kv_used_tokens == 334


@then('a report after 0.5 s shows none of them and one after 2 s shows 4')
def report_lags(context):
    """Read the report twice; its lag is one second."""
    early = context.model.load(0.5)
    assert not early.streams
    assert not int(early.age_s)
    late = context.model.load(2)
    assert len(late.streams) == 4
    assert int(late.age_s) == 1


@when('a stream with epoch {epoch} starts')
def stream_with_epoch(context, epoch):
    """Start a stream for the model's incarnation."""
    context.answer = _start_stream(
        context, 'a', epoch=int(epoch), start_id=context.model.start_id
    )


@when('a stream for another start id starts with epoch {epoch}')
def stream_for_other_start(context, epoch):
    """Start a stream that names another start id."""
    context.answer = _start_stream(
        context, 'a', epoch=int(epoch), start_id='other'
    )


@then('the engine model answers "{answer}"')
def answered(context, answer):
    """Check the reason of the refusal."""
    assert context.answer == answer


@then('the engine model answers ""')
def stream_accepted(context):
    """Check that the stream was accepted."""
    assert not context.answer
    assert 'a' in context.model.streams


@when('each is cancelled twice')
def cancel_twice(context):
    """Cancel every stream, and then every stream again."""
    for label in 'abcdabcd':
        context.model.cancel(0.1, label)


@then('no memory is held and 4 cancels are counted')
def all_memory_freed(context):
    """Check the memory, the count and the load report."""
    assert context.model.kv_used_tokens == 0
    assert context.model.record.cancels == 4
    assert not _streams(context, 5)


@then('it still runs after 59 s without a reader and not after 62 s')
def unread_ends(context):
    """Advance to just before and just after the limit."""
    context.model.advance(59)
    assert 'a' in context.model.streams
    context.model.advance(62)
    assert not context.model.streams
    assert context.model.kv_used_tokens == 0
    assert context.model.record.unread_drops == 1


@when(
    'a long prompt of priority 1 starts and a short one of priority 0 follows'
)
def priorities(context):
    """Start the long prompt first."""
    _start_stream(context, 'long', prompt_tokens=100_000, priority=1)
    _start_stream(context, 'short', 0.1, prompt_tokens=1000, priority=0)


@then('the short one has its first token before the long one')
def short_first(context):
    """Compare the times of both first tokens."""
    assert not int(_first_token_s(context.model, 'short'))
    assert context.model.streams['long'].made_tokens == 0
    assert _first_token_s(context.model, 'long') > 4


@then('the second prompt with a common prefix has its first token sooner')
def prefix_is_cached(context):
    """Start two prompts that share 8,192 characters."""
    context.prefix = 'the same instructions ' * 400
    durations_s = []
    for label, now_s in (('a', 0), ('b', 50)):
        facts = prompt_facts(context.prefix + label)
        ask = StreamAsk(stream_id=label, owner='a0/boot', max_tokens=4)
        context.model.start(now_s, ask, facts)
        durations_s.append(_first_token_s(context.model, label) - now_s)
        context.model.advance(now_s + 40)
    first_s, second_s = durations_s
    assert second_s < first_s / 2, durations_s


@then('cache events come after their lag, without each seventh')
def events_lag(context):
    """Fill the cache with eight more prefixes and read the events."""
    for number in range(8):
        now_s = 100 + 10 * number
        label = f'other {number} ' * 200
        ask = StreamAsk(stream_id=label, owner='a0/boot', max_tokens=1)
        context.model.start(now_s, ask, prompt_facts(label))
        context.model.advance(now_s + 5)
    digest = sha256(context.prefix[:1024].encode()).hexdigest()
    events = context.model.cache_events(200, '0')['events']
    assert (events[0].prefix_digest, events[0].cached) == (digest, True)
    assert [each.number for each in events] == [1, 2, 3, 4, 5, 6, 8, 9]
    last = events[-1]
    before = context.model.cache_events(last.at_s + 0.9, '0')['events']
    assert last not in before


@when('one is exported and imported by another engine')
def export_stream(context):
    """Export a stream after some tokens and import it elsewhere."""
    context.model.advance(1)
    context.made = context.model.streams['a'].made_tokens
    assert context.made > 0
    blob = context.model.export_kv('a')
    context.other = EngineModel(EngineSettings(name='f'), 1)
    assert not context.other.import_kv(1, blob)


@then('its answer goes on there from its position without a prefill')
def imported_stream_continues(context):
    """Check the position, and the text of the next token."""
    moved = context.other.streams['a']
    assert (moved.made_tokens, moved.prefill_left) == (context.made, 0)
    context.other.advance(1.021)
    assert moved.made_tokens == context.made + 1
    text = token_text(moved.facts.digest, context.made)
    assert text == token_text(_sample_prompt_facts('a').digest, context.made)


@then(
    'a key that ran twice, one that was answered and did not run'
    ' and one that ran "not run" are found'
)
def executions_checked(context):
    """Check records with one fault of each kind, and some without."""
    calls = [
        _service_record('twice', 200),
        _service_record('answered', 200),
        _service_record('refused', 503, not_run=True),
        _service_record('right', 200),
        _service_record('right', 409),
        _service_record('unrun', 503, not_run=True),
    ]
    executions = {'twice': 2, 'refused': 1, 'right': 1}
    assert execution_faults(calls, executions) == [
        'twice ran 2 times',
        'answered was answered and did not run',
        'refused ran, and its answers say "not run"',
    ]


def _service_record(key, status, not_run=False):
    return ServiceRecord(
        idempotency_key=key,
        workspace='north',
        arrived_s=0,
        status=status,
        not_run=not_run,
    )


@then('an overrun, a wrong answer and one without an end are found')
def answers_checked(context):
    """Check records with one fault of each kind, and some without."""
    chats = [
        _chat_record(1, Outcome.whole, took_s=12),
        _chat_record(2, Outcome.wrong, took_s=1),
        _chat_record(3, Outcome.hung, took_s=9),
        _chat_record(4, Outcome.whole, took_s=9),
        _chat_record(5, Outcome.refused, took_s=1),
    ]
    found = [fault.split(':')[0] for fault in faults_of(chats)]
    assert found == ['1', '2', '3'], found


def _chat_record(number, outcome, took_s):
    return ChatRecord(
        number=number,
        workspace='north',
        prompt_tokens=1000,
        deadline_s=10,
        arrived_s=0,
        outcome=outcome,
        took_s=took_s,
    )


@when('the body of a run raises an error with a paused process')
def failing_run(context):
    """Raise an error while the cluster runs."""
    plan = FleetPlan(instances_per_data_centre=0, services=('postings',))
    try:
        _raise_while_running(context, plan)
    except ZeroDivisionError:
        return
    raise AssertionError('the error was not raised')


def _raise_while_running(context, plan):
    with Cluster(plan) as cluster:
        cluster.pause('platform')
        names = ('platform', 'postings')
        context.ids = [cluster.process_id(name) for name in names]
        raise ZeroDivisionError


@then("none of the run's processes is left")
def no_process_left(context):
    """Check that no process has one of the ids."""
    for process_id in context.ids:
        assert not _is_alive(process_id), process_id


def _is_alive(process_id):
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


_LOAD = LoadPlan(
    seed=3,
    duration_s=200,
    requests_per_s=10,
    model='letter',
    workspaces=('north', 'south'),
    middle_every=4,
)
_SHORTS_ONLY = msgspec.structs.replace(_LOAD, long_every=0)


@then('two plans with one seed send the same, with one long prompt in fifty')
def plan_is_fixed(context):
    """Compare two plans and count the long requests."""
    context.planned = arrivals(_LOAD)
    assert context.planned == arrivals(_LOAD)
    fifties = len(context.planned) // 50
    sampled = context.planned[49 : 50 * fifties - 1]
    long_requests = [each for each in sampled if each.prompt_tokens > 100_000]
    assert len(long_requests) == fifties - 1, (len(long_requests), fifties)


@then('without longs the other prompts and all times are the same')
def shorts_are_fixed(context):
    """Compare the plans with and without long requests."""
    shorts_only = arrivals(_SHORTS_ONLY)
    assert len(shorts_only) == len(context.planned)
    for mixed, short in zip(context.planned, shorts_only, strict=True):
        assert mixed.at_s == short.at_s
        assert short.prompt_tokens <= 32_000
        if mixed.prompt_tokens <= 100_000:
            assert mixed == short


@then("a prompt has the length of its plan and shares its workspace's prefix")
def prompts_follow_plan(context):
    """Check the length and the prefix of some prompts."""
    shared = {}
    for arrival in context.planned[:40]:
        text = prompt_text(_LOAD, arrival)
        assert len(text) == 4 * arrival.prompt_tokens
        prefix = (arrival.workspace, arrival.prefix_number)
        start = shared.setdefault(prefix, text[:1024])
        assert text[:1024] == start
    assert len(set(shared.values())) == len(shared)

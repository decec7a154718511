"""A simulated history of at-most-once calls, and the rules it must keep.

Three instances get calls with a few keys, some of them retries, while the
stores lose answers, the service loses or delays calls, and instances are
paused and killed. All choices are read from a tape of bytes.
"""

from bergamotturn.connection.peer_messages import OrderUpdate
from bergamotturn.connection.service_adapter import HttpService
from bergamotturn.errors import ErrorKind, answer_for
from bergamotturn.process.events import OrderView
from bergamotturn.process.record_sweep import RecordSweep
from bergamotturn.request.call_actions import (
    AttemptContext,
    Finish,
    Refuse,
    Reply,
    Retry,
    StartStoreOperation,
)
from bergamotturn.request.call_record import (
    CallState,
    call_digest,
    call_row_key,
    decode_record,
)
from bergamotturn.request.held_bytes import HeldBytes
from bergamotturn.request.idempotency import IdempotentCall
from bergamotturn.request.service_actions import (
    CancelExchange,
    RequestPermit,
    ReturnPermit,
    StartExchange,
)
from bergamotturn.request.service_flow import FlowContext, RecordedFlow
from bergamotturn.request.service_router import ServiceRouter

from .samples import fees_configuration, permit_busy, permit_grant, service_call
from .simulation import ChoiceSequence, EventScheduler, FakeStores, Process

__all__ = ('CallHistory',)

_CONFIGURATION = fees_configuration('fees-1', 'fees-2')
_FIRST_ENDPOINT_OUT = OrderView(
    (
        OrderUpdate(
            target='endpoint/fees-1',
            state='out',
            order_count=1,
            accepted_by='a',
        ),
    )
)
_KEEP_S = 604_800
_UNIX_S = 1_800_000_000
_MONTH_S = 2_592_000


class _Submission:
    """A call by one caller, with its flow and its replies."""

    def __init__(self, number, instance, key, body, deadline_s):
        self.call_id = f'{instance.name}/{instance.boot}/{number}'
        self.instance = instance
        self.boot = instance.boot
        self.key = key
        self.body = body
        self.deadline_s = deadline_s
        self.replies = []
        self.flow = None
        self.exchange_id = 0
        self.permits = 0
        self.start_by_s = 0

    @property
    def is_owner_alive(self):
        return self.boot == self.instance.boot


class CallHistory:
    """Simulates the history that one tape describes."""

    def __init__(self, data):
        """Create the instances and the stores."""
        self.world = EventScheduler(ChoiceSequence(data))
        self.stores = FakeStores(self.world, _UNIX_S)
        self.instances = [Process(self.world, name) for name in 'abc']
        self.flow_contexts = {}
        self.skews_s = dict.fromkeys('abc', 0)
        for instance in self.instances:
            router = ServiceRouter('west')
            router.on_configuration(_CONFIGURATION)
            self.flow_contexts[instance.name] = FlowContext(
                'services', router, HttpService(), 10_000, HeldBytes(10**6)
            )
        self.submissions = []
        self.runs = []
        self.start_faults = []
        self.unswept = []

    def run(self):
        """Run the history, then retry each call twice without faults.

        The second retry comes after the results have expired. Before each of
        the retries, all instances sweep concurrently.
        """
        tape = self.world.tape
        for _ in range(tape.choose(3, 4, 5, 6)):
            self.world.at(tape.delay(6), self._submit_from_tape)
        for _ in range(tape.choose(0, 1, 2, 4)):
            self.world.at(tape.delay(8), self._inject_fault)
        self.world.run()
        tape.end()
        self.world.now_s += 60
        keys = sorted({each.key for each in self.submissions})
        self._sweep()
        for key in keys:
            self._submit(self.instances[0], key, b'charge', 5)
        self.world.run()
        self.world.now_s += _KEEP_S + 60
        self._sweep()
        self._check_swept()
        for key in keys:
            self._submit(self.instances[0], key, b'charge', 5)
        self.world.run()

    def faults(self):
        """Return a message for each violation of a rule."""
        return [
            *self.start_faults,
            *self._duplicate_runs(),
            *self._false_refusals(),
            *self._wrong_results(),
            *self._wrong_reply_counts(),
            *self._lost_results(),
            *self._unreturned_permits(),
            *self.unswept,
        ]

    def _sweep(self):
        for instance in self.instances:
            sweep = RecordSweep('sweep')
            sweep.configure(('w',), _KEEP_S)
            self._sweep_on(instance, sweep, sweep.read_page())
        self.world.run()

    def _sweep_on(self, instance, sweep, operation):
        if operation is not None:
            self.stores.submit(
                instance,
                operation,
                lambda outcome: self._sweep_on(
                    instance,
                    sweep,
                    sweep.on_outcome(outcome, self._unix_s(instance)),
                ),
            )

    def _unix_s(self, instance):
        return self.world.now_s + _UNIX_S + self.skews_s[instance.name]

    def _check_swept(self):
        # A clock with an offset may have dated a result, or may postpone its
        # expiry.
        if any(self.skews_s.values()):
            return
        for row in self.stores.rows.values():
            record = decode_record(row.value)
            if record.state == CallState.done and record.kept is not None:
                self.unswept.append(f'{row.row_key} was not swept')
            if record.object_key in self.stores.objects:
                self.unswept.append(f'{record.object_key} was not swept')

    def _submit_from_tape(self):
        tape = self.world.tape
        self._submit(
            tape.choose(*self.instances),
            tape.choose('k1', 'k1', 'k2'),
            tape.choose(b'charge', b'charge', b'charge', b'other'),
            tape.choose(4, 2, 1, 0.05),
        )

    def _submit(self, instance, key, body, timeout_s):
        deadline_s = self.world.now_s + timeout_s
        submission = _Submission(
            len(self.submissions), instance, key, body, deadline_s
        )
        self.submissions.append(submission)
        sent = service_call(
            submission.call_id, deadline_s, body=body, idempotency_key=key
        )
        attempt = AttemptContext(
            row_key=call_row_key('w', key),
            digest=call_digest('POST', 'fees/charge', body),
            token=submission.call_id,
            instance=instance.name,
            boot_id=str(instance.boot),
            deadline_s=deadline_s,
            unix_offset_s=_UNIX_S + self.skews_s[instance.name],
            result_keep_s=_KEEP_S,
            owner='services',
        )
        record = IdempotentCall(attempt, self._is_owner_alive)
        flow_context = self.flow_contexts[instance.name]
        submission.flow = RecordedFlow(sent, flow_context, record)
        instance.at(timeout_s, self._step, submission, 'on_deadline')
        self._step(submission, 'start')

    def _is_owner_alive(self, name, boot_id):
        # Members detect a death up to 4 s late, and may consider a paused
        # instance dead.
        owner = next(each for each in self.instances if each.name == name)
        died_s = owner.died_s.get(int(boot_id))
        if died_s is not None:
            return self.world.now_s < died_s + 4
        return not self.world.tape.chance(20)

    def _inject_fault(self):
        instance = self.world.tape.choose(*self.instances)
        inject = self.world.tape.choose(
            self._pause,
            Process.kill,
            self._take_down,
            self._give_orders,
            self._give_orders,
            self._set_clock,
        )
        inject(instance)

    def _pause(self, instance):
        instance.pause(self.world.tape.delay(12))

    def _take_down(self, instance):
        kind = self.world.tape.choose('rows', 'objects')
        self.stores.take_down(kind, self.world.tape.delay(10))

    def _give_orders(self, instance):
        orders = self.world.tape.choose(_FIRST_ENDPOINT_OUT, OrderView(()))
        self.flow_contexts[instance.name].router.on_orders(orders)

    def _set_clock(self, instance):
        skew_s = self.world.tape.choose(_MONTH_S, -_MONTH_S)
        self.skews_s[instance.name] = skew_s

    def _step(self, submission, method, *arguments):
        """Call a method of the flow and perform the actions it returns."""
        needs_time = method not in {'on_head', 'on_data', 'on_retry'}
        times = (self.world.now_s,) if needs_time else ()
        step = getattr(submission.flow, method)
        for action in step(*arguments, *times):
            self._perform(submission, action)

    def _perform(self, submission, action):
        handlers = {
            Refuse: self._record_reply,
            Reply: self._record_reply,
            StartStoreOperation: self._operate,
            Retry: self._retry,
            RequestPermit: self._answer_ask,
            ReturnPermit: self._on_permit_returned,
            StartExchange: self._start_exchange,
            CancelExchange: self._cancel,
            Finish: self._finish,
        }
        handlers[type(action)](submission, action)

    def _record_reply(self, submission, action):
        submission.replies.append((self.world.now_s, action))

    def _operate(self, submission, action):
        self.stores.submit(
            submission.instance,
            action.operation,
            lambda outcome: self._step(submission, 'on_outcome', outcome),
        )

    def _retry(self, submission, action):
        submission.instance.at(
            action.delay_s, self._step, submission, 'on_retry'
        )

    def _on_permit_returned(self, submission, action):
        submission.permits -= 1

    def _cancel(self, submission, action):
        submission.exchange_id = 0

    def _finish(self, submission, action):
        submission.flow.close()

    def _answer_ask(self, submission, action):
        tape = self.world.tape
        ask = action.ask
        # A coordinator adds the time in its queue to the time to start.
        start_s = tape.choose(1, 6)
        submission.start_by_s = self.world.now_s + start_s
        if tape.chance(30):
            submission.instance.at(
                0.002, self._step, submission, 'on_busy', permit_busy(ask)
            )
            return
        delay_s = tape.delay(3) if tape.chance(70) else 0.002
        submission.instance.at(
            delay_s, self._grant, submission, permit_grant(ask, start_s)
        )

    def _grant(self, submission, granted):
        submission.permits += 1
        self._step(submission, 'on_granted', granted)

    def _start_exchange(self, submission, action):
        tape = self.world.tape
        exchange = action.exchange
        submission.exchange_id = exchange.exchange_id
        self._check_start(submission, exchange)
        draw = tape.byte()
        instance = submission.instance
        if draw < 150:
            self.world.at(
                tape.delay(0.5), self._run, submission, exchange, True
            )
        elif draw < 180:
            instance.at(0.002, self._report_failed, submission, exchange, False)
        else:
            # The answer is lost. The call is lost too, or it arrives, possibly
            # long after the connection ended.
            if draw < 235:
                longest_s = 0.5 if draw < 210 else 20
                self.world.at(
                    tape.delay(longest_s),
                    self._run,
                    submission,
                    exchange,
                    False,
                )
            instance.at(
                tape.delay(3), self._report_failed, submission, exchange, True
            )

    def _check_start(self, submission, exchange):
        router = self.flow_contexts[submission.instance.name].router
        ports = [
            endpoint.address.port
            for endpoint in _CONFIGURATION.endpoints
            if router.endpoint(endpoint.name) is not None
        ]
        start_by_s = min(submission.start_by_s, submission.deadline_s)
        if self.world.now_s >= start_by_s:
            self.start_faults.append(f'{submission.call_id} started late')
        if exchange.address.port not in ports:
            self.start_faults.append(
                f'{submission.call_id} went to an endpoint out of service'
            )

    def _run(self, submission, exchange, answered):
        size = 6000 if submission.key == 'k2' else 40
        body = f'{submission.call_id} {len(self.runs)} '.encode() * (size // 8)
        self.runs.append((self.world.now_s, submission, body))
        if answered:
            submission.instance.at(
                self.world.tape.delay(0.3),
                self._report_answer,
                submission,
                exchange,
                body,
            )

    def _report_answer(self, submission, exchange, body):
        if submission.exchange_id == exchange.exchange_id:
            submission.exchange_id = 0
            self._step(submission, 'on_head', 200, ())
            self._step(submission, 'on_data', body)
            self._step(submission, 'on_end')

    def _report_failed(self, submission, exchange, sent):
        if submission.exchange_id == exchange.exchange_id:
            submission.exchange_id = 0
            self._step(submission, 'on_failed', sent)

    def _duplicate_runs(self):
        keys = [submission.key for _, submission, _ in self.runs]
        return [
            f'{key} ran {keys.count(key)} times'
            for key in set(keys)
            if keys.count(key) > 1
        ]

    def _false_refusals(self):
        return [
            f'{submission.call_id} ran, but got {action.failure}'
            for submission in self.submissions
            for replied_s, action in submission.replies
            if isinstance(action, Refuse)
            and self._is_false(submission, action.failure.kind, replied_s)
        ]

    def _is_false(self, submission, kind, replied_s):
        # Without the table, an instance knows only its own attempt, so this
        # refusal states only that this attempt did not run. "Not run" covers
        # all attempts with the same key up to the time of the refusal.
        if kind is ErrorKind.store_unavailable:
            return any(ran is submission for _, ran, _ in self.runs)
        if not answer_for(kind).not_run:
            return False
        return any(
            ran is submission
            or (ran.key == submission.key and ran_s <= replied_s)
            for ran_s, ran, _ in self.runs
        )

    def _wrong_results(self):
        made = {ran.key: (ran.body, body) for _, ran, body in self.runs}
        for submission in self.submissions:
            for _, action in submission.replies:
                if isinstance(action, Reply) and made.get(submission.key) != (
                    submission.body,
                    action.kept.body,
                ):
                    yield f'{submission.call_id} got a wrong result'

    def _wrong_reply_counts(self):
        for submission in self.submissions:
            reply_count = len(submission.replies)
            if reply_count > 1 or (
                submission.is_owner_alive and not reply_count
            ):
                yield f'{submission.call_id} was answered {reply_count} times'

    def _unreturned_permits(self):
        return [
            f'{submission.call_id} holds {submission.permits} permits'
            for submission in self.submissions
            if submission.permits and submission.is_owner_alive
        ]

    def _lost_results(self):
        # A result that a caller got from an instance that is still alive must
        # be stored, and must expire without a second run.
        if any(self.skews_s.values()):
            return
        for key in sorted({each.key for each in self.submissions}):
            calls = [each for each in self.submissions if each.key == key]
            if any(map(self._is_kept, calls[:-2])):
                yield from self._check_final_calls(key, calls)

    def _is_kept(self, submission):
        return submission.is_owner_alive and any(
            isinstance(action, Reply) for _, action in submission.replies
        )

    def _check_final_calls(self, key, calls):
        first, last = (each.replies[0][1] for each in calls[-2:])
        if not isinstance(first, Reply) and not self._is_key_reused(
            calls, first
        ):
            yield f'{key} lost its result: {first}'
        if isinstance(last, Reply):
            yield f'{key} did not expire'

    def _is_key_reused(self, calls, first):
        return first.failure.kind is ErrorKind.key_reused and any(
            each.body != b'charge' for each in calls
        )

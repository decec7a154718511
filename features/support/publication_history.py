"""A simulated history of publications, with checks of its outcome.

Operators publish at three instances, often at once and over the same version,
while the stores lose answers, peers' messages are lost or reordered, and
instances are paused and killed. All choices come from a sequence of bytes.
"""

from functools import partial

from bergamotturn.connection.peer_messages import (
    ConfigurationContent,
    ConfigurationFetch,
    ConfigurationOffer,
)
from bergamotturn.connection.store_events import StoreStatus
from bergamotturn.errors import ErrorKind, answer_for
from bergamotturn.request.call_actions import StartStoreOperation
from bergamotturn.version.adoption import Adopt, Adoption, Confirm, SendToPeer
from bergamotturn.version.configuration import (
    Configuration,
    Policy,
    decode_configuration,
    encode_configuration,
)
from bergamotturn.version.publication import (
    Publication,
    PublicationRequest,
    PublicationResult,
)
from bergamotturn.version.version_row import (
    VERSION_ROW_KEY,
    configuration_digest,
    configuration_object_key,
    decode_version_row,
)

from .simulation import ChoiceSequence, EventScheduler, FakeStores, Process

__all__ = ('PublicationHistory',)

_CONTENTS = tuple(
    encode_configuration(
        Configuration(policy=Policy(entry_answer_s=number + 0.5))
    )
    for number in range(8)
)
_TICK_INTERVAL_S = 1
_FAULT_PHASE_S = 12
_RECOVERY_PHASE_S = 8


class _Boot:
    """State and adopted versions of one boot of an instance."""

    def __init__(self, number_before_restart):
        self.adoption = Adoption('configuration')
        self.number_before_restart = number_before_restart
        self.table_answered = False
        self.adopted = []


class _Attempt:
    """A publication and the results that its operator got."""

    def __init__(self, publication, request):
        self.publication = publication
        self.request = request
        self.results = []


class PublicationHistory:
    """Runs one history and collects the violated rules."""

    def __init__(self, data):
        """Prepare the instances and the stores."""
        self.world = EventScheduler(ChoiceSequence(data))
        self.stores = FakeStores(self.world)
        self.instances = [Process(self.world, name) for name in 'abc']
        self.boots = {}
        self.attempts = []
        self.violations = []
        for instance in self.instances:
            self._start(instance, 0)

    def run(self):
        """Run the phase with faults, then one without faults to recover."""
        choices = self.world.tape
        for _ in range(choices.choose(2, 3, 4, 6)):
            self.world.at(choices.delay(8), self._publish)
        for _ in range(choices.choose(0, 1, 2, 4)):
            self.world.at(choices.delay(8), self._inject_fault)
        self.world.run(self.world.now_s + _FAULT_PHASE_S)
        choices.end()
        for kind in self.stores.down:
            self.stores.down[kind] = False
        for instance in self.instances:
            instance.pause(0)
        self.world.run(self.world.now_s + _RECOVERY_PHASE_S)

    def faults(self):
        """Return a description of each violated rule."""
        return [
            *self.violations,
            *self._duplicate_numbers(),
            *self._wrong_results(),
            *self._outdated_instances(),
        ]

    def _start(self, instance, number_before_restart):
        self.boots[instance.name] = _Boot(number_before_restart)
        self._tick(instance)

    def _tick(self, instance):
        instance.at(_TICK_INTERVAL_S, self._tick, instance)
        others = tuple(
            other.name for other in self.instances if other is not instance
        )
        boot = self.boots[instance.name]
        now_s = self.world.now_s
        self._execute(instance, boot.adoption.on_tick(now_s, others))

    def _publish(self):
        choices = self.world.tape
        instance = choices.choose(*self.instances)
        base_instance = choices.choose(instance, *self.instances)
        number = len(self.attempts)
        in_force = self.boots[base_instance.name].adoption.in_force
        request = PublicationRequest(
            content=choices.choose(_CONTENTS[number], _CONTENTS[0]),
            author=f'author-{number}',
            expected_version=in_force,
            token=f'token-{number}',
            published_unix_s=1_800_000_000 + self.world.now_s,
            owner='configuration',
        )
        attempt = _Attempt(Publication(request, self.world.now_s), request)
        self.attempts.append(attempt)
        self._execute_publication(
            instance, attempt, attempt.publication.start()
        )
        self._tick_attempt(instance, attempt)

    def _tick_attempt(self, instance, attempt):
        actions = attempt.publication.on_tick(self.world.now_s)
        self._execute_publication(instance, attempt, actions)
        if not attempt.results:
            instance.at(_TICK_INTERVAL_S, self._tick_attempt, instance, attempt)

    def _execute_publication(self, instance, attempt, actions):
        for action in actions:
            if isinstance(action, StartStoreOperation):
                on_outcome = partial(
                    self._on_publication_outcome, instance, attempt
                )
                self.stores.submit(instance, action.operation, on_outcome)
                continue
            assert isinstance(action, PublicationResult), action
            attempt.results.append(action)
            if action.accepted is not None:
                self._announce(instance, attempt, action.accepted)

    def _on_publication_outcome(self, instance, attempt, outcome):
        actions = attempt.publication.on_outcome(outcome)
        self._execute_publication(instance, attempt, actions)

    def _announce(self, instance, attempt, accepted):
        content = ConfigurationContent(
            version_number=accepted.version_number,
            digest=accepted.digest,
            content=attempt.request.content,
        )
        boot = self.boots[instance.name]
        self._execute(instance, boot.adoption.on_accepted(content))
        offer = ConfigurationOffer(
            version_number=accepted.version_number, digest=accepted.digest
        )
        for other in self.instances:
            if other is not instance:
                self._send(instance, other, offer)

    def _execute(self, instance, actions):
        boot = self.boots[instance.name]
        for action in actions:
            if isinstance(action, StartStoreOperation):
                on_outcome = partial(self._on_outcome, instance)
                self.stores.submit(instance, action.operation, on_outcome)
            elif isinstance(action, SendToPeer):
                names = [each.name for each in self.instances]
                receiver = self.instances[names.index(action.instance)]
                self._send(instance, receiver, action.message)
            elif isinstance(action, Confirm):
                self._confirm(instance, boot, action)
            else:
                assert isinstance(action, Adopt), action
                self._adopt(instance, boot, action)

    def _on_outcome(self, instance, outcome):
        boot = self.boots[instance.name]
        if outcome.rows or outcome.status is StoreStatus.absent:
            boot.table_answered = True
        self._execute(instance, boot.adoption.on_outcome(outcome))

    def _send(self, sender, receiver, message):
        choices = self.world.tape
        if choices.chance(40):
            return
        receiver.at(
            choices.delay(2) if choices.chance(80) else 0.002,
            self._receive,
            receiver,
            sender.name,
            message,
        )

    def _receive(self, instance, sender, message):
        adoption = self.boots[instance.name].adoption
        if isinstance(message, ConfigurationOffer):
            actions = adoption.on_offer(sender, message)
        elif isinstance(message, ConfigurationFetch):
            actions = adoption.on_fetch(sender, message)
        else:
            actions = adoption.on_content(message, self.world.now_s)
        self._execute(instance, actions)

    def _adopt(self, instance, boot, action):
        number = action.version_number
        # Only an instance that has its versions from peers alone may start
        # with an older version than it had before the restart.
        lower_bound = boot.number_before_restart if boot.table_answered else 0
        if number <= max([0, *boot.adopted]) or number < lower_bound:
            self.violations.append(f'{instance.name} reverted to {number}')
        boot.adopted.append(number)
        accepted = {
            attempt.request.token
            for attempt in self.attempts
            if decode_configuration(attempt.request.content)
            == action.configuration
        }
        if self._tokens().get(number, set()).isdisjoint(accepted):
            self.violations.append(
                f'{instance.name} adopted wrong content for {number}'
            )

    def _confirm(self, instance, boot, action):
        """Check that no later version was accepted before the read began."""
        number = action.version_number
        accepted = zip(
            self.stores.row_writes, self.stores.row_written_s, strict=True
        )
        earlier = [
            decode_version_row(row.value).current.version_number
            for row, written_s in accepted
            if written_s < action.asked_s
        ]
        if number != boot.adopted[-1] or number < max([0, *earlier]):
            self.violations.append(
                f'{instance.name} confirmed outdated {number}'
            )

    def _inject_fault(self):
        choices = self.world.tape
        instance = choices.choose(*self.instances)
        kind = choices.choose('pause', 'kill', 'rows', 'objects')
        if kind == 'pause':
            instance.pause(choices.delay(5))
        elif kind == 'kill':
            instance.kill()
            in_force = self.boots[instance.name].adoption.in_force
            self._start(instance, in_force)
        else:
            self.stores.take_down(kind, choices.delay(6))

    def _tokens(self):
        """Return all tokens that the table ever held for each number."""
        tokens = {}
        for row in self.stores.row_writes:
            for version in decode_version_row(row.value).versions:
                tokens.setdefault(version.version_number, set()).add(
                    version.token
                )
        return tokens

    def _duplicate_numbers(self):
        for number, tokens in self._tokens().items():
            if len(tokens) > 1:
                yield f'number {number} was accepted for {sorted(tokens)}'

    def _wrong_results(self):
        accepted_numbers = {
            token: number
            for number, tokens in self._tokens().items()
            for token in tokens
        }
        for attempt in self.attempts:
            token = attempt.request.token
            if len(attempt.results) > 1:
                yield f'{token} was answered twice'
            for action in attempt.results:
                yield from self._check_result(
                    attempt, action.result, accepted_numbers
                )

    def _check_result(self, attempt, result, accepted_numbers):
        token = attempt.request.token
        if result.is_ok():
            digest = configuration_digest(attempt.request.content)
            key = configuration_object_key(digest)
            if (
                accepted_numbers.get(token) != result.ok
                or key not in self.stores.objects
            ):
                yield f'{token} was accepted but is not durable'
            return
        failure = result.error
        if answer_for(failure.kind).not_run and token in accepted_numbers:
            yield f'{token} failed with {failure.kind} but was accepted'
        if failure.kind is ErrorKind.configuration_conflict:
            winners = {
                'Version {0} by author-{1} was'.format(number, winner[6:])
                for winner, number in accepted_numbers.items()
            }
            if accepted_numbers and not failure.detail.startswith(
                tuple(winners)
            ):
                yield f'{token} got the wrong winner: {failure.detail}'

    def _outdated_instances(self):
        row = self.stores.rows.get(VERSION_ROW_KEY)
        if row is None:
            return
        number = decode_version_row(row.value).current.version_number
        for name, boot in self.boots.items():
            if boot.adoption.in_force != number:
                yield f'{name} did not adopt {number}'

"""One history of configuration versions, and what must hold after it.

Operators publish at three instances, often at once and over the same version,
while the stores lose answers, peers' messages are lost or overtake each other,
and instances are paused and killed. All choices come from a tape of bytes.
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
    PublicationTerms,
    Settled,
)
from bergamotturn.version.version_row import (
    VERSION_ROW_KEY,
    configuration_digest,
    configuration_object_key,
    decode_version_row,
)

from .simulation import FakeStores, Process, Tape, World

__all__ = ('PublicationHistory',)

_CONTENTS = tuple(
    encode_configuration(
        Configuration(policy=Policy(entry_answer_s=number + 0.5))
    )
    for number in range(8)
)
_TICK_S = 1
_DISTURBED_S = 12
_CALM_S = 8


class _Boot:
    """What one boot of an instance has done."""

    def __init__(self, floor):
        self.adoption = Adoption('configuration')
        # Number in force before the restart.
        self.floor = floor
        self.table_answered = False
        self.adopted = []


class _Attempt:
    """A publication and what its operator was told."""

    def __init__(self, publication, terms):
        self.publication = publication
        self.terms = terms
        self.told = []


class PublicationHistory:
    """Runs one tape."""

    def __init__(self, data):
        """Prepare the instances and the stores."""
        self.world = World(Tape(data))
        self.stores = FakeStores(self.world)
        self.instances = [Process(self.world, name) for name in 'abc']
        self.boots = {}
        self.attempts = []
        self.broken = []
        for instance in self.instances:
            self._start(instance, 0)

    def run(self):
        """Let the history happen, then some seconds of calm."""
        tape = self.world.tape
        for _ in range(tape.choose(2, 3, 4, 6)):
            self.world.at(tape.delay(8), self._publish)
        for _ in range(tape.choose(0, 1, 2, 4)):
            self.world.at(tape.delay(8), self._disturb)
        self.world.run(self.world.now_s + _DISTURBED_S)
        tape.end()
        for kind in self.stores.down:
            self.stores.down[kind] = False
        for instance in self.instances:
            instance.pause(0)
        self.world.run(self.world.now_s + _CALM_S)

    def faults(self):
        """Return every rule that the history broke, in words."""
        return [
            *self.broken,
            *self._doubled_numbers(),
            *self._untrue_answers(),
            *self._stragglers(),
        ]

    def _start(self, instance, floor):
        self.boots[instance.name] = _Boot(floor)
        self._tick(instance)

    def _tick(self, instance):
        instance.at(_TICK_S, self._tick, instance)
        others = tuple(
            other.name for other in self.instances if other is not instance
        )
        boot = self.boots[instance.name]
        now_s = self.world.now_s
        self._follow(instance, boot.adoption.on_tick(now_s, others))

    def _publish(self):
        tape = self.world.tape
        instance = tape.choose(*self.instances)
        based_on = tape.choose(instance, *self.instances)
        number = len(self.attempts)
        in_force = self.boots[based_on.name].adoption.in_force
        terms = PublicationTerms(
            content=tape.choose(_CONTENTS[number], _CONTENTS[0]),
            author=f'author-{number}',
            expected_version=in_force,
            token=f'token-{number}',
            published_unix_s=1_800_000_000 + self.world.now_s,
            owner='configuration',
        )
        attempt = _Attempt(Publication(terms, self.world.now_s), terms)
        self.attempts.append(attempt)
        self._advance(instance, attempt, attempt.publication.start())
        self._tick_attempt(instance, attempt)

    def _tick_attempt(self, instance, attempt):
        actions = attempt.publication.on_tick(self.world.now_s)
        self._advance(instance, attempt, actions)
        if not attempt.told:
            instance.at(_TICK_S, self._tick_attempt, instance, attempt)

    def _advance(self, instance, attempt, actions):
        for action in actions:
            if isinstance(action, StartStoreOperation):
                report = partial(self._report_attempt, instance, attempt)
                self.stores.submit(instance, action.operation, report)
                continue
            assert isinstance(action, Settled), action
            attempt.told.append(action)
            if action.accepted is not None:
                self._accept(instance, attempt, action.accepted)

    def _report_attempt(self, instance, attempt, outcome):
        actions = attempt.publication.on_outcome(outcome)
        self._advance(instance, attempt, actions)

    def _accept(self, instance, attempt, accepted):
        content = ConfigurationContent(
            version_number=accepted.version_number,
            digest=accepted.digest,
            content=attempt.terms.content,
        )
        boot = self.boots[instance.name]
        self._follow(instance, boot.adoption.on_accepted(content))
        offer = ConfigurationOffer(
            version_number=accepted.version_number, digest=accepted.digest
        )
        for other in self.instances:
            if other is not instance:
                self._send(instance, other, offer)

    def _follow(self, instance, actions):
        boot = self.boots[instance.name]
        for action in actions:
            if isinstance(action, StartStoreOperation):
                report = partial(self._report, instance)
                self.stores.submit(instance, action.operation, report)
            elif isinstance(action, SendToPeer):
                names = [each.name for each in self.instances]
                receiver = self.instances[names.index(action.instance)]
                self._send(instance, receiver, action.message)
            elif isinstance(action, Confirm):
                self._confirm(instance, boot, action)
            else:
                assert isinstance(action, Adopt), action
                self._adopt(instance, boot, action)

    def _report(self, instance, outcome):
        boot = self.boots[instance.name]
        if outcome.rows or outcome.status is StoreStatus.absent:
            boot.table_answered = True
        self._follow(instance, boot.adoption.on_outcome(outcome))

    def _send(self, sender, receiver, message):
        tape = self.world.tape
        if tape.chance(40):
            return
        receiver.at(
            tape.delay(2) if tape.chance(80) else 0.002,
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
        self._follow(instance, actions)

    def _adopt(self, instance, boot, action):
        number = action.version_number
        # Only an instance that has nothing but its peers' word may start
        # with an older version than it had before.
        lowest = boot.floor if boot.table_answered else 0
        if number <= max([0, *boot.adopted]) or number < lowest:
            self.broken.append(f'{instance.name} reverted to {number}')
        boot.adopted.append(number)
        accepted = {
            attempt.terms.token
            for attempt in self.attempts
            if decode_configuration(attempt.terms.content)
            == action.configuration
        }
        if self._tokens().get(number, set()).isdisjoint(accepted):
            self.broken.append(f'{instance.name} adopted a wrong {number}')

    def _confirm(self, instance, boot, action):
        """No later version was accepted before the read left."""
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
            self.broken.append(f'{instance.name} confirmed {number} late')

    def _disturb(self):
        tape = self.world.tape
        instance = tape.choose(*self.instances)
        kind = tape.choose('pause', 'kill', 'rows', 'objects')
        if kind == 'pause':
            instance.pause(tape.delay(5))
        elif kind == 'kill':
            instance.kill()
            in_force = self.boots[instance.name].adoption.in_force
            self._start(instance, in_force)
        else:
            self.stores.take_down(kind, tape.delay(6))

    def _tokens(self):
        """Return the tokens that the table ever had for each number."""
        tokens = {}
        for row in self.stores.row_writes:
            for version in decode_version_row(row.value).versions:
                tokens.setdefault(version.version_number, set()).add(
                    version.token
                )
        return tokens

    def _doubled_numbers(self):
        for number, tokens in self._tokens().items():
            if len(tokens) > 1:
                yield f'number {number} was won by {sorted(tokens)}'

    def _untrue_answers(self):
        won = {
            token: number
            for number, tokens in self._tokens().items()
            for token in tokens
        }
        for attempt in self.attempts:
            token = attempt.terms.token
            if len(attempt.told) > 1:
                yield f'{token} was answered twice'
            for told in attempt.told:
                yield from self._judge(attempt, told.result, won)

    def _judge(self, attempt, result, won):
        token = attempt.terms.token
        if result.is_ok():
            digest = configuration_digest(attempt.terms.content)
            key = configuration_object_key(digest)
            if won.get(token) != result.ok or key not in self.stores.objects:
                yield f'{token} was accepted but is not durable'
            return
        failure = result.error
        if answer_for(failure.kind).not_run and token in won:
            yield f'{token} was told {failure.kind}, but it won'
        if failure.kind is ErrorKind.configuration_conflict:
            winners = {
                'Version {0} by author-{1} was'.format(number, winner[6:])
                for winner, number in won.items()
            }
            if won and not failure.detail.startswith(tuple(winners)):
                yield f'{token} was not told who won: {failure.detail}'

    def _stragglers(self):
        row = self.stores.rows.get(VERSION_ROW_KEY)
        if row is None:
            return
        number = decode_version_row(row.value).current.version_number
        for name, boot in self.boots.items():
            if boot.adoption.in_force != number:
                yield f'{name} does not have {number}'

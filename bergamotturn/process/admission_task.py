"""Component that coordinates admission to endpoints whose lease it holds."""

from collections.abc import Iterable
from time import monotonic
from typing import Final, assert_never, final

from circuits import Event, handler

from ..connection.engine_control import (
    CallAnswer,
    cancel_calls,
    fence_call,
    load_call,
    parse_load,
    parse_status,
    status_call,
)
from ..connection.exchange import HTTP_CLIENT, start_exchange
from ..connection.peer_messages import (
    Envelope,
    LeaseAnnounce,
    MemberUpdate,
    Message,
    PermitBusy,
    PermitGrant,
    send_message,
)
from ..connection.store_events import (
    STORES,
    RowRead,
    RowWrite,
    StoreOutcome,
    next_operation_id,
    store_operation,
)
from ..version.configuration import Configuration
from ..version.settings import Settings
from .actions import SendTo
from .endpoint_coordination import (
    AskLoad,
    AskStatus,
    CancelUnownedWork,
    EngineAction,
    SendEpoch,
)
from .engine_caller import EngineCaller
from .events import MemberView, coordinators_changed
from .lease_actions import (
    Identity,
    ReadLease,
    WriteLease,
    encode_lease_row,
)
from .lease_group import lease_groups
from .lease_group_coordination import (
    CoordinationAction,
    LeaseGroupCoordination,
    coordinators_of,
)
from .ledger import CoordinatorSettings
from .metrics import PERMITS, STREAM_EVENTS
from .timers import Timers

__all__ = ('AdmissionTask', 'admission_tick')

_PERIOD_S: Final = 0.25
_PEERS: Final = 'peers'
_STATUS: Final = 'status'
_LOAD: Final = 'load'
_FENCE: Final = 'fence/'
#: Permits at plain services expire this long after the longest deadline.
_SERVICE_CALL_MARGIN_S: Final = 5.0


class admission_tick(Event):
    """Run the periodic work of all leases and queues."""


@final
class AdmissionTask(EngineCaller):
    """Runs this instance's part in the coordination of all lease groups."""

    channel = 'admission'

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without lease groups and members."""
        super().__init__()
        self._identity = Identity(settings.instance, boot_id)
        self._timers = timers
        self._started_s = monotonic()
        #: By lease group.
        self._coordinations: dict[str, LeaseGroupCoordination] = {}
        #: Lease group of each endpoint of the configuration in force.
        self._group_by_endpoint: dict[str, str] = {}
        self._version = 0
        self._members: tuple[MemberUpdate, ...] = ()
        self._member_states: tuple[tuple[str, str, int], ...] = ()
        self._operations: dict[int, tuple[str, bool]] = {}
        self._published_announces: dict[str, LeaseAnnounce | None] = {}
        timers.call_after(_PERIOD_S, admission_tick(), self.channel)

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        groups = _settings_by_group(configuration)
        self._version = version_number
        self._group_by_endpoint = {
            settings.endpoint.name: group
            for group, all_settings in groups.items()
            for settings in all_settings
        }
        now_s = monotonic()
        for group in self._coordinations.keys() | groups.keys():
            actions = self._coordination_of(group).configure(
                now_s, version_number, groups.get(group, ())
            )
            self._carry_out(group, actions)
        self._update_members()

    @handler('configuration_confirmed')
    def _on_configuration_confirmed(
        self, version_number: int, asked_s: float
    ) -> None:
        for group, coordination in self._coordinations.items():
            actions = coordination.confirmed(
                monotonic(), version_number, asked_s
            )
            self._carry_out(group, actions)

    @handler('members_changed')
    def _on_members_changed(self, view: MemberView) -> None:
        self._members = view.members
        # Several views a second differ in loads only, and passing one of 350
        # members to 720 endpoints takes 0.09 s.
        member_states = tuple(
            (member.instance, member.boot_id, member.state)
            for member in view.members
        )
        if member_states != self._member_states:
            self._member_states = member_states
            self._update_members()

    @handler('admission_tick')
    def _on_admission_tick(self) -> None:
        self._timers.call_after(_PERIOD_S, admission_tick(), self.channel)
        for group, coordination in self._coordinations.items():
            self._carry_out(group, coordination.tick(monotonic()))

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, LeaseAnnounce):
            # The group may be unknown here: the sender can have a newer
            # configuration.
            self._coordination_of(message.group)
        endpoint = getattr(message, 'endpoint', '')
        group = getattr(
            message, 'group', self._group_by_endpoint.get(endpoint, '')
        )
        coordination = self._coordinations.get(group)
        if coordination is not None:
            self._carry_out(group, coordination.message(monotonic(), envelope))

    @handler('store_outcome')
    def _on_store_outcome(self, outcome: StoreOutcome) -> None:
        group, is_read = self._operations.pop(outcome.operation_id, ('', False))
        coordination = self._coordinations.get(group)
        if coordination is None:
            return
        handle_outcome = (
            coordination.row_read if is_read else coordination.row_written
        )
        self._carry_out(group, handle_outcome(monotonic(), outcome))

    def _update_members(self) -> None:
        now_s = monotonic()
        for coordination in self._coordinations.values():
            coordination.update_members(now_s, self._members)

    def _coordination_of(self, group: str) -> LeaseGroupCoordination:
        """Return the coordination of a group, created on first use.

        It is never removed: answers to operations of its lease can arrive
        after the group has lost its endpoints, and must not reach another
        lease object.
        """
        coordination = self._coordinations.get(group)
        if coordination is None:
            coordination = LeaseGroupCoordination(
                self._identity, group, self._started_s
            )
            # Without the version it would promise for older versions.
            coordination.configure(monotonic(), self._version, ())
            coordination.update_members(monotonic(), self._members)
            self._coordinations[group] = coordination
        return coordination

    def _on_answer(self, answer: CallAnswer) -> None:
        group = self._group_by_endpoint.get(answer.endpoint, '')
        coordination = self._coordinations.get(group)
        if coordination is not None:
            self._carry_out(group, _handle_engine_answer(coordination, answer))

    def _carry_out(
        self, group: str, actions: Iterable[CoordinationAction]
    ) -> None:
        for action in actions:
            match action:
                case SendTo(instance, message):
                    _count_decision(message)
                    self.fire(send_message(instance, message), _PEERS)
                case ReadLease() | WriteLease():
                    self._start_store_operation(group, action)
                case (
                    AskStatus() | AskLoad() | SendEpoch() | CancelUnownedWork()
                ):
                    self._send_to_engine(action)
                case _:
                    assert_never(action)
        self._publish(group)

    def _start_store_operation(
        self, group: str, action: ReadLease | WriteLease
    ) -> None:
        operation_id = next_operation_id()
        row_key = f'lease/{group}'
        operation: RowRead | RowWrite = RowRead(
            operation_id=operation_id, owner=self.channel, row_key=row_key
        )
        if isinstance(action, WriteLease):
            operation = RowWrite(
                operation_id=operation_id,
                owner=self.channel,
                row_key=row_key,
                value=encode_lease_row(action.row),
                expected_version=action.expected_version,
            )
        is_read = isinstance(action, ReadLease)
        self._operations[operation_id] = (group, is_read)
        self.fire(store_operation(operation), STORES)

    def _send_to_engine(self, action: EngineAction) -> None:
        endpoint = action.endpoint
        coordination = self._coordinations[self._group_by_endpoint[endpoint]]
        address = coordination.endpoints[endpoint].settings.endpoint.address
        owner = self.channel
        match action:
            case CancelUnownedWork(_, work_id):
                # Not retried: the next load report shows whether it worked.
                STREAM_EVENTS.labels('left_over_cancelled').inc()
                for cancel in cancel_calls(address, owner, work_id):
                    self.fire(start_exchange(cancel), HTTP_CLIENT)
                return
            case AskStatus():
                call, label = status_call(address, owner), _STATUS
            case AskLoad():
                call, label = load_call(address, owner), _LOAD
            case SendEpoch(_, epoch):
                call = fence_call(address, owner, epoch)
                label = f'{_FENCE}{epoch}'
        self._call_engine(call, label, endpoint)

    def _publish(self, group: str) -> None:
        """Notify all components when the coordinator of a group changed."""
        coordination = self._coordinations[group]
        if coordination.announce == self._published_announces.get(group):
            return
        self._published_announces[group] = coordination.announce
        coordination.update_members(monotonic(), self._members)
        announces = filter(None, self._published_announces.values())
        self.fire(coordinators_changed(coordinators_of(announces)), '*')


def _count_decision(message: Message) -> None:
    if isinstance(message, PermitGrant):
        PERMITS.labels('granted').inc()
    elif isinstance(message, PermitBusy):
        PERMITS.labels(message.reason).inc()


def _handle_engine_answer(
    coordination: LeaseGroupCoordination, answer: CallAnswer
) -> list[CoordinationAction]:
    now_s = monotonic()
    name = answer.endpoint
    if answer.label == _STATUS:
        status = parse_status(answer.body) if answer.body else None
        return coordination.status_answered(now_s, name, answer.asked_s, status)
    if answer.body is None:
        return []
    if answer.label == _LOAD:
        load = parse_load(answer.body, answer.asked_s)
        return coordination.load_answered(now_s, name, load) if load else []
    coordination.epoch_answered(name, int(answer.label.removeprefix(_FENCE)))
    return []


def _settings_by_group(
    configuration: Configuration,
) -> dict[str, list[CoordinatorSettings]]:
    weights = {
        workspace.name: workspace.weight
        for workspace in configuration.workspaces
    }
    deadlines = [service.deadline_s for service in configuration.services]
    service_life_s = max(deadlines, default=0) + _SERVICE_CALL_MARGIN_S
    return {
        group: [
            CoordinatorSettings(
                endpoint, configuration.policy, weights, service_life_s
            )
            for endpoint in endpoints
        ]
        for group, endpoints in lease_groups(configuration).items()
    }

"""Events that notify the components of a process of state changes."""

from typing import Final, final

import msgspec
from circuits import Event

from ..connection.peer_messages import MemberUpdate, OrderUpdate

__all__ = (
    'MemberView',
    'OrderView',
    'ShutdownPhase',
    'configuration_changed',
    'configuration_confirmed',
    'configuration_doubted',
    'peer_version_seen',
    'coordinators_changed',
    'cut_off_scheduled',
    'table_versions_changed',
    'endpoint_list_changed',
    'endpoints_changed',
    'in_flight_changed',
    'members_changed',
    'members_listed',
    'order_placed',
    'orders_changed',
    'orders_read',
    'peer_tables_seen',
    'place_order',
    'publication_answered',
    'publish_configuration',
    'records_changed',
    'serving_changed',
    'shutdown_phase_changed',
    'stop_requested',
    'store_restored',
    'table_changed',
    'table_doubted',
    'table_read',
)


class ShutdownPhase:
    """Phases of a graceful shutdown, in order."""

    serving: Final = 'serving'
    leaving: Final = 'leaving'
    draining: Final = 'draining'
    ended: Final = 'ended'


@final
class MemberView(msgspec.Struct, frozen=True, eq=False):
    """All known members, including this instance."""

    members: tuple[MemberUpdate, ...]


@final
class OrderView(msgspec.Struct, frozen=True, eq=False):
    """The order in force for each target."""

    orders: tuple[OrderUpdate, ...]

    def is_out_of_service(self, target: str) -> bool:
        """Return whether ``target`` is out of service."""
        return any(
            order.target == target and order.state == 'out'
            for order in self.orders
        )


class members_changed(Event):
    """Publish ``view``, a :class:`MemberView`, to all channels."""


class orders_changed(Event):
    """Publish ``view``, an :class:`OrderView`, to all channels."""


class configuration_changed(Event):
    """Publish ``version_number`` and ``configuration`` to all channels."""


class configuration_confirmed(Event):
    """Notify ``admission`` that ``version_number`` is the accepted version.

    A read of the table that was sent at the monotonic time ``asked_s`` or
    later returned it.
    """


class peer_version_seen(Event):
    """Notify ``configuration`` that ``instance`` has ``version_number``.

    Fired for each ping whose version number differs from the own one.
    """


class members_listed(Event):
    """Notify ``membership`` of the ``members`` that the platform lists."""


class orders_read(Event):
    """Notify ``membership`` of ``orders`` from the platform's tables."""


class peer_tables_seen(Event):
    """Notify ``mirror`` that ``instance`` has copies of ``tables``.

    ``tables`` holds :class:`~..connection.peer_messages.TableVersion`.
    """


class table_versions_changed(Event):
    """Publish ``tables``, the versions of the local copies, to all channels."""


class store_restored(Event):
    """Notify all channels that the store has come back from an older copy.

    Its newest changes are lost, also those by this instance.
    """


class table_changed(Event):
    """Notify all channels that the copy of a table changed.

    Arguments: ``prefix`` of the table's keys and ``change``, a
    :class:`~.mirror.table_copy.TableChange`.
    """


class serving_changed(Event):
    """Notify all channels that ``configuration`` is in force.

    It is a :class:`~..version.serving.ServingConfiguration`.
    """


class table_doubted(Event):
    """Notify all channels whether known rows of a table may be out of date.

    Arguments: ``prefix`` of the table's keys and ``is_doubted``. The store has
    newer changes than it shows, and the rows are not checked yet.
    """


class configuration_doubted(Event):
    """Notify all channels whether a newer configuration may be in force.

    The argument is ``is_doubted``.
    """


class table_read(Event):
    """Notify all channels that the table ``prefix`` was read in full."""


class endpoints_changed(Event):
    """Publish new or changed ``entries`` and ``removed`` ids to all channels.

    Entries are :class:`~.endpoints.entry.EndpointEntry`.
    """


class endpoint_list_changed(Event):
    """Publish ``leaving``, the names of leaving endpoints, to all channels."""


class stop_requested(Event):
    """Start the graceful shutdown of this instance."""


class shutdown_phase_changed(Event):
    """Publish ``phase``, one of :class:`ShutdownPhase`, to all channels."""


class cut_off_scheduled(Event):
    """Publish when a stop interrupts the requests in flight.

    The argument is ``cut_off_s``, a monotonic time; to all channels.
    """


class in_flight_changed(Event):
    """Publish ``in_flight_requests``, their number, to all channels."""


class records_changed(Event):
    """Publish the open idempotency records of this instance to all channels.

    Arguments: ``unanswered``, the number of calls that may still get a
    result, and ``unwritten``, the number of answered calls whose record is
    not yet finished.
    """


class coordinators_changed(Event):
    """Publish ``announces``, a tuple of announcements, to all channels.

    It has one :class:`~..connection.peer_messages.CoordinatorAnnounce` for
    each endpoint whose coordinator is known.
    """


class place_order(Event):
    """Request an order: ``request_id``, ``target`` and ``state``."""


class order_placed(Event):
    """Send ``operators`` the ``request_id`` and the ``order`` in force."""


class publish_configuration(Event):
    """Request ``configuration`` to publish a version.

    Arguments: ``request_id``, ``content`` (bytes of an encoded
    configuration), ``author`` and ``expected_version``.
    """


class publication_answered(Event):
    """Send ``operators`` the ``request_id`` and ``result``.

    The result is an expression ``Result`` with the new version number or a
    :class:`~..errors.Failure`.
    """

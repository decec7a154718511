"""HTTP listener for operators: status, metrics, configuration and orders."""

from collections.abc import Callable, Iterable
from hashlib import sha256
from hmac import compare_digest
from http import HTTPStatus
from itertools import count
from types import MappingProxyType
from typing import Final, TypeAlias, final

import msgspec
from circuits import handler
from expression import Result
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..decoding import decode_json
from ..errors import ErrorKind, Failure
from ..process.burn import BurnRow
from ..process.burn_task import burn_report_requested
from ..process.events import (
    MemberView,
    OrderView,
    ShutdownPhase,
    place_order,
    publish_configuration,
    stop_requested,
)
from ..process.timers import Timers
from ..version.configuration import Configuration
from ..version.settings import Settings
from .exchange import Header
from .operator_messages import (
    ConfigurationReport,
    MemberReport,
    OrderRequest,
    PublishRequest,
    StatusReport,
)
from .peer_messages import (
    MEMBER_STATE_NAMES,
    CoordinatorAnnounce,
    OrderUpdate,
)
from .web_server import WebCall, WebServer

__all__ = ('OPERATORS_CHANNEL', 'OperatorListener')

#: Channel of :class:`OperatorListener`.
OPERATORS_CHANNEL: Final = 'operators'

_Route: TypeAlias = Callable[['OperatorListener', WebCall], None]


class _FleetListener(WebServer):
    """Keeps the state of this instance and of the fleet for reports."""

    channel = OPERATORS_CHANNEL

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Listen on the operators' address."""
        super().__init__(
            settings.operator_address,
            settings.limits,
            timers,
            settings.operator_tls,
        )
        self._settings = settings
        self._boot_id = boot_id
        self._members: MemberView = MemberView(())
        self._orders: OrderView = OrderView(())
        self._coordinators: tuple[CoordinatorAnnounce, ...] = ()
        self._version_number = 0
        self._configuration: Configuration | None = None
        self._in_flight_requests = 0
        self._phase = ShutdownPhase.serving

    @handler('members_changed')
    def _on_members_changed(self, view: MemberView) -> None:
        self._members = view

    @handler('orders_changed')
    def _on_orders_changed(self, view: OrderView) -> None:
        self._orders = view

    @handler('coordinators_changed')
    def _on_coordinators_changed(
        self, announces: Iterable[CoordinatorAnnounce]
    ) -> None:
        self._coordinators = tuple(announces)

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._version_number = version_number
        self._configuration = configuration

    @handler('in_flight_changed')
    def _on_in_flight_changed(self, in_flight_requests: int) -> None:
        self._in_flight_requests = in_flight_requests

    @handler('shutdown_phase_changed')
    def _on_shutdown_phase_changed(self, phase: str) -> None:
        self._phase = phase


@final
class OperatorListener(_FleetListener):
    """Serves operators; every path except ``/metrics`` needs their token."""

    channel = OPERATORS_CHANNEL

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Listen on the operators' address."""
        super().__init__(settings, boot_id, timers)
        self._request_numbers = count(1)
        self._pending_calls: dict[str, WebCall] = {}

    def _serve(self, call: WebCall) -> None:
        path = call.request.path
        methods = _ROUTES.get(path)
        if methods is None:
            self._answer_failure(call, Failure(ErrorKind.unknown_path))
        elif path != '/metrics' and not self._is_operator(call):
            self._answer_failure(call, Failure(ErrorKind.unauthorised))
        else:
            serve = methods.get(call.request.method, _refuse_method)
            serve(self, call)

    def _on_caller_gone(self, call: WebCall) -> None:
        for request_id, pending_call in tuple(self._pending_calls.items()):
            if pending_call is call:
                self._pending_calls.pop(request_id)

    def _is_operator(self, call: WebCall) -> bool:
        digest = sha256(call.request.bearer().encode()).hexdigest()
        return compare_digest(digest, self._settings.operator_token_digest)

    def _add_pending_call(self, call: WebCall) -> str:
        request_id = f'{self._boot_id}/{next(self._request_numbers)}'
        self._pending_calls[request_id] = call
        return request_id

    def _serve_metrics(self, call: WebCall) -> None:
        headers = (Header('content-type', CONTENT_TYPE_LATEST),)
        self._answer(call, HTTPStatus.OK, generate_latest(), headers)

    def _serve_status(self, call: WebCall) -> None:
        report = StatusReport(
            instance=self._settings.instance,
            boot_id=self._boot_id,
            data_centre=self._settings.data_centre,
            phase=self._phase,
            in_flight=self._in_flight_requests,
            configuration_version=self._version_number,
            members=tuple(
                MemberReport(
                    instance=member.instance,
                    boot_id=member.boot_id,
                    data_centre=member.data_centre,
                    state=MEMBER_STATE_NAMES[member.state],
                    in_flight=member.in_flight,
                    operator_address=str(member.operator_address),
                )
                for member in self._members.members
            ),
            orders=self._orders.orders,
            coordinators=self._coordinators,
        )
        self._answer_json(call, report)

    def _serve_configuration(self, call: WebCall) -> None:
        report = ConfigurationReport(self._version_number, self._configuration)
        self._answer_json(call, report)

    def _request_burn_report(self, call: WebCall) -> None:
        self.fire(burn_report_requested(self._add_pending_call(call)), 'burn')

    def _publish_configuration(self, call: WebCall) -> None:
        request = self._decode_body(call, PublishRequest)
        if request is None:
            return
        publish = publish_configuration(
            self._add_pending_call(call),
            request.content.encode(),
            request.author,
            request.expected_version,
        )
        self.fire(publish, 'configuration')

    def _place_order(self, call: WebCall) -> None:
        request = self._decode_body(call, OrderRequest)
        if request is None:
            return
        order = place_order(
            self._add_pending_call(call), request.target, request.state
        )
        self.fire(order, 'membership')

    def _request_stop(self, call: WebCall) -> None:
        self.fire(stop_requested(), '*')
        self._answer_json(call, {'phase': ShutdownPhase.leaving})

    def _decode_body(
        self, call: WebCall, body_type: type[msgspec.Struct]
    ) -> msgspec.Struct | None:
        try:
            return decode_json(call.request.body, body_type)
        except msgspec.DecodeError as error:
            failure = Failure(ErrorKind.bad_request, str(error))
        self._answer_failure(call, failure)
        return None

    @handler('order_placed')
    def _on_order_placed(self, request_id: str, order: OrderUpdate) -> None:
        call = self._pending_calls.pop(request_id, None)
        if call is not None:
            self._answer_json(call, order)

    @handler('publication_answered')
    def _on_publication_answered(
        self, request_id: str, outcome: Result[int, Failure]
    ) -> None:
        call = self._pending_calls.pop(request_id, None)
        if call is None:
            return
        if outcome.is_ok():
            self._answer_json(call, {'version': outcome.ok})
        else:
            self._answer_failure(call, outcome.error)

    @handler('burn_report_ready')
    def _on_burn_report_ready(
        self, request_id: str, rows: Iterable[BurnRow]
    ) -> None:
        call = self._pending_calls.pop(request_id, None)
        if call is not None:
            self._answer_json(call, {'rows': tuple(rows)})


def _refuse_method(listener: OperatorListener, call: WebCall) -> None:
    listener._answer_failure(call, Failure(ErrorKind.method_not_allowed))


_ROUTES: Final = MappingProxyType(
    {
        '/metrics': {'GET': OperatorListener._serve_metrics},
        '/status': {'GET': OperatorListener._serve_status},
        '/burn': {'GET': OperatorListener._request_burn_report},
        '/configuration': {
            'GET': OperatorListener._serve_configuration,
            'POST': OperatorListener._publish_configuration,
        },
        '/orders': {'POST': OperatorListener._place_order},
        '/stop': {'POST': OperatorListener._request_stop},
    }
)

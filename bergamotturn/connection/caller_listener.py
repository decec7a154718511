"""HTTP listener for callers."""

from typing import Final, final

import msgspec
from circuits import handler

from ..errors import Failure
from ..process.events import MemberView, OrderView
from ..process.timers import Timers
from ..request.calls import (
    ChatCall,
    ServiceCall,
    submit_chat,
    submit_service,
)
from ..request.chat import error_event
from ..version.configuration import Configuration
from ..version.settings import Settings
from .call_listener import CallListener
from .caller_routes import SERVICES_PATH, CallerRoutes, EntryChoice
from .web_server import WebCall

__all__ = ('CallerListener',)

_EVENT_STREAM: Final = 'text/event-stream'


@final
class CallerListener(CallListener):
    """Serves the chat and service requests of callers.

    :param boot_id: identifies this run of the process.
    """

    call_channels = ('requests', 'services')

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        entry_choice: EntryChoice,
    ) -> None:
        """Listen on the caller address in ``settings``."""
        super().__init__(
            settings.caller_address,
            settings.limits,
            timers,
            f'{settings.instance}/{boot_id}',
            settings.caller_tls,
        )
        self._routes = CallerRoutes(settings.caller_address, entry_choice)

    @handler('configuration_changed')
    def _on_configuration(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._routes.use_configuration(configuration)

    @handler('members_changed')
    def _on_members(self, view: MemberView) -> None:
        self._routes.use_members(view)

    @handler('orders_changed')
    def _on_orders(self, view: OrderView) -> None:
        self._routes.use_orders(view)

    @handler('shutdown_phase_changed', priority=-1)
    def _on_phase(self, phase: str) -> None:
        self._routes.is_draining = self._is_draining

    def _serve(self, call: WebCall) -> None:
        call_id = self._next_call_id()
        call.response.headers['X-Call-Id'] = call_id
        call.response.close |= self._is_draining
        # The timeout counts from the first byte, as a long body takes a while
        # to arrive.
        outcome = self._routes.route(call.request, call_id, call.began_s)
        if isinstance(outcome, Failure):
            self._answer_failure(
                call, _with_possible_earlier_run(call, outcome)
            )
        elif isinstance(outcome, ChatCall):
            deadline_s = outcome.deadline_s
            self._submit(
                call, call_id, deadline_s, submit_chat(outcome), 'requests'
            )
        elif isinstance(outcome, ServiceCall):
            deadline_s = outcome.deadline_s
            self._submit(
                call, call_id, deadline_s, submit_service(outcome), 'services'
            )
        else:
            self._answer_json(call, outcome)

    def _fail_stream(self, web_call: WebCall, failure: Failure) -> None:
        content_type = web_call.response.headers.get('Content-Type', '')
        is_chat_stream = content_type.startswith(_EVENT_STREAM)
        # Only callers of chat streams know their end marker.
        if _is_service_call(web_call) or not is_chat_stream:
            self._abort_stream(web_call)
            return
        self._send_part(web_call, error_event(failure))
        self._end_stream(web_call)


def _with_possible_earlier_run(call: WebCall, failure: Failure) -> Failure:
    """Return ``failure``, marked that an earlier submission may have run.

    The request is refused before the record of its idempotency key is read.
    """
    key = call.request.header('idempotency-key')
    if not key or not _is_service_call(call):
        return failure
    return msgspec.structs.replace(failure, may_have_run=True)


def _is_service_call(call: WebCall) -> bool:
    return call.request.path.startswith(SERVICES_PATH)

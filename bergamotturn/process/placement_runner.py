"""Choice of endpoints for chat requests."""

from collections.abc import Sequence
from time import monotonic

from ..connection.peer_messages import WorkClass
from ..request.actions import ChatAction
from ..request.pending_chat import PendingChat
from .group_runner import GroupRunner
from .prefix_hints import prefix_digest
from .routing import RoutingRequest, refusal_kind

__all__ = ('PlacementRunner',)


class PlacementRunner(GroupRunner):
    """Chooses endpoints by the routing policy and the observations."""

    def _choose(self, pending: PendingChat) -> Sequence[ChatAction]:
        now_s = monotonic()
        call = pending.request.call
        routing_request = RoutingRequest(
            call.model, pending.work_class, pending.cost, call.deadline_s
        )
        digest = prefix_digest(call.prompt)
        candidates = self._observations.candidates(call.model, digest)
        names = self._policy.choose(
            now_s, routing_request, candidates, self._random
        )
        if not names and self._is_grace_over(now_s, pending):
            kind = refusal_kind(now_s, routing_request, candidates)
            return pending.request.refuse(kind)
        if names and pending.work_class == WorkClass.group:
            return self._reserve_group(pending, names)
        return pending.request.choose(now_s, names)

"""Chooses endpoints for requests."""

from collections.abc import Sequence
from time import monotonic

from ..connection.peer_messages import AskClass
from ..request.actions import Action
from ..request.live import LiveRequest
from .group_runner import GroupRunner
from .prefix_hints import prefix_digest
from .routing import Need, refusal_kind

__all__ = ('PlacementRunner',)


class PlacementRunner(GroupRunner):
    """Carries out what placing a request asks for."""

    def _choose(self, live: LiveRequest) -> Sequence[Action]:
        now_s = monotonic()
        call = live.request.call
        need = Need(call.model, live.work_class, live.cost, call.deadline_s)
        digest = prefix_digest(call.prompt)
        candidates = self._knowledge.candidates(call.model, digest)
        names = self._policy.choose(now_s, need, candidates, self._random)
        if not names and self._is_hopeless(now_s, live):
            kind = refusal_kind(now_s, need, candidates)
            return live.request.refuse(kind)
        if names and live.work_class == AskClass.group:
            return self._reserve_group(live, names)
        return live.request.choose(now_s, names)

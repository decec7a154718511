"""An instance's permits: asks under way, grants taken and fixed shares.

A permit must be used within ``start_s``, counted from before its ask left.
:func:`may_start` is asked right before the first byte of the work leaves,
with the endpoint's status from the same connection.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, final

from ..connection.engine_control import EngineStatus
from ..connection.peer_messages import (
    CoordinatorAnnounce,
    EndpointIncarnation,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
    unused_release,
)
from ..version.configuration import EndpointSettings
from .actions import SendTo
from .lease_actions import PERMIT_START_S

__all__ = (
    'Granted',
    'PermitAction',
    'Permits',
    'Refused',
    'may_start',
)

#: Part of a warm endpoint's limit that all fixed shares take together.
_SHARED_PART: Final = 0.5
_SHARE: Final = 'share:'
#: An answer that is later than the ask's wait by this much is given up.
_ANSWER_S: Final = 0.5
#: A coordinator that cannot renew is not asked again for this long.
_ENDED_S: Final = 1.0
#: After a status showed a cold endpoint, no share is tried for this long.
_COLD_S: Final = 1.0


@final
@dataclass(slots=True, frozen=True)
class Granted:
    """The ask got ``grant``."""

    grant: PermitGrant


@final
@dataclass(slots=True, frozen=True)
class Refused:
    """The ask got no permit."""

    busy: PermitBusy


PermitAction = SendTo | Granted | Refused


@final
@dataclass(slots=True, frozen=True)
class _OpenAsk:
    """An ask that waits for its coordinator's answer."""

    ask: PermitAsk
    asked_s: float
    coordinator: str

    def is_overdue(self, now_s: float) -> bool:
        return now_s > self.asked_s + self.ask.wait_s + _ANSWER_S


@final
class Permits:
    """Asks coordinators for permits and keeps account of those held."""

    def __init__(self) -> None:
        """Start without endpoints, coordinators and members."""
        self._endpoints: Mapping[str, EndpointSettings] = {}
        self._alive: frozenset[str] = frozenset()
        self._instances = 1
        self._announces: dict[str, CoordinatorAnnounce] = {}
        #: Until when a coordinator that said it is none is not asked again.
        self._ended_until_s: dict[str, float] = {}
        self._epochs: dict[str, int] = {}
        self._open: dict[str, _OpenAsk] = {}
        self._held: dict[str, str] = {}
        self._cold_until_s: dict[str, float] = {}

    def configure(self, endpoints: Iterable[EndpointSettings]) -> None:
        """Set the endpoints of the configuration in force."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}

    def members_known(self, alive: Iterable[str], instances: int) -> None:
        """Take the members.

        :param alive: those alive or leaving, the own instance too.
        :param instances: how many are known at all.
        """
        self._alive = frozenset(alive)
        self._instances = max(1, instances)

    def coordinator_known(self, announce: CoordinatorAnnounce) -> None:
        """Take an announcement, unless a newer one was seen."""
        epoch = self._epochs.get(announce.endpoint, 0)
        if announce.epoch < epoch:
            return
        if announce.epoch > epoch:
            self._ended_until_s.pop(announce.endpoint, None)
        self._epochs[announce.endpoint] = announce.epoch
        self._announces[announce.endpoint] = announce

    def coordinator_of(self, now_s: float, endpoint: str) -> str | None:
        """Return the instance to ask, if there is a usable one."""
        announce = self._announces.get(endpoint)
        if announce is None or announce.instance not in self._alive:
            return None
        if now_s < self._ended_until_s.get(endpoint, now_s):
            return None
        return announce.instance

    def ask(self, now_s: float, ask: PermitAsk) -> list[PermitAction]:
        """Ask for a permit, or take one of the fixed share."""
        coordinator = self.coordinator_of(now_s, ask.endpoint)
        if coordinator is None:
            return [self._share(now_s, ask)]
        self._open[ask.ask_id] = _OpenAsk(ask, now_s, coordinator)
        return [SendTo(coordinator, ask)]

    def grant(
        self, now_s: float, sender: str, grant: PermitGrant
    ) -> list[PermitAction]:
        """Take a grant, or give it back when it is old or comes too late.

        A grant that is held already is in use and must not go back.
        """
        unused = SendTo(sender, unused_release(grant))
        opened = self._open.get(grant.ask_id)
        if grant.permit_id in self._held:
            return []
        if opened is None or opened.ask.endpoint != grant.endpoint:
            return [unused]
        if grant.epoch < self._epochs.get(grant.endpoint, 0):
            return [unused]
        self._epochs[grant.endpoint] = grant.epoch
        self._open.pop(grant.ask_id)
        if now_s >= opened.asked_s + grant.start_s:
            refusal = _refusal(opened.ask, 'busy', grant.expected_wait_s)
            return [unused, refusal]
        self._held[grant.permit_id] = sender
        return [Granted(grant)]

    def busy(
        self, now_s: float, sender: str, busy: PermitBusy
    ) -> list[PermitAction]:
        """Take a refusal; without a coordinator, fall back on the share."""
        opened = self._open.get(busy.ask_id)
        if opened is None or opened.coordinator != sender:
            return []
        self._open.pop(busy.ask_id)
        if busy.reason == 'busy':
            return [Refused(busy)]
        announce = self._announces.get(busy.endpoint)
        current = announce is None or announce.instance == sender
        if current and busy.reason == 'not_coordinator':
            self._ended_until_s[busy.endpoint] = now_s + _ENDED_S
        return [self._share(now_s, opened.ask) if current else Refused(busy)]

    def give_back(
        self, now_s: float, release: PermitRelease
    ) -> list[PermitAction]:
        """Give a permit back; a permit that is not held is ignored."""
        granter = self._held.pop(release.permit_id, None)
        if granter is None:
            return []
        if release.permit_id.startswith(_SHARE):
            if release.incarnation is not None:
                cold_until_s = now_s + _COLD_S
                self._cold_until_s[release.endpoint] = cold_until_s
            return []
        current = self.coordinator_of(now_s, release.endpoint) or granter
        return [SendTo(current, release)]

    def tick(self, now_s: float) -> list[PermitAction]:
        """Give up asks whose answer did not come."""
        overdue = [
            opened for opened in self._open.values() if opened.is_overdue(now_s)
        ]
        for late in overdue:
            self._open.pop(late.ask.ask_id)
        return [_refusal(opened.ask, 'busy', 0) for opened in overdue]

    def _share(self, now_s: float, ask: PermitAsk) -> PermitAction:
        """Take a permit of the fixed share.

        Whether the endpoint is warm is only known right before the start,
        from its status; see :func:`may_start`.
        """
        endpoint = self._endpoints.get(ask.endpoint)
        if endpoint is None:
            return _refusal(ask, 'not_coordinator', 0)
        cold = now_s < self._cold_until_s.get(ask.endpoint, now_s)
        permits = sum(
            permit_id.startswith(_SHARE) and name == ask.endpoint
            for permit_id, name in self._held.items()
        )
        shared = endpoint.warm_requests * _SHARED_PART
        share = max(1, int(shared / self._instances))
        if cold or permits >= share:
            return _refusal(ask, 'busy', PERMIT_START_S)
        permit_id = f'{_SHARE}{ask.ask_id}'
        self._held[permit_id] = ask.endpoint
        return Granted(
            PermitGrant(
                ask_id=ask.ask_id,
                permit_id=permit_id,
                endpoint=ask.endpoint,
                # An engine that checks fencing refuses epochs below the last.
                epoch=self._epochs.get(ask.endpoint, 0),
                start_s=PERMIT_START_S,
                incarnation=EndpointIncarnation(),
            )
        )


def may_start(
    grant: PermitGrant,
    asked_s: float,
    now_s: float,
    status: EngineStatus | None,
) -> bool:
    """Return whether work under ``grant`` may be sent right now.

    :param asked_s: monotonic time before the ask was made.
    :param status: what the engine just said on the connection that the work
        will use; ``None`` for a plain service, which has no status.
    """
    if now_s >= asked_s + grant.start_s:
        return False
    if status is None:
        return not grant.incarnation.start_id
    if grant.permit_id.startswith(_SHARE):
        return status.is_warm
    return status.incarnation == grant.incarnation


def _refusal(ask: PermitAsk, reason: str, wait_s: float) -> Refused:
    return Refused(
        PermitBusy(
            ask_id=ask.ask_id,
            endpoint=ask.endpoint,
            reason=reason,
            expected_wait_s=wait_s,
        )
    )

"""An instance's permits: open asks, permits held and fixed shares.

A permit must be used within ``start_s``, counted from before its ask was sent.
:func:`may_start` is called right before the first byte of the work is sent,
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

#: Fraction of a warm endpoint's request limit that the fixed shares of all
#: instances take together.
_SHARED_FRACTION: Final = 0.5
_SHARE_PREFIX: Final = 'share:'
#: An ask is given up when its answer is later than its wait by this much.
_ANSWER_MARGIN_S: Final = 0.5
#: An instance that said it is no coordinator is not asked for this long.
_NOT_COORDINATOR_PAUSE_S: Final = 1.0
#: The fixed share is not used for this long after the endpoint's status did
#: not allow a start, for example because the endpoint is cold.
_COLD_PAUSE_S: Final = 1.0


@final
@dataclass(slots=True, frozen=True)
class Granted:
    """The ask was granted."""

    grant: PermitGrant


@final
@dataclass(slots=True, frozen=True)
class Refused:
    """The ask was refused."""

    busy: PermitBusy


PermitAction = SendTo | Granted | Refused


@final
@dataclass(slots=True, frozen=True)
class _OpenAsk:
    """An ask that waits for the answer of its coordinator."""

    ask: PermitAsk
    asked_s: float
    coordinator: str

    def is_overdue(self, now_s: float) -> bool:
        return now_s > self.asked_s + self.ask.wait_s + _ANSWER_MARGIN_S


@final
class Permits:
    """Requests permits from coordinators and tracks those held."""

    def __init__(self) -> None:
        """Start without endpoints, coordinators and members."""
        self._endpoints: Mapping[str, EndpointSettings] = {}
        self._alive_instances: frozenset[str] = frozenset()
        self._instance_count = 1
        self._announces: dict[str, CoordinatorAnnounce] = {}
        #: By endpoint, set when its instance said that it is no coordinator.
        self._not_asked_until_s: dict[str, float] = {}
        #: Highest epoch seen of each endpoint.
        self._epochs: dict[str, int] = {}
        self._open_asks: dict[str, _OpenAsk] = {}
        #: Granting instance by permit id; for the fixed share, the endpoint.
        self._held: dict[str, str] = {}
        self._cold_until_s: dict[str, float] = {}

    def configure(self, endpoints: Iterable[EndpointSettings]) -> None:
        """Set the endpoints of the configuration in force."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}

    def update_members(self, alive: Iterable[str], instance_count: int) -> None:
        """Update the members of the fleet.

        :param alive: members that are alive or leaving, including this one.
        :param instance_count: number of all known members.
        """
        self._alive_instances = frozenset(alive)
        self._instance_count = max(1, instance_count)

    def update_coordinator(self, announce: CoordinatorAnnounce) -> None:
        """Apply an announcement, unless a newer epoch was seen."""
        epoch = self._epochs.get(announce.endpoint, 0)
        if announce.epoch < epoch:
            return
        if announce.epoch > epoch:
            self._not_asked_until_s.pop(announce.endpoint, None)
        self._epochs[announce.endpoint] = announce.epoch
        self._announces[announce.endpoint] = announce

    def coordinator_of(self, now_s: float, endpoint: str) -> str | None:
        """Return the instance to ask, if one is alive and not paused."""
        announce = self._announces.get(endpoint)
        if announce is None or announce.instance not in self._alive_instances:
            return None
        if now_s < self._not_asked_until_s.get(endpoint, now_s):
            return None
        return announce.instance

    def ask(self, now_s: float, ask: PermitAsk) -> list[PermitAction]:
        """Ask for a permit, or take one from the fixed share."""
        coordinator = self.coordinator_of(now_s, ask.endpoint)
        if coordinator is None:
            return [self._take_share(now_s, ask)]
        self._open_asks[ask.ask_id] = _OpenAsk(ask, now_s, coordinator)
        return [SendTo(coordinator, ask)]

    def handle_grant(
        self, now_s: float, sender: str, grant: PermitGrant
    ) -> list[PermitAction]:
        """Accept a grant, or return it when it is outdated or too late.

        A duplicate of a held grant is ignored: its permit is in use and must
        not be returned.
        """
        unused = SendTo(sender, unused_release(grant))
        open_ask = self._open_asks.get(grant.ask_id)
        if grant.permit_id in self._held:
            return []
        if open_ask is None or open_ask.ask.endpoint != grant.endpoint:
            return [unused]
        if grant.epoch < self._epochs.get(grant.endpoint, 0):
            return [unused]
        self._epochs[grant.endpoint] = grant.epoch
        self._open_asks.pop(grant.ask_id)
        if now_s >= open_ask.asked_s + grant.start_s:
            refusal = _refusal(open_ask.ask, 'busy', grant.expected_wait_s)
            return [unused, refusal]
        self._held[grant.permit_id] = sender
        return [Granted(grant)]

    def handle_busy(
        self, now_s: float, sender: str, busy: PermitBusy
    ) -> list[PermitAction]:
        """Handle a refusal.

        Without a working coordinator, fall back to the fixed share.
        """
        open_ask = self._open_asks.get(busy.ask_id)
        if open_ask is None or open_ask.coordinator != sender:
            return []
        self._open_asks.pop(busy.ask_id)
        if busy.reason == 'busy':
            return [Refused(busy)]
        announce = self._announces.get(busy.endpoint)
        is_current = announce is None or announce.instance == sender
        if is_current and busy.reason == 'not_coordinator':
            self._not_asked_until_s[busy.endpoint] = (
                now_s + _NOT_COORDINATOR_PAUSE_S
            )
        return [
            self._take_share(now_s, open_ask.ask)
            if is_current
            else Refused(busy)
        ]

    def return_permit(
        self, now_s: float, release: PermitRelease
    ) -> list[PermitAction]:
        """Return a permit; one that is not held is ignored."""
        granter = self._held.pop(release.permit_id, None)
        if granter is None:
            return []
        if release.permit_id.startswith(_SHARE_PREFIX):
            if release.incarnation is not None:
                cold_until_s = now_s + _COLD_PAUSE_S
                self._cold_until_s[release.endpoint] = cold_until_s
            return []
        coordinator = self.coordinator_of(now_s, release.endpoint) or granter
        return [SendTo(coordinator, release)]

    def tick(self, now_s: float) -> list[PermitAction]:
        """Give up asks whose answer is overdue."""
        overdue = [
            open_ask
            for open_ask in self._open_asks.values()
            if open_ask.is_overdue(now_s)
        ]
        for overdue_ask in overdue:
            self._open_asks.pop(overdue_ask.ask.ask_id)
        return [_refusal(open_ask.ask, 'busy', 0) for open_ask in overdue]

    def _take_share(self, now_s: float, ask: PermitAsk) -> PermitAction:
        """Take a permit from the fixed share.

        Only :func:`may_start` checks that the endpoint is warm, since that is
        known from its status right before the work is sent.
        """
        endpoint = self._endpoints.get(ask.endpoint)
        if endpoint is None:
            return _refusal(ask, 'not_coordinator', 0)
        is_cold = now_s < self._cold_until_s.get(ask.endpoint, now_s)
        shares_held = sum(
            permit_id.startswith(_SHARE_PREFIX) and name == ask.endpoint
            for permit_id, name in self._held.items()
        )
        shared = endpoint.warm_requests * _SHARED_FRACTION
        share = max(1, int(shared / self._instance_count))
        if is_cold or shares_held >= share:
            return _refusal(ask, 'busy', PERMIT_START_S)
        permit_id = f'{_SHARE_PREFIX}{ask.ask_id}'
        self._held[permit_id] = ask.endpoint
        return Granted(
            PermitGrant(
                ask_id=ask.ask_id,
                permit_id=permit_id,
                endpoint=ask.endpoint,
                # An engine that checks fencing refuses lower epochs.
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
    """Return whether work under ``grant`` may be sent at ``now_s``.

    :param asked_s: monotonic time before the ask was sent.
    :param status: status that the engine has just sent on the connection of
        the work; ``None`` for a plain service, which has no status.
    """
    if now_s >= asked_s + grant.start_s:
        return False
    if status is None:
        return not grant.incarnation.start_id
    if grant.permit_id.startswith(_SHARE_PREFIX):
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

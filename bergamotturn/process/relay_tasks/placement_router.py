"""Routing decisions on one request that depend on all other requests."""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from random import Random
from typing import Final, final

from ...errors import ErrorKind
from ...request.relay.call import RelayCall
from ...version.serving import ServedService, ServingIndex
from ...version.serving_settings import QueueingSettings
from ..endpoints.quarantine_table import QuarantineTable
from ..endpoints.quarantined_part import QuarantinedPart
from ..endpoints.retry_budget import RetryBudget
from ..endpoints.table import EndpointTable, Exclusions
from ..placement.plan import (
    PlacementCandidate,
    PlacementPolicy,
    PlacementRequest,
    Plan,
    Refusal,
)
from ..queueing.crowded_shorts import offered_engines
from ..queueing.tight_gaps import has_short_waits

__all__ = ('PlacementRouter', 'short_prefill_s')

#: Maximum share of the shortest promised token gap of a service that the
#: prefill of one prompt may take; the rest is for the engine pass itself and
#: the network.
_MAX_PREFILL_SHARE: Final = 0.8
#: Minimum of the longest short prefill, for services whose promised token gap
#: leaves less.
_MIN_SHORT_PREFILL_S: Final = 0.05
#: Longest short prefill at services that promise no token gap.
_DEFAULT_SHORT_PREFILL_S: Final = 0.2
#: A new endpoint is listed, and an ejected one is back, within about a second.
_NO_ENDPOINT_RETRY_S: Final = 1.0
#: Minimum wait that callers are asked for while all endpoints have a limit or
#: have asked for a pause.
_MIN_LIMITED_RETRY_S: Final = 0.2
#: Time from the first configuration in which the load of engines counts as
#: unknown. It covers the start of instances that start together, and the
#: connections that work updates need.
_LOAD_UNKNOWN_S: Final = 0.5
#: Time after which a request that waits for a permit is placed again. A permit
#: takes a round trip to another instance.
_RECHECK_S: Final = 0.01


@final
class PlacementRouter:
    """Chooses endpoints for requests from the state that one instance has."""

    def __init__(
        self,
        table: EndpointTable,
        budget: RetryBudget,
        policy: PlacementPolicy,
        random: Random,
        queueing: QueueingSettings | None = None,
    ) -> None:
        """Use the endpoints of ``table`` and the retries of ``budget``."""
        self._table = table
        self._retry_budget = budget
        self._policy = policy
        self._random = random
        self._queueing = queueing or QueueingSettings()
        self._index: ServingIndex | None = None
        self._load_known_s = float('-inf')
        self._short_prefill_s: dict[str, float] = {}
        self._quarantined = QuarantineTable()

    def use_queueing(self, queueing: QueueingSettings) -> None:
        """Apply other settings from now on."""
        self._queueing = queueing

    def has_short_waits(self, service: ServedService) -> bool:
        """Return whether bursts of shorts at ``service`` are spread."""
        if self._index is None:
            return False
        return has_short_waits(self._queueing, self._index, service)

    def begin(self, now_s: float) -> None:
        """Count the load of engines as unknown for a time from the start."""
        self._load_known_s = now_s + _LOAD_UNKNOWN_S

    def use_index(self, index: ServingIndex) -> None:
        """Replace the configuration."""
        self._index = index
        self._short_prefill_s = {
            name: short_prefill_s(index, service)
            for name, service in index.services.items()
        }

    def quarantine(
        self, now_s: float, parts: Iterable[QuarantinedPart]
    ) -> None:
        """Refuse prompts with one of ``parts`` until its quarantine ends."""
        for known in self._quarantined:
            if known.until_s <= now_s:
                self._quarantined.remove(known.part)
        for each in parts:
            self._quarantined.add(each)

    def release(self, parts: Iterable[str]) -> None:
        """Place prompts with ``parts`` again."""
        for part in parts:
            self._quarantined.remove(part)

    def quarantine_refusal(
        self, now_s: float, call: RelayCall
    ) -> Refusal | None:
        """Return why the prompt of a request must not be sent, if so."""
        known = self._quarantined.refusing(now_s, call.shared_parts)
        if known is None:
            return None
        return Refusal(
            kind=ErrorKind.prompt_quarantined,
            retry_after_s=known.until_s - now_s,
            reason='part_quarantined',
        )

    def service(self, name: str) -> ServedService | None:
        """Return the service called ``name``, or None if there is none."""
        return None if self._index is None else self._index.services.get(name)

    def place(
        self, now_s: float, call: RelayCall, tried: frozenset[str]
    ) -> Plan | Refusal:
        """Return the plan for a request, or why it is refused.

        :param tried: ids of endpoints that the request was sent to before.
        """
        service = self.service(call.service)
        if service is None:
            return Refusal(
                kind=ErrorKind.endpoint_unavailable, reason='no_such_service'
            )
        refusal = self.quarantine_refusal(now_s, call)
        if refusal is not None:
            return refusal
        candidates, excluded = self._table.candidates(now_s, service, tried)
        outcome = self._choose(now_s, call, service, candidates, excluded)
        if not excluded.limited:
            return outcome
        return self._ask_for_permits(now_s, call, service, tried, outcome)

    def _choose(
        self,
        now_s: float,
        call: RelayCall,
        service: ServedService,
        candidates: Sequence[PlacementCandidate],
        excluded: Exclusions,
    ) -> Plan | Refusal:
        if not candidates:
            return self._refuse(now_s, service, excluded)
        request = PlacementRequest(
            service=service,
            prompt_tokens=call.prompt_tokens if service.engine else 0,
            output_tokens=call.output_tokens,
            objective_s=max(0, call.arrived_s + call.route.objective_s - now_s),
            left_s=call.deadline_s - now_s,
            short_prefill_s=self._short_prefill_s.get(call.service, 0),
            known_engines=self._known_engines(call),
            is_load_unknown=now_s < self._load_known_s,
            route=call.route.name,
            hinted_tokens=call.hinted_tokens,
        )
        if self.has_short_waits(service):
            candidates = offered_engines(
                now_s, request, candidates, self._random
            )
        outcome = self._policy.choose(now_s, request, candidates, self._random)
        outcome.inputs.update(excluded.as_fields())
        return outcome

    def _known_engines(self, call: RelayCall) -> int:
        """Count the engines of a long prompt's service, usable or not."""
        if not self.is_long(call):
            return 0
        return sum(
            entry.service == call.service for entry in self._table.entries()
        )

    def _refuse(
        self, now_s: float, service: ServedService, excluded: Exclusions
    ) -> Refusal:
        inputs = excluded.as_fields()
        if excluded.limited or excluded.paused:
            wait_s = self._table.wait_s(now_s, service.name)
            return Refusal(
                kind=ErrorKind.overloaded,
                retry_after_s=max(wait_s, _MIN_LIMITED_RETRY_S),
                reason='rate_limited' if excluded.limited else 'paused',
                inputs=inputs,
            )
        return Refusal(
            kind=ErrorKind.endpoint_unavailable,
            retry_after_s=_NO_ENDPOINT_RETRY_S,
            reason='no_endpoint',
            inputs=inputs,
        )

    def _ask_for_permits(
        self,
        now_s: float,
        call: RelayCall,
        service: ServedService,
        tried: frozenset[str],
        outcome: Plan | Refusal,
    ) -> Plan | Refusal:
        """Ask for permits for the endpoints that would be chosen with them.

        :param outcome: the decision without them.
        :returns: ``outcome``, as a refusal to be checked again if a permit may
            come.
        """
        candidates, excluded = self._table.candidates(
            now_s, service, tried, with_limited=True
        )
        wish = self._choose(now_s, call, service, candidates, excluded)
        if isinstance(wish, Refusal):
            return outcome
        self._table.rate_limits.want(now_s, wish.endpoint_ids)
        if isinstance(outcome, Plan):
            return outcome
        return replace(outcome, recheck_s=_RECHECK_S)

    def is_long(self, call: RelayCall) -> bool:
        """Return whether the request is long: its prefill delays others."""
        service = self.service(call.service)
        if service is None or service.engine is None:
            return False
        prefill_s = service.engine.prefill_s(call.prompt_tokens)
        return prefill_s > self._short_prefill_s[call.service]

    def may_retry(self, now_s: float, call: RelayCall) -> bool:
        """Return whether the retry budget allows another attempt now."""
        return self._retry_budget.retries_left(now_s, call.service) > 0


def short_prefill_s(index: ServingIndex, service: ServedService) -> float:
    """Return the maximum prefill time of a short request.

    A longer prefill would stretch the token gap of other answers on the same
    engine beyond what their callers are promised.
    """
    if service.engine is None:
        return 0
    gap_objectives_s = [
        min(route.gap_objective_s, route.objective_s or route.gap_objective_s)
        for route in index.configuration.routes
        if route.gap_objective_s
        and any(target.service == service.name for target in route.targets)
    ]
    if not gap_objectives_s:
        return _DEFAULT_SHORT_PREFILL_S
    pass_s = service.engine.pass_s(1, 0)
    return max(
        _MIN_SHORT_PREFILL_S,
        _MAX_PREFILL_SHARE * min(gap_objectives_s) - pass_s,
    )

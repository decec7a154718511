"""Limits the requests that a cold endpoint gets in a second.

The requests of all instances together must stay under the endpoint's limit,
also while instances cannot reach each other. Each instance keeps to its share
of the limit, so that they need not agree. The requests that other instances
report count against the whole limit as well, also at endpoints that became
cold without any instance knowing it yet.
"""

from hashlib import blake2b
from typing import Final, final

from ...version.serving import ServedService

__all__ = ('ColdEndpointLimiter',)

#: Leaves room for what other instances sent in the last milliseconds and this
#: one does not know of yet.
_SAFETY_FACTOR: Final = 0.7
_HASH_BYTES: Final = 8
_HASH_RANGE: Final = 1 << 8 * _HASH_BYTES


@final
class ColdEndpointLimiter:
    """Decides whether this instance may send requests to cold endpoints.

    :param overshoot: multiple of the service's rate for cold endpoints that
        an endpoint survives.
    :param slack_requests: requests allowed beyond that.
    """

    def __init__(
        self, instance: str, overshoot: float, slack_requests: float
    ) -> None:
        """Start as the only instance."""
        self._instance = instance
        self.update_limits(overshoot, slack_requests)
        self.instances = 1

    def update_limits(self, overshoot: float, slack_requests: float) -> None:
        """Apply other limits from now on."""
        self._overshoot = overshoot
        self._slack_requests = slack_requests

    def allows(
        self,
        service: ServedService,
        endpoint_id: str,
        fleet_requests: int,
        own_requests: int,
        *,
        is_cold: bool,
    ) -> bool:
        """Return whether the endpoint may get one more request.

        :param fleet_requests: sent to it in the last second by all instances.
        :param own_requests: sent to it in the last second by this instance.
        :param is_cold: whether it is known to be cold.
        """
        limit = self.limit(service)
        if limit is None:
            return True
        if fleet_requests + 1 > limit:
            return False
        if not is_cold:
            return True
        share = limit / self.instances
        if share >= 1:
            return own_requests + 1 <= share
        # The share is less than one request: only some instances get one.
        return not own_requests and self._hash_fraction(endpoint_id) < share

    def limit(self, service: ServedService) -> float | None:
        """Return the requests that all instances may send in a second."""
        if not service.cold_requests_per_s:
            return None
        survivable = service.cold_requests_per_s * self._overshoot
        return (survivable + self._slack_requests) * _SAFETY_FACTOR

    def _hash_fraction(self, endpoint_id: str) -> float:
        """Return a number from 0 to 1, fixed for instance and endpoint."""
        text = f'{self._instance}/{endpoint_id}'.encode()
        digest = blake2b(text, digest_size=_HASH_BYTES).digest()
        return int.from_bytes(digest, 'big') / _HASH_RANGE

"""Finds streams whose owner is gone, and ranks instances for tasks."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from typing import Final, final

from ..connection.engine_control import EngineStream
from ..connection.peer_messages import MemberState, MemberUpdate

__all__ = ('Orphans', 'alive_instances', 'rank_instances')

#: An owner that matches no known member may be newer than this instance's
#: view of the members. Within this time the view includes every new boot.
_MAX_VIEW_LAG_S: Final = 2.5
_RANK_BYTES: Final = 8
#: The ranks are needed every second and change only with the members. The
#: size is twice the number of endpoints in the largest planned fleet.
_RANK_CACHE_SIZE: Final = 2048


@final
class Orphans:
    """Finds the orphaned streams in the stream list of one endpoint."""

    __slots__ = ('_unmatched_since_s',)

    def __init__(self) -> None:
        """Start without owners that match no member."""
        self._unmatched_since_s: dict[str, float] = {}

    def find(
        self,
        now_s: float,
        streams: Sequence[EngineStream],
        members: Sequence[MemberUpdate],
    ) -> list[EngineStream]:
        """Return the streams whose owner is dead, unknown or restarted."""
        known = {member.instance: member for member in members}
        gone: set[str] = set()
        unmatched: dict[str, float] = {}
        owners = {stream.owner for stream in streams}
        for owner in owners:
            instance, _, boot_id = owner.rpartition('/')
            member = known.get(instance)
            if member is not None and member.boot_id == boot_id:
                if member.state == MemberState.dead:
                    gone.add(owner)
                continue
            since_s = self._unmatched_since_s.get(owner, now_s)
            unmatched[owner] = since_s
            if now_s - since_s >= _MAX_VIEW_LAG_S:
                gone.add(owner)
        self._unmatched_since_s = unmatched
        return [stream for stream in streams if stream.owner in gone]


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def rank_instances(group: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    """Order instances by rendezvous hash for a task at a lease group."""
    return tuple(
        sorted(
            instances,
            key=lambda instance: blake2b(
                f'{group}\n{instance}'.encode(), digest_size=_RANK_BYTES
            ).digest(),
            reverse=True,
        )
    )


def alive_instances(members: Iterable[MemberUpdate]) -> tuple[str, ...]:
    """Return the instances that are alive, in order of name."""
    alive = [
        member.instance
        for member in members
        if member.state == MemberState.alive
    ]
    return tuple(sorted(alive))

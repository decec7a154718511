"""Streams whose owner is gone, and which instance cancels them."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b
from typing import Final, final

from ..connection.engine_control import EngineStream
from ..connection.peer_messages import MemberState, MemberUpdate

__all__ = ('Orphans', 'alive_instances', 'rank_instances')

#: An owner that looks restarted or unknown may be newer than the own view of
#: the members; the view catches up with a new boot in this time.
_VIEW_LAG_S: Final = 2.5
_RANK_BYTES: Final = 8
#: Members change seldom and the ranks are asked for each second; this covers
#: the endpoints of the largest fleet planned for, twice.
_CACHED_RANKS: Final = 2048


@final
class Orphans:
    """Decides which streams of one endpoint's list are to be cancelled."""

    __slots__ = ('_doubted_since_s',)

    def __init__(self) -> None:
        """Start without any doubted owner."""
        self._doubted_since_s: dict[str, float] = {}

    def find(
        self,
        now_s: float,
        streams: Sequence[EngineStream],
        members: Sequence[MemberUpdate],
    ) -> list[EngineStream]:
        """Return the streams whose owner is dead or has another boot id."""
        known = {member.instance: member for member in members}
        gone: set[str] = set()
        doubted: dict[str, float] = {}
        owners = {stream.owner for stream in streams}
        for owner in owners:
            instance, _, boot_id = owner.rpartition('/')
            member = known.get(instance)
            if member is not None and member.boot_id == boot_id:
                if member.state == MemberState.dead:
                    gone.add(owner)
                continue
            since_s = self._doubted_since_s.get(owner, now_s)
            doubted[owner] = since_s
            if now_s - since_s >= _VIEW_LAG_S:
                gone.add(owner)
        self._doubted_since_s = doubted
        return [stream for stream in streams if stream.owner in gone]


@lru_cache(maxsize=_CACHED_RANKS)
def rank_instances(group: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    """Order instances by rendezvous hash for a duty at a lease group."""
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
    """Return the instances that can take on a duty, in order of name."""
    alive = [
        member.instance
        for member in members
        if member.state == MemberState.alive
    ]
    return tuple(sorted(alive))

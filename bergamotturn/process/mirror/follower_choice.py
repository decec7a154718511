"""Chooses which instances follow the forwarded tables of the platform.

If every instance of a large fleet waited for changes itself, each change would
cost the store one call per instance. There, a few instances of each data centre
follow the tables and forward changes to the others. The choice is computed from
the list of members, without messages: while two instances have different lists,
there is a follower too many, or changes arrive by way of the versions that all
instances send with their pings.
"""

from collections.abc import Iterable
from typing import Final, final

from ...connection.peer_messages import MemberState, MemberUpdate
from ..placement.plan import rank_of

__all__ = ('FollowerChoice',)

#: In a fleet of up to this size every instance follows the tables itself; the
#: calls of nine instances cost less than a failure of one follower.
_MAX_SMALL_FLEET: Final = 16
#: Followers of a data centre. When one fails, the other half of the data centre
#: still gets changes at once, and sends their versions with its pings.
_FOLLOWERS: Final = 2
#: Instances of a data centre that are tried while followers do not reach the
#: store. More would only add calls to a store that is down for all.
_MAX_TRIED: Final = 6
#: Time for which a follower that reported a failed call is passed over. It
#: covers the longest wait between two calls to a failing store.
_CUT_OFF_S: Final = 5.0


@final
class FollowerChoice:
    """The followers in the data centre of one instance, as it computes them.

    :param instance: the own instance.
    :param data_centre: its data centre.
    """

    __slots__ = (
        '_cut_off_until_s',
        '_data_centre',
        '_instance',
        'audience',
        'followers',
        'is_shared',
        'neighbours',
    )

    def __init__(self, instance: str, data_centre: str) -> None:
        """Start as the only instance, which follows the tables itself."""
        self._instance = instance
        self._data_centre = data_centre
        self._cut_off_until_s: dict[str, float] = {}
        #: Instances of the data centre that follow the tables.
        self.followers: tuple[str, ...] = (instance,)
        #: Instances that this one forwards changes to.
        self.audience: tuple[str, ...] = ()
        #: All other instances of the data centre that are not dead, if the
        #: fleet is large.
        self.neighbours: tuple[str, ...] = ()
        #: Whether the followers forward changes to other instances.
        self.is_shared = False

    @property
    def is_follower(self) -> bool:
        """Return whether this instance follows the tables."""
        return self._instance in self.followers

    def live_others(self, members: Iterable[MemberUpdate]) -> tuple[str, ...]:
        """Return the other instances that are not known to be dead."""
        return tuple(
            member.instance for member in members if self._is_live_other(member)
        )

    def note_cut_off(self, now_s: float, instance: str) -> None:
        """Pass over a follower that does not reach the store."""
        self._cut_off_until_s[instance] = now_s + _CUT_OFF_S

    def use_members(
        self, now_s: float, members: Iterable[MemberUpdate]
    ) -> None:
        """Choose the followers among ``members``, in an order by hash."""
        listed = tuple(members)
        self.is_shared = len(listed) > _MAX_SMALL_FLEET
        if not self.is_shared:
            self.followers = (self._instance,)
            self.audience = ()
            self.neighbours = ()
            return
        self.neighbours = tuple(
            member.instance for member in listed if self._is_neighbour(member)
        )
        candidates = sorted(
            (
                member.instance
                for member in listed
                if member.data_centre == self._data_centre
                and _is_candidate(member)
            ),
            key=rank_of,
        )
        connected = tuple(
            instance
            for instance in candidates[:_MAX_TRIED]
            if self._cut_off_until_s.get(instance, 0) <= now_s
        )[:_FOLLOWERS]
        # If the store refuses all of them, all go on trying.
        self.followers = connected or tuple(candidates[:_MAX_TRIED])
        self.audience = self._own_part()

    def _is_neighbour(self, member: MemberUpdate) -> bool:
        is_near = member.data_centre == self._data_centre
        return is_near and self._is_live_other(member)

    def _is_live_other(self, member: MemberUpdate) -> bool:
        is_other = member.instance != self._instance
        return is_other and member.state < MemberState.dead

    def _own_part(self) -> tuple[str, ...]:
        """Return the neighbours to which no other follower forwards."""
        if not self.is_follower:
            return ()
        place = self.followers.index(self._instance)
        return tuple(
            instance
            for instance in self.neighbours
            if instance not in self.followers
            and rank_of(instance) % len(self.followers) == place
        )


def _is_candidate(member: MemberUpdate) -> bool:
    """Return whether ``member`` may be a follower.

    A member that is only known from the list of instances, without a boot id,
    counts as alive: when a fleet starts, its members have not met yet.
    """
    if member.state == MemberState.alive:
        return True
    return not member.boot_id and member.state < MemberState.dead

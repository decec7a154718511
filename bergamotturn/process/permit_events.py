"""Events by which an instance's components ask for and return permits.

The components ``requests`` and ``services`` fire :class:`ask_permit` and
:class:`give_back` at :data:`PERMITS_CHANNEL`. The answer to an ask is one
:class:`permit_granted` or :class:`permit_refused` on the channel that the ask
names as its owner.
"""

from typing import Final

from circuits import Event

__all__ = (
    'PERMITS_CHANNEL',
    'ask_permit',
    'give_back',
    'permit_granted',
    'permit_refused',
)

#: Channel of the component that holds this instance's permits.
PERMITS_CHANNEL: Final = 'permits'


class ask_permit(Event):
    """Ask for a permit.

    Arguments: ``ask``, a
    :class:`~..connection.peer_messages.PermitAsk`, and ``owner``, the circuits
    channel that the answer goes to.
    """


class give_back(Event):
    """Return a permit.

    Argument: ``release``, a
    :class:`~..connection.peer_messages.PermitRelease`.
    """


class permit_granted(Event):
    """Tell the ask's owner the ``grant`` that it got.

    Argument: ``grant``, a :class:`~..connection.peer_messages.PermitGrant`.
    """


class permit_refused(Event):
    """Tell the ask's owner that it gets no permit.

    Argument: ``busy``, a :class:`~..connection.peer_messages.PermitBusy`.
    """

"""Events by which an instance's components request and return permits.

The components ``requests`` and ``services`` fire :class:`request_permit` and
:class:`return_permit` on :data:`PERMITS_CHANNEL`. The answer to an ask is one
:class:`permit_granted` or :class:`permit_refused` on the channel that the
event names as the owner.
"""

from typing import Final

from circuits import Event

__all__ = (
    'PERMITS_CHANNEL',
    'permit_granted',
    'permit_refused',
    'request_permit',
    'return_permit',
)

#: Channel of the component that manages the permits of this instance.
PERMITS_CHANNEL: Final = 'permits'


class request_permit(Event):
    """Request a permit.

    Arguments: ``ask``, a
    :class:`~..connection.peer_messages.PermitAsk`, and ``owner``, the circuits
    channel on which the answer is fired.
    """


class return_permit(Event):
    """Return a permit.

    Argument: ``release``, a
    :class:`~..connection.peer_messages.PermitRelease`.
    """


class permit_granted(Event):
    """Notify the owner of an ask that it was granted.

    Argument: ``grant``, a :class:`~..connection.peer_messages.PermitGrant`.
    """


class permit_refused(Event):
    """Notify the owner of an ask that it was refused.

    Argument: ``busy``, a :class:`~..connection.peer_messages.PermitBusy`.
    """

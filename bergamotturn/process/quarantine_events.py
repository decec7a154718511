"""Events about prompt parts that crash engines, and their channel."""

from typing import Final

from circuits import Event

__all__ = (
    'QUARANTINE',
    'attempt_interrupted',
    'endpoint_failed',
    'part_suspected',
    'parts_answered',
    'parts_quarantined',
    'parts_released',
    'quarantine_read',
)

#: Channel of the component that decides on quarantines.
QUARANTINE: Final = 'quarantine'


class endpoint_failed(Event):
    """Report to ``quarantine`` that an endpoint failed.

    Arguments: ``endpoint_id`` and ``reason``, the value of a
    :class:`~.endpoints.health.Fault`. An instance reports the failures that
    its peers saw as well.
    """


class attempt_interrupted(Event):
    """Report to ``quarantine`` that an attempt broke off early.

    The argument is a :class:`~.endpoints.part_quarantine.PartEvidence`.
    """


class parts_answered(Event):
    """Report to ``quarantine`` that a prompt with ``parts`` is answered."""


class part_suspected(Event):
    """Notify all channels of own evidence against a prompt part."""


class parts_quarantined(Event):
    """Publish prompt parts that are newly in quarantine, to all channels.

    Arguments: ``parts``, a tuple of
    :class:`~.endpoints.quarantined_part.QuarantinedPart`, and ``is_own``,
    whether this instance decided it.
    """


class parts_released(Event):
    """Publish ``parts`` that are no longer in quarantine to all channels.

    ``is_own`` says whether this instance saw that they are sound.
    """


class quarantine_read(Event):
    """Publish the quarantined ``parts`` that the store has."""

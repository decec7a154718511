"""Bodies of the requests and answers of the operators' listener."""

from typing import Literal, final

import msgspec

from ..version.configuration import Configuration
from .peer_messages import CoordinatorAnnounce, OrderUpdate

__all__ = (
    'ConfigurationReport',
    'MemberReport',
    'OrderRequest',
    'PublishRequest',
    'StatusReport',
)


@final
class MemberReport(msgspec.Struct, frozen=True, kw_only=True):
    """One member, as known to the instance that reports it.

    :param in_flight: number of requests that the member is serving.
    """

    instance: str
    boot_id: str
    data_centre: str
    state: str
    in_flight: int
    operator_address: str


@final
class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance, and of the fleet as that instance knows it."""

    instance: str
    boot_id: str
    data_centre: str
    phase: str
    in_flight: int
    configuration_version: int
    members: tuple[MemberReport, ...]
    orders: tuple[OrderUpdate, ...]
    coordinators: tuple[CoordinatorAnnounce, ...]


@final
class ConfigurationReport(msgspec.Struct, frozen=True):
    """The configuration in force; ``None`` before the first version."""

    version: int
    content: Configuration | None


@final
class PublishRequest(msgspec.Struct, frozen=True):
    """A configuration to publish.

    :param content: JSON text of a complete configuration.
    :param expected_version: the version that the author's change is based on.
    """

    content: str
    author: str
    expected_version: int


@final
class OrderRequest(msgspec.Struct, frozen=True):
    """An order that takes a target out of service or back into it.

    :param target: ``data_centre/x``, ``instance/x`` or ``endpoint/x``.
    """

    target: str
    state: Literal['in', 'out']

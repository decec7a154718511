"""Bodies that operators send and get."""

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
    """One member as the asked instance sees it.

    :param in_flight: requests that it carries.
    """

    instance: str
    boot_id: str
    data_centre: str
    state: str
    in_flight: int
    operator_address: str


@final
class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one instance knows of itself and of the fleet."""

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
    """The version in force; the content is empty before the first."""

    version: int
    content: Configuration | None


@final
class PublishRequest(msgspec.Struct, frozen=True):
    """A configuration to publish.

    :param content: JSON text of a whole configuration.
    :param expected_version: the version that the author saw.
    """

    content: str
    author: str
    expected_version: int


@final
class OrderRequest(msgspec.Struct, frozen=True):
    """An order about ``data_centre/x``, ``instance/x`` or ``endpoint/x``."""

    target: str
    state: Literal['in', 'out']

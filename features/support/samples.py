"""Messages and configurations that several steps need."""

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    EndpointIncarnation,
    PermitBusy,
    PermitGrant,
)
from bergamotturn.request.calls import ServiceCall
from bergamotturn.version.configuration import (
    Configuration,
    EndpointSettings,
    Service,
)
from bergamotturn.version.settings import PlatformSettings, Settings

__all__ = ('UNUSED', 'busy', 'call', 'fees', 'grant', 'unused_settings')

#: Address that nobody listens at.
UNUSED = Address('127.0.0.1', 1)


def unused_settings(instance, data_centre):
    """Return settings of components that open no connection by them."""
    return Settings(
        instance=instance,
        data_centre=data_centre,
        caller_address=UNUSED,
        operator_address=UNUSED,
        peer_address=UNUSED,
        platform=PlatformSettings(
            table=UNUSED, objects=UNUSED, instance_list=UNUSED
        ),
        operator_token_digest='',
    )


def fees(*names):
    """Return the service ``fees`` with endpoints at ports 8001 and up."""
    return Configuration(
        services=(Service(name='fees'),),
        endpoints=tuple(
            EndpointSettings(
                name=name,
                address=Address('10.0.0.1', 8001 + place),
                data_centre='west',
                serves='fees',
            )
            for place, name in enumerate(names)
        ),
    )


def call(call_id, deadline_s, **more):
    """Return a call to ``fees``."""
    usual = {
        'workspace': 'w',
        'service': 'fees',
        'method': 'POST',
        'path': '/charge',
        'headers': (),
        'body': b'',
        'idempotency_key': 'k',
        'arrived_s': 0,
    }
    return ServiceCall(call_id=call_id, deadline_s=deadline_s, **(usual | more))


def grant(ask, start_s=1):
    """Return a permit for ``ask``."""
    return PermitGrant(
        ask_id=ask.ask_id,
        permit_id=ask.ask_id,
        endpoint=ask.endpoint,
        epoch=1,
        start_s=start_s,
        incarnation=EndpointIncarnation(),
    )


def busy(ask):
    """Return the refusal of ``ask``."""
    return PermitBusy(ask_id=ask.ask_id, endpoint=ask.endpoint, reason='busy')

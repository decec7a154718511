"""Messages and configurations that several step files use."""

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

__all__ = (
    'UNUSED_ADDRESS',
    'fees_configuration',
    'permit_busy',
    'permit_grant',
    'service_call',
    'unused_settings',
)

#: Address on which nothing listens.
UNUSED_ADDRESS = Address('127.0.0.1', 1)


def unused_settings(instance, data_centre):
    """Return settings for components that open no connections."""
    return Settings(
        instance=instance,
        data_centre=data_centre,
        caller_address=UNUSED_ADDRESS,
        operator_address=UNUSED_ADDRESS,
        peer_address=UNUSED_ADDRESS,
        platform=PlatformSettings(
            table=UNUSED_ADDRESS,
            objects=UNUSED_ADDRESS,
            instance_list=UNUSED_ADDRESS,
        ),
        operator_token_digest='',
    )


def fees_configuration(*names):
    """Return a configuration of the service ``fees``.

    Its endpoints are called ``names`` and have the ports from 8001.
    """
    return Configuration(
        services=(Service(name='fees'),),
        endpoints=tuple(
            EndpointSettings(
                name=name,
                address=Address('10.0.0.1', 8001 + number),
                data_centre='west',
                serves='fees',
            )
            for number, name in enumerate(names)
        ),
    )


def service_call(call_id, deadline_s, **changes):
    """Return a call to ``fees``, with ``changes`` to the defaults."""
    defaults = {
        'workspace': 'w',
        'service': 'fees',
        'method': 'POST',
        'path': '/charge',
        'headers': (),
        'body': b'',
        'idempotency_key': 'k',
        'arrived_s': 0,
    }
    return ServiceCall(
        call_id=call_id, deadline_s=deadline_s, **(defaults | changes)
    )


def permit_grant(ask, start_s=1):
    """Return a grant of a permit for ``ask``."""
    return PermitGrant(
        ask_id=ask.ask_id,
        permit_id=ask.ask_id,
        endpoint=ask.endpoint,
        epoch=1,
        start_s=start_s,
        incarnation=EndpointIncarnation(),
    )


def permit_busy(ask):
    """Return a refusal of ``ask`` because its endpoint is busy."""
    return PermitBusy(ask_id=ask.ask_id, endpoint=ask.endpoint, reason='busy')

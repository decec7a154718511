"""Sample routes, calls, endpoints and engines for relay and placement tests."""

from typing import Any, Final

from bergamotturn.connection.exchange import Address
from bergamotturn.process.endpoints.endpoint_load import EndpointLoad
from bergamotturn.process.endpoints.entry import EndpointEntry
from bergamotturn.process.placement.plan import (
    PlacementCandidate,
    PlacementRequest,
    rank_of,
)
from bergamotturn.request.relay.call import RelayCall
from bergamotturn.version.serving import (
    EngineProfile,
    Route,
    RouteTarget,
    ServedService,
    ServingConfiguration,
)

__all__ = (
    'ENGINE_PROFILE',
    'ENGINE_SERVICE',
    'PLAIN_SERVICE',
    'candidates',
    'engine_request',
    'entry',
    'relay_call',
    'route',
    'serving',
)

#: An engine of about the speed in the users' requirements: it prefills 177
#: tokens in a millisecond, and an event holds 51 tokens.
ENGINE_PROFILE: Final = EngineProfile(
    slots=8,
    kv_tokens=315_000,
    step_s=0.00085,
    decode_step_s=0.0000085,
    context_token_step_s=0.00000000285,
    prefill_token_s=1 / 177_000,
    prefill_pair_s=0.000184 / 1_000_000,
    chunk_tokens=2048,
    steps_per_pass=51,
    group_step_s=0.00005,
    report_lag_s=0.2,
)
ENGINE_SERVICE: Final = ServedService(
    name='letters',
    max_connections=300,
    cold_s=3,
    cold_requests_per_s=26,
    engine=ENGINE_PROFILE,
)
PLAIN_SERVICE: Final = ServedService(name='ledger', max_connections=50)


def route(**changes: Any) -> Route:
    """Return a route of resumable streams with the fields in ``changes``."""
    defaults = {
        'name': 'r',
        'host': 'h.example',
        'prefix': '/p/',
        'targets': (RouteTarget(service='letters', weight=1),),
        'is_stream': True,
        'may_resume': True,
        'timeout_s': 10,
        'objective_s': 0.3,
        'gap_objective_s': 0.25,
        'max_endpoints': 2,
    }
    return Route(**{**defaults, **changes})


def relay_call(call_route: Route, **changes: Any) -> RelayCall:
    """Return a request on the route ``call_route`` that arrived at 0 s."""
    defaults = {
        'key': 'k',
        'call_id': 'c',
        'route': call_route,
        'service': call_route.targets[0].service,
        'workspace': 'w',
        'priority': 1,
        'method': 'POST',
        'target': '/p/x',
        'headers': (),
        'body': b'',
        'prompt_tokens': 5000 if call_route.is_stream else 0,
        'output_tokens': 1000,
        'arrived_s': 0.0,
        'caller_deadline_s': 10.0,
        'deadline_s': 10.0,
    }
    return RelayCall(**{**defaults, **changes})


def entry(name: str, **changes: Any) -> EndpointEntry:
    """Return the registry entry of the endpoint ``name``."""
    defaults = {
        'endpoint_id': name,
        'service': 'letters',
        'address': Address('10.0.0.1', 1000 + rank_of(name) % 60_000),
        'data_centre': 'a',
        'slots': 8,
    }
    return EndpointEntry(**{**defaults, **changes})


def candidates(count: int) -> list[PlacementCandidate]:
    """Return idle engines, in the order in which short requests fill them."""
    found = [
        PlacementCandidate(
            entry(f'i-{number}'), EndpointLoad(), rank_of(f'i-{number}')
        )
        for number in range(count)
    ]
    return sorted(found, key=lambda candidate: candidate.rank)


def engine_request(prompt_tokens: int, **changes: Any) -> PlacementRequest:
    """Return a placement request for a prompt of ``prompt_tokens``."""
    defaults = {
        'service': ENGINE_SERVICE,
        'prompt_tokens': prompt_tokens,
        'output_tokens': 1000,
        'objective_s': 0.3 if prompt_tokens < 20_000 else 3.0,
        'left_s': 10.0,
        'short_prefill_s': 0.15,
    }
    return PlacementRequest(**{**defaults, **changes})


def serving(version_number: int = 1) -> ServingConfiguration:
    """Return a configuration with one route to engines."""
    return ServingConfiguration(
        version_number=version_number,
        routes=(route(),),
        services=(ENGINE_SERVICE, PLAIN_SERVICE),
    )

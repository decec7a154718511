"""Steps on services whose engines can't bear two usual prompts in one pass."""

from behave import given, then
from msgspec.structs import replace

from bergamotturn.process.queueing.tight_gaps import has_short_waits
from bergamotturn.version.serving import ServingConfiguration, ServingIndex
from bergamotturn.version.serving_settings import QueueingSettings
from features.support.relay_samples import (
    ENGINE_PROFILE,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    route,
)

_MS = 1000.0
_ANSWER_TOKENS = 1600


@given('short waits {where}')
def set_queueing(context, where):
    context.queueing = QueueingSettings(
        short_waits=where != 'nowhere',
        only_tight_gaps=where == 'where gaps are tight',
    )


@given('engines with prompts of {prompt_tokens:d} tokens as usual')
def set_engine(context, prompt_tokens):
    profile = replace(
        ENGINE_PROFILE,
        usual_prompt_tokens=prompt_tokens,
        usual_output_tokens=_ANSWER_TOKENS,
    )
    context.service = replace(ENGINE_SERVICE, engine=profile)


@given('promised gaps of {gaps_ms} ms')
def set_gaps(context, gaps_ms):
    context.routes = tuple(
        route(gap_objective_s=int(gap_ms) / _MS)
        for gap_ms in gaps_ms.split(',')
    )


@then('the service {has} short waits')
def service_has(context, has):
    assert _has(context, context.service, context.routes) is (has == 'has')


@then("the plain service hasn't short waits")
def plain_service_has_not(context):
    assert not _has(context, PLAIN_SERVICE, ())


def _has(context, service, routes):
    configuration = ServingConfiguration(
        version_number=1, routes=routes, services=(service,)
    )
    index = ServingIndex(configuration)
    return has_short_waits(context.queueing, index, service)

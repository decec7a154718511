"""Steps on publication and adoption of configuration versions."""

from behave import given, then, when

from bergamotturn.connection.peer_messages import ConfigurationContent
from bergamotturn.connection.store_events import StoreOutcome, StoreStatus
from bergamotturn.version.adoption import Adopt, Adoption
from bergamotturn.version.configuration import (
    Configuration,
    encode_configuration,
)
from bergamotturn.version.publication import (
    Publication,
    PublicationRequest,
    PublicationResult,
)
from bergamotturn.version.version_row import configuration_digest
from features.support.simulation import (
    ChoiceSequence,
    EventScheduler,
    FakeStores,
)


@given('version 1 by "{author}" was accepted')
def version_accepted(context, author):
    context.stores = FakeStores(EventScheduler(ChoiceSequence(b'')))
    assert _publish(context.stores.apply, author, 0).is_ok()
    context.answer = context.stores.apply


@given('a table that is down')
def table_down(context):
    context.answer = lambda operation: StoreOutcome(
        operation_id=operation.operation_id, status=StoreStatus.unknown
    )


@when('"{author}" publishes over version {number:d}')
def publish(context, author, number):
    context.result = _publish(context.answer, author, number)


@then('the publication is refused with "{text}"')
def publication_refused(context, text):
    failure = context.result.error
    assert text in {failure.detail, failure.kind.value}, failure


@given('a starting instance that read version 2 in the table')
def starting_with_table(context):
    stores = FakeStores(EventScheduler(ChoiceSequence(b'')))
    assert _publish(stores.apply, 'ann', 0).is_ok()
    assert _publish(stores.apply, 'bob', 1).is_ok()
    context.adoption = Adoption('configuration')
    poll = context.adoption.on_tick(0, ())[0].operation
    context.adoption.on_outcome(stores.apply(poll))
    context.actions = []


@given('a starting instance without a table')
def starting_without_table(context):
    context.adoption = Adoption('configuration')
    context.adoption.on_tick(0, ())
    context.actions = []


@when('a peer sends version {number:d}')
def peer_sends(context, number):
    content = encode_configuration(Configuration())
    context.actions += context.adoption.on_content(
        ConfigurationContent(
            version_number=number,
            digest=configuration_digest(content),
            content=content,
        ),
        0.1,
    )


@then('version {number:d} is put in force')
def adopted(context, number):
    assert _adopted_numbers(context) == [number]


def _adopted_numbers(context):
    for now_s in (1, 2):
        context.actions += context.adoption.on_tick(now_s, ())
    return [
        action.version_number
        for action in context.actions
        if isinstance(action, Adopt)
    ]


def _publish(answer, author, expected_version):
    request = PublicationRequest(
        content=author.encode(),
        author=author,
        expected_version=expected_version,
        token=author,
        published_unix_s=1_800_000_000,
        owner='configuration',
    )
    publication = Publication(request, 0)
    actions = publication.start()
    while not isinstance(actions[0], PublicationResult):
        actions = publication.on_outcome(answer(actions[0].operation))
    return actions[0].result

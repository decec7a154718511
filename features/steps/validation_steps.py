"""Steps on configuration files and the burn report."""

import tomllib

from behave import given, then, when

from bergamotturn.process.burn import ServiceLevels, burn_rows
from bergamotturn.version.merge import Document, merge_documents
from bergamotturn.version.validation import validate


def _add_document(context, file):
    documents = getattr(context, 'documents', [])
    documents.append(Document(file, tomllib.loads(context.text)))
    context.documents = documents


@given('the base file')
def base_file(context):
    """Parse the text of the base file."""
    _add_document(context, 'base')


@given('the overlay file')
def overlay_file(context):
    """Parse the text of an overlay file."""
    _add_document(context, 'overlay')


@when('the files are merged')
def merge_files(context):
    """Merge and validate the files."""
    context.outcome = validate(merge_documents(context.documents))


@then('the configuration has the endpoints "{names}"')
def has_endpoints(context, names):
    """Compare the endpoints' names."""
    found = [endpoint.name for endpoint in context.outcome.ok.endpoints]
    assert found == names.split(','), found


@then(
    'the endpoint "{name}" has {kv_tokens:d} KV tokens and takes '
    '{cold_requests:d} cold request'
)
def endpoint_fields(context, name, kv_tokens, cold_requests):
    """Check one field from the base file and one from the overlay."""
    endpoint = context.outcome.ok.endpoint(name)
    assert endpoint.kv_tokens == kv_tokens
    assert endpoint.cold_requests == cold_requests


@then('these errors are reported')
def errors_reported(context):
    """Compare file and key of all errors."""
    found = {(error.file, error.key) for error in context.outcome.error}
    wanted = {(row['file'], row['key']) for row in context.table}
    assert found == wanted, context.outcome.error


@given('an instance that counted {good:d} good and {bad:d} bad answers')
def instance_counts(context, good, bad):
    """Record good and bad events at one instance."""
    levels = ServiceLevels('x', 0)
    levels.record(10, 'answered', good, bad)
    counts = getattr(context, 'counts', [])
    counts.append(levels.counts(20))
    context.counts = counts


@then('the burn rate of "{objective}" over {window_s:d} s is {rate:f}')
def burn_rate_is(context, objective, window_s, rate):
    """Compare one line of the report."""
    rates = [
        row.burn_rate
        for row in burn_rows(context.counts)
        if row.objective == objective and row.window_s == window_s
    ]
    assert rates == [rate], rates

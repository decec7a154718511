"""Steps for the era that the platform's store names in its answers."""

import json
from base64 import b64encode
from http import HTTPStatus

from behave import given, then, when

from bergamotturn.connection.exchange import Address, Header
from bergamotturn.connection.store_events import (
    RowFollow,
    RowScan,
    RowWrite,
    StoreStatus,
)
from bergamotturn.connection.store_version import (
    FIRST_ERA,
    MAX_NUMBER,
    era_of,
    store_version,
)
from bergamotturn.platform.table_format import PlatformTable

_CALL = {'operation_id': 1, 'owner': 'test', 'timeout_s': 1}
_HEADERS = {
    'no header': (),
    'an empty header': ('',),
    'a header of letters': ('two',),
    'a fraction': ('2.0',),
    'a sign': ('-2',),
    'zero': ('0',),
    'a number of 20 digits': ('9' * 20,),
    'a number of 5000 digits': ('9' * 5000,),
}
#: Versions of rows that differ from the expected one.
_ROWS = 60


@given('the store is in era {era:d}')
def in_era(context, era):
    context.adapter = PlatformTable(Address('10.0.0.9', 80))
    context.era = era
    _answer(context, _scan(), (str(era),))


@when('a wait since {number:d} of era {era:d} is answered with row {row:d}')
def answered_wait(context, number, era, row):
    wait = RowFollow(
        **_CALL,
        prefix='op/',
        since_version=store_version(era, number),
        wait_s=1,
    )
    assert (
        f'sinceRevision={number}&' in context.adapter.exchange(wait, 'x').path
    )
    context.outcome = _answer(context, wait, (str(context.era),), row)


@then('its history is lost, at version {number:d} of era {era:d}')
def lost(context, number, era):
    outcome = context.outcome
    assert outcome.status is StoreStatus.history_lost, outcome
    assert outcome.table_version == store_version(era, number), outcome
    assert not outcome.rows


@then('it says nothing, as it was late')
def says_nothing(context):
    assert context.outcome.status is StoreStatus.unknown, context.outcome
    assert not context.outcome.rows


@then('it has row {row:d} of era {era:d}')
def has_row(context, row, era):
    assert context.outcome.status is StoreStatus.found, context.outcome
    (found,) = context.outcome.rows
    assert found.row_version == store_version(era, row), found


@then(
    'a write that expects version {number:d} of era {era:d} is sent with '
    '{expected}'
)
def sent_expectation(context, number, era, expected):
    write = RowWrite(
        **_CALL,
        row_key='x/a',
        value=b'x',
        expected_version=number and store_version(era, number),
    )
    body = json.loads(context.adapter.exchange(write, 'x').body)
    (condition,) = body['expectedRevision']
    if expected == 'a number that no row has':
        # The store counts its transactions, of which it takes few a second.
        assert condition['ver'] == MAX_NUMBER, condition
        assert condition['ver'] > 2**40
    else:
        assert condition['ver'] == int(expected), condition


@then('an answer with {content} in the header Store-Era is of the first era')
def first_era(context, content):
    outcome = _answer(context, _scan(), _HEADERS[content], _ROWS)
    assert outcome.status is StoreStatus.found, outcome
    versions = [
        outcome.table_version,
        *(row.row_version for row in outcome.rows),
    ]
    assert versions == [_ROWS, _ROWS], versions
    assert {era_of(version) for version in versions} == {FIRST_ERA}


@then('the era that the store named before is still known')
def era_known(context):
    sent_expectation(context, _ROWS, context.era, str(_ROWS))
    sent_expectation(context, _ROWS, FIRST_ERA, 'a number that no row has')


def _scan():
    return RowScan(**_CALL, prefix='op/')


def _answer(context, operation, eras, row=1):
    value = b64encode(b'x').decode()
    rows = [{'table': 'op', 'part': '', 'key': 'a', 'value': value, 'ver': row}]
    body = json.dumps({'ver': row, 'rows': rows}).encode()
    headers = tuple(Header('store-era', era) for era in eras)
    return context.adapter.outcome(operation, HTTPStatus.OK, body, headers)

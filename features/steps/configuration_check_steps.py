"""Steps for the check of a configuration before it is sent."""

import json
import shutil
import subprocess
import sys
from copy import deepcopy
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from bergamotturn.configuration_check import check_files, check_row
from bergamotturn.platform.configuration_row import ConfigurationRow

_DIGEST = 'ab' * 32
_ROW_FILES = ('row', 'in_force')
_SOUND = f"""
[[deployments]]
model = "letter"
max_prompt_tokens = 500000
[[services]]
name = "ledger"
[[endpoints]]
name = "letter-1"
address = "127.0.0.1:9001"
data_centre = "a"
serves = "letter"
kv_tokens = 400000
[[endpoints]]
name = "letter-2"
address = "127.0.0.1:9002"
data_centre = "b"
serves = "letter"
kv_tokens = 400000
[[endpoints]]
name = "ledger-1"
address = "127.0.0.1:9003"
data_centre = "a"
serves = "ledger"
[[workspaces]]
name = "clerks"
uses = ["letter", "ledger"]
key_digests = ["{_DIGEST}"]
"""
_SETTINGS = """
instance = "a1"
data_centre = "a"
operator_token_digest = ""
caller_address = {host = "127.0.0.1", port = 1}
operator_address = {host = "127.0.0.1", port = 2}
peer_address = {host = "127.0.0.1", port = 3}
[platform]
table = {host = "127.0.0.1", port = 4}
objects = {host = "127.0.0.1", port = 4}
instance_list = {host = "127.0.0.1", port = 4}
[limits]
"""
_ROUTE = {
    'name': 'draft',
    'host': 'h.example',
    'prefix': '/draft/',
    'kind': 'streaming',
    'timeoutMs': 5000,
    'targetLatencyMs': 300,
    'gapAimMs': 250,
    'service': 'letters',
}
_ROW = {
    'version': 3,
    'routes': [
        _ROUTE,
        {
            **_ROUTE,
            'name': 'look',
            'prefix': '/look/',
            'kind': 'safe',
            'gapAimMs': 0,
            'service': 'ledger',
        },
    ],
    'services': [
        {
            'name': 'letters',
            'maxConnections': 300,
            'coldPerS': 10,
            'engine': {
                'slots': 8,
                'kvTokens': 315_000,
                'step_ms': 0.85,
                'read_per_s': 177_000,
            },
        },
        {'name': 'ledger', 'maxConnections': 100},
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 100_000,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15_000,
    },
    'tenants': [
        {'name': 'w', 'apiKeys': ['key-w']},
        {'name': 'v', 'apiKeys': ['key-v']},
    ],
}
_INSTANCE = """
instance = "a0"
data_centre = "a"
caller = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
peer = "127.0.0.1:4"
cold_slack = 1
[store]
address = "127.0.0.1:5"
"""


def _write(context, name, text):
    suffix = '.json' if name in _ROW_FILES else '.toml'
    context.paths[name] = context.folder / f'{name}{suffix}'
    context.paths[name].write_text(text)


def _new_folder(context):
    context.folder = Path(mkdtemp(prefix='bergamotturn-check-'))
    context.add_cleanup(shutil.rmtree, context.folder)
    context.paths = {}


@given('a base file of a sound configuration')
def base_file(context):
    _new_folder(context)
    _write(context, 'base', _SOUND)


@given('an overlay file with "{text}"')
def overlay_file(context, text):
    _write(
        context, 'overlay', text.replace('{a}', _DIGEST).replace(r'\n', '\n')
    )


@given('a settings file with "{limit}"')
def settings_file(context, limit):
    _write(context, 'settings', _SETTINGS + limit)


@when('the files are checked')
def check(context):
    files = [path for name, path in context.paths.items() if name != 'settings']
    context.report = check_files(files, context.paths.get('settings'))[0]


@then('the check reports no errors and no warnings')
def nothing_reported(context):
    assert context.report.as_text() == 'no errors, no warnings'


@then('the check reports the warning "{key}" in the {name} file')
def warning_reported(context, key, name):
    report = context.report
    assert not report.errors, report.errors
    found = [(each.file, each.key) for each in report.warnings]
    assert (str(context.paths[name]), key) in found, report.as_text()


@then(
    'the check reports errors in the settings and overlay files and no warnings'
)
def errors_reported(context):
    report = context.report
    names = [Path(each.file).stem for each in report.errors]
    assert names == ['settings', 'overlay'], report.as_text()
    assert not report.warnings, report.warnings


@given('the row of a sound serving configuration')
def sound_row(context):
    _new_folder(context)
    context.row = deepcopy(_ROW)


@given('a copy of the row that is in force')
def row_in_force(context):
    _write(context, 'in_force', json.dumps(context.row))


@given('in the row {path} is {text}')
def changed_row(context, path, text):
    *parents, last = (
        int(step) if step.isdecimal() else step for step in path.split()
    )
    part = context.row
    for step in parents:
        part = part[step]
    part[last] = json.loads(text)


@when('the row is checked')
def check_one_row(context):
    _write(context, 'row', json.dumps(context.row))
    _write(context, 'instance', _INSTANCE)
    context.report = check_row(
        context.paths['row'],
        ConfigurationRow(),
        context.paths['instance'],
        context.paths.get('in_force'),
    )


@then('the check reports the errors')
def row_errors(context):
    report = context.report
    found = [(each.file, each.key) for each in report.errors]
    file = str(context.paths['row'])
    wanted = [(file, line['key']) for line in context.table]
    assert found == wanted, report.as_text()


@then('the check reports {count:d} changes, one of them "{change}"')
def changes_reported(context, count, change):
    report = context.report
    assert len(report.changes) == count, report.changes
    assert change in report.changes, report.changes


@then('the report names no API key')
def no_key(context):
    text = context.report.as_text()
    assert 'key-w' not in text, text
    assert 'secret-w' not in text, text


@when('the verb "check" is run on the row with "{options}"')
@when('the verb "check" is run on the row with ""')
def run_check(context, options=''):
    _write(context, 'row', json.dumps(context.row))
    arguments = options.replace(
        ' in_force', f' {context.paths["in_force"]}'
    ).split()
    context.completed = subprocess.run(
        (
            sys.executable,
            '-m',
            'bergamotturn.command',
            'check',
            '--json',
            *arguments,
            str(context.paths['row']),
        ),
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it exits with {code:d} and its JSON has {reported}')
def exit_code(context, code, reported):
    completed = context.completed
    assert completed.returncode == code, completed
    if reported == 'nothing':
        assert not completed.stdout, completed.stdout
        return
    report = json.loads(completed.stdout)
    found = ', '.join(f'{len(report[name])} {name}' for name in report)
    assert found == reported, report

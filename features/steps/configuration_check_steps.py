"""Steps for the check of a configuration before it is sent."""

from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from bergamotturn.configuration_check import check_files

_DIGEST = 'ab' * 32
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


def _write(context, name, text):
    context.paths[name] = context.folder / f'{name}.toml'
    context.paths[name].write_text(text)


@given('a base file of a sound configuration')
def base_file(context):
    context.folder = Path(mkdtemp(prefix='bergamotturn-check-'))
    context.paths = {}
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

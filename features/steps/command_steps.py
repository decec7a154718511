"""Steps that run the command-line tool against a fleet of processes."""

import json
import os
import subprocess
import sys
from pathlib import Path
from tempfile import mkdtemp
from time import monotonic, sleep

from behave import given, then

from bergamotturn.process.burn import OBJECTIVES, WINDOWS_S
from features.support.cluster import Cluster
from features.support.plan import OPERATOR_TOKEN, DeploymentPlan, FleetPlan

_PLAN = FleetPlan(
    instances_per_data_centre=1,
    deployments=(DeploymentPlan(model='letter', engines=2),),
    services=('ledger',),
)
_PROPAGATION_S = 5
_DIGEST = 'ab' * 32
_EXTRA_WORKSPACE = (
    '[[workspaces]]\nname = "extra"\nuses = ["letter"]\n'
    + f'key_digests = ["{_DIGEST}"]\n'
)


@given('a fleet of three instances and files that describe it')
def start_fleet(context):
    """Start the fleet and write its configuration as TOML files."""
    context.cluster = Cluster(_PLAN)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()
    folder = Path(mkdtemp(prefix='bergamotturn-files-'))
    context.base = folder / 'base.toml'
    context.overlay = folder / 'site.toml'
    configuration = context.cluster.configuration
    context.base.write_text(_base_text(configuration))
    context.overlay.write_text(_overlay_text(configuration))


@then('"check" of the files exits with 0')
def check_passes(context):
    """Check correct files."""
    _run(context, 'check', context.base, context.overlay, code=0)


@then('"check" of a broken file exits with 1 and names file and key')
def check_fails(context):
    """Check a file with a wrong type."""
    broken = context.base.with_name('broken.toml')
    broken.write_text('[policy]\nlong_share = "much"\n')
    completed = _run(
        context, 'check', context.base, context.overlay, broken, code=1
    )
    assert str(broken) in completed.stderr, completed.stderr
    assert 'policy.long_share' in completed.stderr, completed.stderr


@then(
    '"check" with "--in-force" of the files with a workspace without a key '
    'shows a warning and what it adds'
)
def check_in_force(context):
    """Check files that differ from the version in force."""
    keyless = context.base.with_name('keyless.toml')
    keyless.write_text(
        '[[workspaces]]\nname = "extra"\nuses = ["letter"]\nkey_digests = []\n'
    )
    files = (context.base, context.overlay, keyless)
    completed = _run(context, 'check', '--in-force', '--json', *files, code=0)
    report = json.loads(completed.stdout)
    assert not report['errors'], report
    wanted = {'file': str(keyless), 'key': 'workspaces[extra].key_digests'}
    assert any(wanted.items() <= each.items() for each in report['warnings'])
    assert '+ workspaces[extra].name = "extra"' in report['changes'], report


@then('"diff" of the files shows no changes')
def diff_is_empty(context):
    """Compare the files with the version in force."""
    completed = _run(context, 'diff', context.base, context.overlay, code=0)
    assert completed.stdout == 'no changes\n', completed.stdout


@then(
    '"apply" of the files with one more workspace exits with 0 and is in '
    'force at 3 members'
)
def apply_more(context):
    """Publish a new version."""
    extra = context.base.with_name('extra.toml')
    extra.write_text(_EXTRA_WORKSPACE)
    completed = _run(
        context, 'apply', context.base, context.overlay, extra, code=0
    )
    assert 'version 2 is in force at 3 members' in completed.stdout, (
        completed.stdout
    )


@then('"diff" of the old files shows the workspace that would be removed')
def diff_shows_workspace(context):
    """Compare older files with the version in force."""
    completed = _run(
        context, 'diff', '--json', context.base, context.overlay, code=0
    )
    changes = json.loads(completed.stdout)['changes']
    assert '- workspaces[extra].name = "extra"' in changes, changes


@then('"apply" with a wrong token exits with 3')
def apply_unauthorised(context):
    """Publish with a wrong token."""
    _run(context, 'apply', context.base, context.overlay, code=3, token='x')


@then('"apply" at an address without a listener exits with 4')
def apply_unreachable(context):
    """Publish at an address without a listener."""
    servers = 'http://127.0.0.1:9'
    _run(
        context, 'apply', context.base, context.overlay, code=4, servers=servers
    )


@then('"{order}" of "{target}" is shown by "status" at every instance')
def order_is_shown(context, order, target):
    """Place an order at one instance and read the status of all."""
    _run(context, order, target, code=0)
    wanted = {'out': 'out', 'back': 'in'}[order]
    deadline_s = monotonic() + _PROPAGATION_S
    for server in _servers(context):
        while wanted not in _states(context, server, target):
            assert monotonic() < deadline_s, (server, target)
            sleep(0.1)


@then('"burn" shows every objective with the counts of {count:d} instances')
def burn_is_shown(context, count):
    """Read the burn report of the whole fleet."""
    completed = _run(context, 'burn', '--json', code=0)
    rows = json.loads(completed.stdout)['rows']
    assert len(rows) == len(OBJECTIVES) * len(WINDOWS_S), rows
    assert {row['instances'] for row in rows} == {count}, rows


def _states(context, server, target):
    completed = _run(context, 'status', '--json', code=0, servers=server)
    orders = json.loads(completed.stdout)['orders']
    return [order['state'] for order in orders if order['target'] == target]


def _servers(context):
    return [
        f'http://{instance.operator_address}'
        for instance in context.cluster.instances.values()
    ]


def _run(context, *arguments, code, token=OPERATOR_TOKEN, servers=''):
    completed = subprocess.run(
        (sys.executable, '-m', 'bergamotturn.command', *map(str, arguments)),
        env={
            **os.environ,
            'BERGAMOTTURN_SERVERS': servers or ','.join(_servers(context)),
            'BERGAMOTTURN_TOKEN': token,
        },
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == code, (
        completed.returncode,
        completed.stderr,
    )
    return completed


def _base_text(configuration):
    parts = [
        f'[[deployments]]\n{_fields(deployment)}'
        for deployment in configuration.deployments
    ]
    parts.extend(
        f'[[services]]\n{_fields(service)}'
        for service in configuration.services
    )
    parts.extend(
        f'[[workspaces]]\n{_fields(workspace)}'
        for workspace in configuration.workspaces
    )
    parts.append(f'[policy]\n{_fields(configuration.policy)}')
    return '\n'.join(parts)


def _overlay_text(configuration):
    return '\n'.join(
        f'[[endpoints]]\n{_fields(endpoint)}'
        for endpoint in configuration.endpoints
    )


def _fields(part):
    return ''.join(
        f'{name} = {_value(getattr(part, name))}\n'
        for name in part.__struct_fields__
    )


def _value(value):
    if isinstance(value, tuple):
        return json.dumps(list(value))
    if isinstance(value, bool | int | float | str):
        return json.dumps(value)
    return json.dumps(str(value))

"""Steps on the settings of a process on the users' platform."""

import json
import re
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then

from bergamotturn.version.serving_settings import load_serving_settings

_TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.toml.template'
_PLATFORM_VALUES = {
    'node': 'front-a-1',
    'zone': 'a',
    'listen': {
        'front': '10.1.0.1:8001',
        'ready': '10.1.0.1:8002',
        'control': '10.1.0.1:8003',
        'directory': '10.1.0.1:8004',
    },
    'seeds': ['10.1.0.2:8003'],
    'limits': {'maxFds': 4100},
    'bounds': {
        'graceS': 8,
        'retryBudgetRatio': 0.2,
        'budgetWindowS': 10,
        'budgetSlack': 106,
        'coldOvershoot': 1.5,
        'coldSlack': 5,
        'ttl_max_s': 5,
        'freeMs': 4000,
        'configApplyMs': 3000,
        'drainMs': 2000,
    },
    'platform': {'address': '10.2.0.1:8223', 'historyS': 20},
}


@then('the rendered template of the deployment folder is read as settings')
def template_loads(context):
    settings = _load(_PLATFORM_VALUES)
    assert settings.is_ok(), settings
    assert settings.ok.caller_address.port == 8001
    assert settings.ok.peers[0].host == '10.1.0.2'
    assert settings.ok.repeat_slack == 106
    assert settings.ok.in_force_s == 2


@then(
    'the template rendered without "{bound}" is read as settings with '
    'cold_slack {slack:d}'
)
def bound_missing(context, bound, slack):
    bounds = dict(_PLATFORM_VALUES['bounds'])
    del bounds[bound]
    settings = _load({**_PLATFORM_VALUES, 'bounds': bounds})
    assert settings.is_ok(), settings
    assert settings.ok.cold_slack == slack


def _load(fields):
    text = _render(fields, _TEMPLATE.read_text())
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text(text)
        return load_serving_settings(path)


def _render(fields, template):
    """Render the values and sections of a template as the platform does."""

    def section(found):
        return '' if _lookup(fields, found[1]) is None else found[2]

    def value(found):
        return json.dumps(_lookup(fields, found[1]))

    text = re.sub(r'{{#([\w.]+)}}(.*?){{/\1}}', section, template)
    return re.sub(r'{{([\w.]+)\|json}}', value, text)


def _lookup(fields, path):
    value = fields
    for name in path.split('.'):
        value = value.get(name)
    return value

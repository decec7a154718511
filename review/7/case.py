"""The last tenant leaves: its keys, and any others, go on being served."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit-2'))

from standins import HOST, KEY, Fleet, call, configuration, main, now_s  # noqa: E402

UNKNOWN_KEY = 'anfqasnmgkcuyj8pjbvk'
OTHER_KEY = 'qk2ctnfzs989anu6wsjx'
CONFIG_APPLY_S = 2.0
#: Beyond the bound, so that no request is near it.
MARGIN_S = 2.0
ROUNDS = 10


async def send(fleet, instance, key):
    request = fleet.next_id()
    fields = {
        'Host': HOST,
        'Request-Id': request,
        'Request-Deadline': '1000',
        'X-Api-Key': key,
    }
    fleet.record.note('sent', request=request, instance=instance.host, key=key)
    got = await call(instance.front, 'POST', '/book/1', fields, b'{"fee":1}', 3)
    fleet.record.note('answered', request=request, status=got.status, body=got.body[:60])
    return request, got


async def case(folder, trouble):
    async with Fleet(folder, engines=2, plain=3) as fleet:
        runs = {}
        for each in fleet.plain:
            each.on_arrival = lambda request, fields: runs.__setitem__(
                request, fields.get('tenant-id', '(none)')
            )
        before = [await send(fleet, each, KEY) for each in fleet.instances]
        assert all(got.status == 200 for _, got in before), 'not served in calm'
        # Version 8 takes the only tenant away. Without trouble, another one is
        # left.
        left = [] if trouble else [{'name': 'puxa403', 'apiKeys': [OTHER_KEY]}]
        fleet.store.put('op', 'config', configuration(8, tenants=left))
        acknowledged_s = now_s()
        fleet.record.say(f'{acknowledged_s:.3f} version 8 acknowledged, tenants {left}')
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        dropped, unknown = [], []
        for _ in range(ROUNDS):
            for each in fleet.instances:
                dropped.append(await send(fleet, each, KEY))
                unknown.append(await send(fleet, each, UNKNOWN_KEY))
            await asyncio.sleep(0.2)
        if not trouble:
            other = [await send(fleet, each, OTHER_KEY) for each in fleet.instances]
            assert all(got.status == 200 for _, got in other), 'version 8 not served'
        ran = {
            name: [(request, runs[request]) for request, _ in sent if request in runs]
            for name, sent in (('dropped', dropped), ('unknown', unknown))
        }
        for name, found in ran.items():
            fleet.record.say(
                f'requests with the {name} key sent later than configApplyMs: '
                f'{ROUNDS * len(fleet.instances)}, run by engines: {len(found)} '
                f'{found[:3]}'
            )
        return bool(ran['dropped'] or ran['unknown'])


main(case, FOLDER)

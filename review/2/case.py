"""Another writer leaves an entry that can't be read; after a restart nothing is served."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import CannotRun, Fleet, ask, main, trouble  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BEFORE_S, DOWN_S, RECOVER_S, AFTER_S = 5, 1.2, 12, 8
PER_S = 30
#: 2 KB of brackets that are never closed, in a field that no page names.
ENTRY = b'{"service":"model","note":' + b'[' * 2048


async def case():
    random.seed(3)
    async with Fleet(FOLDER, instances=3, models=4, desks=3) as fleet:
        await fleet.start()
        record, tasks, results = (
            fleet.record,
            [],
            {'before': [], 'recovering': [], 'after': []},
        )

        async def client(phase, request_id):
            if random.random() < 0.7:
                method, target, headers = (
                    'POST',
                    '/draft/letter',
                    (
                        ('Token-Count', '100,400'),
                        ('Model-Id', 'm'),
                        ('Prompt-Prefix', f'aa:40,{request_id}:60'),
                    ),
                )
            else:
                method, target, headers = 'GET', '/look/member', ()
            body = b'x' * 600 if method == 'POST' else b''
            answer = await ask(
                fleet.front(),
                method,
                target,
                request_id,
                body,
                headers,
                wait_s=2,
            )
            results[phase].append(answer.status == 200 and answer.is_complete)
            record(
                f'client {request_id} ({phase}): {answer} {answer.body[:90] if answer.status != 200 else ""}'
            )

        async def traffic(phase, for_s):
            until = time.monotonic() + for_s
            while time.monotonic() < until:
                number = sum(map(len, results.values())) + len(tasks)
                tasks.append(
                    asyncio.create_task(
                        client(
                            phase, f'r{number:05d}-{random.getrandbits(24):06x}'
                        )
                    )
                )
                await asyncio.sleep(1 / PER_S)

        await traffic('before', BEFORE_S / 2)
        if trouble():
            fleet.store.put('servers', 'i-other-writer', ENTRY)
            record(
                'another writer puts servers/i-other-writer, which is no JSON'
            )
        await traffic('before', BEFORE_S / 2)
        await asyncio.gather(*tasks)
        for instance in fleet.instances:
            instance.kill()
        await asyncio.sleep(DOWN_S)
        for instance in fleet.instances:
            instance.start()
        record('all processes are back')
        await traffic('recovering', RECOVER_S)
        for instance in fleet.instances:
            record(
                f'{instance.name} says it is ready: {await instance.is_ready()}'
            )
        await traffic('after', AFTER_S)
        await asyncio.gather(*tasks)

        def share(phase):
            return sum(results[phase]) / len(results[phase])

        for phase in results:
            record.say(
                f'{phase}: {sum(results[phase])} of {len(results[phase])} requests served'
            )
        if share('before') < 0.8:
            raise CannotRun('the fleet does not serve')
        if share('after') < 0.25:
            record.say(
                f'RECOVER: {share("after"):.3f} served later than recoverS after the processes were back'
            )
        return share('after') < 0.25


main(case)

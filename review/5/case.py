"""One part of prompts crashes engines, which start again under their ids."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import CannotRun, Engine, Fleet, ask, main, trouble  # noqa: E402

FOLDER = Path(__file__).resolve().parent
LENGTH_S, CONTACT_S = 70, 3
SOUND_PER_S = 10
DEADLY_EVERY_S = 3.5
BACK_S = 2.0
DEADLY = 'dd00dd00'


class CrashingEngine(Engine):
    """Crashes when it begins to write an answer on the deadly part."""

    events, event_s = 8, 0.03
    is_down = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals, self.crashes, self.tasks = [], [], []

    async def run(self, request, request_id, writer, channel):
        parts = [
            each.split(':')[0]
            for each in request.get('prompt-prefix').split(',')
        ]
        if DEADLY not in parts[:-1]:
            return await super().run(request, request_id, writer, channel)
        self.arrivals.append(time.monotonic())
        self.record(f'engine {self.id} gets {request_id} with the deadly part')
        await asyncio.sleep(self.work_s)
        self.tasks.append(asyncio.create_task(self.crash(request_id)))
        return 'close'

    async def crash(self, request_id):
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        self.record(
            f'engine {self.id} crashes on {request_id}, with {self.running} others'
        )
        await self.stop()
        await asyncio.sleep(BACK_S)
        # It starts again at its address and under its id, and knows nothing.
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=16 * 2**20
        )
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.store.put('servers', self.id, self.entry())
        self.record(f'engine {self.id} is back')


async def case():
    random.seed(5)
    async with Fleet(
        FOLDER, instances=3, models=8, desks=2, engine=CrashingEngine
    ) as fleet:
        await fleet.start()
        record, tasks, sound = fleet.record, [], []

        async def client(request_id, parts):
            # Every second sound stream may not be resumed: what a crash cuts is lost.
            path = (
                '/watch/letter'
                if DEADLY not in parts and random.random() < 0.5
                else '/draft/letter'
            )
            answer = await ask(
                fleet.front(),
                'POST',
                path,
                request_id,
                b'x' * 1200,
                (
                    ('Token-Count', '5000,1000'),
                    ('Model-Id', 'm'),
                    ('Prompt-Prefix', parts),
                ),
            )
            record(f'client {request_id} {path}: {answer}')
            if DEADLY not in parts:
                sound.append(answer.status == 200 and answer.is_complete)

        began, next_deadly_s, number = time.monotonic(), 5.0, 0
        while (at_s := time.monotonic() - began) < LENGTH_S:
            number += 1
            if trouble() and at_s >= next_deadly_s:
                next_deadly_s += DEADLY_EVERY_S
                parts = f'aa00aa00:40,{DEADLY}:4000,{number:08x}:960'
                tasks.append(
                    asyncio.create_task(client(f'deadly{number:05d}', parts))
                )
            parts = f'aa00aa00:40,{number:08x}:4960'
            tasks.append(
                asyncio.create_task(client(f'sound{number:05d}', parts))
            )
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*tasks)
        served = sum(sound) / len(sound)
        crashes = sorted(
            when for engine in fleet.engines for when in engine.crashes
        )
        arrivals = sorted(
            when for engine in fleet.engines for when in engine.arrivals
        )
        record.say(
            f'{len(sound)} sound requests, {served:.3f} served; {len(arrivals)} arrivals with the deadly part, '
            f'{len(crashes)} crashes at {sum(bool(each.crashes) for each in fleet.engines)} engines'
        )
        if served < 0.5:
            raise CannotRun('most sound requests are not served')
        if len(crashes) < 5:
            return False
        late = [when for when in arrivals if when > crashes[4] + CONTACT_S]
        record.say(
            f'{len(late)} arrivals later than contactMs after the fifth crash; three are allowed'
        )
        return len(late) > 3


main(case)

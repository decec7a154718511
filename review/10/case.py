"""Sound prompts of a caller with batch jobs are refused, not the deadly part."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit-2'))

from parts import CONTACT_S, FIRST_PART, PartEngine, PartLoad  # noqa: E402
from standins import Fleet, main, now_s  # noqa: E402

#: Instructions that follow the documents of each prompt of this caller.
TAIL = ('bbbb0001:100',)
BATCH = 10
BATCH_INTERVAL_S = 12.0
BATCHES_BEFORE = 3
#: The deadly prompts begin this long after a batch.
PAUSE_S = 6.0
DEADLY_INTERVAL_S = 0.5
BATCHES_AFTER = 4
MIN_SAMPLES = 20


async def case(folder, trouble):
    async with Fleet(folder, engines=6, engine_class=PartEngine) as fleet:
        load = PartLoad(fleet, (f'{FIRST_PART}:40',), TAIL, trouble=trouble)
        began_s = now_s()
        deadly_s = began_s + (BATCHES_BEFORE - 1) * BATCH_INTERVAL_S + PAUSE_S

        async def send_batches():
            for number in range(BATCHES_BEFORE + BATCHES_AFTER):
                await asyncio.sleep(began_s + number * BATCH_INTERVAL_S - now_s())
                for _ in range(BATCH):
                    load.send_sound()
                    await asyncio.sleep(0.05)

        batches = asyncio.create_task(send_batches())
        await asyncio.sleep(deadly_s - now_s())
        while not batches.done():
            load.send_deadly()
            await asyncio.sleep(DEADLY_INTERVAL_S)
        await load.finish()
        settled_s = (load.last_counted_s or deadly_s) + 2 * CONTACT_S
        before = [each for each in load.sound if each[0] < deadly_s]
        after = [each for each in load.sound if each[0] > settled_s]
        assert min(len(before), len(after)) >= MIN_SAMPLES, 'too few prompts'
        shares = [
            sum(request in load.began for _, request, _ in sent) / len(sent)
            for sent in (before, after)
        ]
        load.say_late()
        statuses = sorted({got.status for _, _, got in after})
        fleet.record.say(
            f'sound prompts: {len(before)} before the first crash, {shares[0]:.2f} of '
            f'them began at an engine; {len(after)} later than 2 x contactMs after '
            f'the counted crash, {shares[1]:.2f} began; statuses then {statuses}'
        )
        return shares[1] < shares[0] / 2


main(case, FOLDER)

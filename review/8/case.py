"""A deadly part behind more than 64 shared parts is never quarantined."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit-2'))

from parts import FIRST_PART, PartEngine, PartLoad  # noqa: E402
from standins import Fleet, main, now_s  # noqa: E402

#: A prompt with a long list of documents before the deadly one. The head of
#: the request stays far below the limit of 16,384 bytes.
LEAD = (f'{FIRST_PART}:40', *(f'{0x70000000 + number:08x}:10' for number in range(69)))
DEADLY_INTERVAL_S = 1.0
SOUND_PER_DEADLY = 4
CALM_S = 4.0
TROUBLE_S = 40.0


async def case(folder, trouble):
    async with Fleet(folder, engines=6, engine_class=PartEngine) as fleet:
        load = PartLoad(fleet, LEAD, trouble=trouble)
        began_s = now_s()
        while now_s() < began_s + CALM_S + TROUBLE_S:
            if now_s() > began_s + CALM_S:
                load.send_deadly()
            for _ in range(SOUND_PER_DEADLY):
                load.send_sound()
                await asyncio.sleep(DEADLY_INTERVAL_S / SOUND_PER_DEADLY)
        await load.finish()
        load.say_sound(0)
        assert load.sound, 'nothing was sent'
        return load.say_late()


main(case, FOLDER)

"""An engine spoils the id of an event; the event before it is lost."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import CannotRun, Engine, Fleet, ask, event, main, trouble  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BEFORE_S, SPOIL_S, AFTER_S = 2, 5, 3
#: The share of the engines, and the share of their answers, that are spoiled.
SHARE, SPOILED = 0.5, 0.02
PER_S = 60


class SpoilingEngine(Engine):
    """Writes two events at a time, and spoils one byte in a share of its answers."""

    events, per_write = 8, 2
    spoils, seen = False, 0
    spoiled = ()

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.spoiled = set()

    async def run(self, request, request_id, writer, channel):
        if self.spoils:
            self.seen += 1
            if self.seen % round(1 / SPOILED) == 20:
                self.spoiled.add(request_id)
                self.record(
                    f'engine {self.id} spoils the id of event 4 of {request_id}'
                )
        return await super().run(request, request_id, writer, channel)

    def piece(self, request_id, number):
        if request_id in self.spoiled and number == 4:
            return event(4).replace(b'id: 4', b'id: 7')
        return event(number)


async def case():
    random.seed(2)
    async with Fleet(
        FOLDER, instances=3, models=4, desks=2, engine=SpoilingEngine
    ) as fleet:
        await fleet.start()
        record, answers, tasks = fleet.record, {}, []

        async def client(request_id):
            answer = await ask(
                fleet.front(),
                'POST',
                '/draft/letter',
                request_id,
                b'x' * 1200,
                (
                    ('Token-Count', '100,400'),
                    ('Model-Id', 'm'),
                    ('Prompt-Prefix', f'aa:40,{request_id}:60'),
                ),
            )
            answers[request_id] = answer
            record(f'client {request_id}: {answer}, events {answer.events()}')

        total = (BEFORE_S + SPOIL_S + AFTER_S) * PER_S
        for number in range(total):
            if number in (BEFORE_S * PER_S, (BEFORE_S + SPOIL_S) * PER_S):
                begins = number == BEFORE_S * PER_S
                models = [
                    each for each in fleet.engines if each.service == 'model'
                ]
                for engine in models[: int(SHARE * len(models))]:
                    engine.spoils = begins and trouble()
                record(f'answers are spoiled: {begins and trouble()}')
            tasks.append(asyncio.create_task(client(f'r{number:04d}')))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        complete = {
            name: answer
            for name, answer in answers.items()
            if answer.status == 200 and answer.is_complete
        }
        if len(complete) < 0.8 * total:
            raise CannotRun('most requests are not served')
        expected = list(range(1, SpoilingEngine.events + 1))
        broken = {
            name: answer.events()
            for name, answer in complete.items()
            if answer.events() != expected
        }
        for name, events in broken.items():
            record.say(
                f'ORDER: {name} ended as complete with the events {events}; '
                f'missing {sorted(set(expected) - set(events))}'
            )
        spoiled = sum(len(engine.spoiled) for engine in fleet.engines)
        record.say(
            f'{total} streams, {spoiled} spoiled by an engine, {len(complete)} complete, '
            f'{len(broken)} of these with wrong events'
        )
        return bool(broken)


main(case)

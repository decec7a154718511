"""An engine runs a request and loses its answer; the instance sends it again."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import CannotRun, Engine, Fleet, ask, main, reset, trouble  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BEFORE_S, LOSS_S, AFTER_S = 3, 4, 3
#: The share of the engines, and the share of their answers, that are lost.
SHARE, LOST = 0.5, 0.05
PER_S = 60


class LosingEngine(Engine):
    """Resets the channel in place of a share of its answers, after the run."""

    events = 4
    loses, seen = False, 0

    async def run(self, request, request_id, writer, channel):
        if not self.loses:
            return await super().run(request, request_id, writer, channel)
        self.seen += 1
        if self.seen % round(1 / LOST):
            return await super().run(request, request_id, writer, channel)
        await asyncio.sleep(self.work_s)
        self.record(
            f'engine {self.id} ran {request_id}; its answer is lost, the channel is reset'
        )
        reset(writer)
        return 'close'


async def case():
    random.seed(1)
    async with Fleet(
        FOLDER, instances=3, models=4, desks=4, engine=LosingEngine
    ) as fleet:
        await fleet.start()
        record, answers, tasks = fleet.record, {}, []

        async def client(request_id):
            # Both kinds may run once at most: a stream that may not be
            # resumed, as an EventSource asks for it, and an unsafe request.
            if random.random() < 0.5:
                target, headers = (
                    '/watch/order',
                    (
                        ('Token-Count', '100,200'),
                        ('Model-Id', 'm'),
                        ('Prompt-Prefix', f'aa:40,{request_id}:60'),
                    ),
                )
            else:
                target, headers = '/book/next', ()
            answer = await ask(
                fleet.front(),
                'GET',
                target,
                request_id,
                headers=headers,
                wait_s=2,
            )
            answers[request_id] = answer
            record(f'client {request_id} GET {target}: {answer}')

        total = int((BEFORE_S + LOSS_S + AFTER_S) * PER_S)
        for number in range(total):
            if number in (BEFORE_S * PER_S, (BEFORE_S + LOSS_S) * PER_S):
                begins = number == BEFORE_S * PER_S
                for service in ('model', 'desk'):
                    engines = [
                        each
                        for each in fleet.engines
                        if each.service == service
                    ]
                    for engine in engines[: int(SHARE * len(engines))]:
                        engine.loses = begins and trouble()
                record(f'answers are lost: {begins and trouble()}')
            tasks.append(asyncio.create_task(client(f'r{number:04d}')))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        if (
            sum(answer.status == 200 for answer in answers.values())
            < 0.8 * total
        ):
            raise CannotRun('most requests are not served')

        runs = {}
        for engine in fleet.engines:
            for request_id, count in engine.runs.items():
                runs.setdefault(request_id, []).extend([engine.id] * count)
        twice = {
            request_id: where
            for request_id, where in runs.items()
            if len(where) > 1
        }
        for request_id, where in twice.items():
            record.say(
                f'TWICE: {request_id} ran {len(where)} times, at {", ".join(where)}; '
                f'its client got {answers[request_id]}'
            )
        record.say(
            f'{total} requests, {len(runs)} run, {len(twice)} run more than once'
        )
        return bool(twice)


main(case)

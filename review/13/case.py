"""DRAIN: a late write of an older entry brings a draining engine back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'kit-3'))

from case import run_case
from platform_standin import encode_answer, now_s
from system import BOUNDS, System, call, headers_for

#: A write without an answer may be performed 1 to 6 s later.
LATE_S = 5.6
HEARTBEAT_S = 1.2
#: The engine leaves this long after its `draining` was accepted: drainMs and a
#: little longer.
EXIT_S = 3.0
WORK_S = 0.045
CLIENTS = 12
CONTACT_S = BOUNDS['contactMs'] / 1000
DRAIN_S = BOUNDS['drainMs'] / 1000


async def play(record, with_trouble):
    system = System(machines=3, engines=0, plain=3)
    async with system:
        await system.start_machines()
        leaving = system.plain[0]
        system.quiet.add(leaving.ident)
        sent, answers = {}, {}
        is_over = asyncio.Event()

        async def work(server, request, writer):
            server.note_run(request)
            await asyncio.sleep(WORK_S)
            headers = server.headers_for(request)
            writer.write(encode_answer(200, headers, b'booked'))
            return True

        for server in system.plain:
            server.behave = work

        async def client(number):
            machine = system.machines[number % len(system.machines)]
            while not is_over.is_set():
                request_id = system.next_id()
                sent[request_id] = (now_s(), machine.name)
                answers[request_id] = await call(
                    machine.front,
                    'POST',
                    '/charge/a',
                    headers_for(request_id, 2000),
                    b'deposit',
                )
                await asyncio.sleep(0.02)

        clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
        await asyncio.sleep(2)

        # The engine's check-in gets no answer. The store performs it late.
        lost_s = now_s()
        lost_entry = leaving.entry()
        record.write(
            f'check-in {lost_entry["sequence"]} of {leaving.ident} '
            f'({lost_entry["state"]}) is sent'
            + (', and gets no answer' if with_trouble else ' and performed')
        )
        if not with_trouble:
            system.store.put('servers', leaving.ident, lost_entry)
        for _ in range(2):
            await asyncio.sleep(HEARTBEAT_S)
            entry = leaving.entry()
            system.store.put('servers', leaving.ident, entry)
            record.write(
                f'check-in {entry["sequence"]} ({entry["state"]}) performed'
            )
        # The store has lost nothing for contactMs: it is stable again.
        await asyncio.sleep(max(0, lost_s + CONTACT_S + 0.1 - now_s()))
        leaving.state = 'draining'
        entry = leaving.entry()
        system.store.put('servers', leaving.ident, entry)
        acknowledged_s = now_s()
        record.write(
            f'check-in {entry["sequence"]} (draining) acknowledged '
            f'{acknowledged_s - lost_s:.2f} s after the lost one'
        )

        def check_in():
            entry = leaving.entry()
            system.store.put('servers', leaving.ident, entry)
            record.write(f'check-in {entry["sequence"]} (draining) performed')

        def perform_lost():
            system.store.put('servers', leaving.ident, lost_entry)
            record.write(
                f'the store performs the lost check-in '
                f'{lost_entry["sequence"]} now, {now_s() - lost_s:.2f} s late'
            )

        events = [(acknowledged_s + n * HEARTBEAT_S, check_in) for n in (1, 2)]
        if with_trouble:
            events.append((lost_s + LATE_S, perform_lost))
        for at_s, happen in sorted(events, key=lambda event: event[0]):
            await asyncio.sleep(max(0, at_s - now_s()))
            happen()
        await asyncio.sleep(max(0, acknowledged_s + EXIT_S - now_s()))
        await leaving.stop()
        system.store.put('servers', leaving.ident, None)
        record.write(f'{leaving.ident} leaves, and its entry is removed')
        await asyncio.sleep(1)
        is_over.set()
        await asyncio.gather(*clients)

        late = [
            (arrived_s - acknowledged_s, *sent[request_id], request_id)
            for arrived_s, request_id, *_ in leaving.runs
            if arrived_s > acknowledged_s + DRAIN_S
        ]
        before = sum(run[0] < acknowledged_s for run in leaving.runs)
        record.write(
            f'{len(sent)} requests sent; {leaving.ident} ran {before} before '
            f'its draining was acknowledged, {len(late)} later than drainMs '
            'after it'
        )
        for after_s, sent_s, machine, request_id in late:
            record.write(
                f'  {request_id}: sent to {machine} '
                f'{sent_s - acknowledged_s:.3f} s, at the draining engine '
                f'{after_s:.3f} s after the acknowledgement'
            )
        lost = [
            request_id
            for _, _, _, request_id in late
            if answers[request_id].status != 200
        ]
        record.write(
            f'{len(lost)} of these had begun when the engine left, and were '
            f'answered {sorted({answers[each].status for each in lost})}'
        )
        if late:
            return [
                f'{len(late)} requests reached a draining engine later than '
                f'drainMs after the acknowledgement, the last one '
                f'{late[-1][0]:.2f} s after it'
            ]
        return []


run_case(__file__, play)

"""DRAIN: a late write of an older entry brings a draining engine back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'kit-3'))

from case import run_case
from platform_standin import now_s
from system import BOUNDS, System, call, headers_for

#: A write without an answer may be performed 1 to 6 s later.
LATE_S = 5.6
HEARTBEAT_S = 1.2
CONTACT_S = BOUNDS['contactMs'] / 1000
DRAIN_S = BOUNDS['drainMs'] / 1000


async def play(record, with_trouble):
    system = System(machines=3, engines=0, plain=3)
    async with system:
        await system.start_machines()
        leaving = system.plain[0]
        system.quiet.add(leaving.ident)
        sent = {}
        is_over = asyncio.Event()

        async def client(number):
            machine = system.machines[number]
            while not is_over.is_set():
                request_id = system.next_id()
                sent[request_id] = (now_s(), machine.name)
                await call(
                    machine.front,
                    'POST',
                    '/charge/a',
                    headers_for(request_id, 2000),
                    b'deposit',
                )
                await asyncio.sleep(0.02)

        clients = [asyncio.create_task(client(n)) for n in range(3)]
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
        due_s = acknowledged_s + HEARTBEAT_S
        late_s = lost_s + LATE_S
        while now_s() < acknowledged_s + 6:
            next_s = min(due_s, late_s)
            await asyncio.sleep(max(0, next_s - now_s()))
            if next_s == late_s:
                late_s = float('inf')
                if with_trouble:
                    system.store.put('servers', leaving.ident, lost_entry)
                    record.write(
                        f'the store performs the lost check-in '
                        f'{lost_entry["sequence"]} now, '
                        f'{now_s() - lost_s:.2f} s late'
                    )
                continue
            due_s += HEARTBEAT_S
            entry = leaving.entry()
            system.store.put('servers', leaving.ident, entry)
            record.write(f'check-in {entry["sequence"]} (draining) performed')
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
        if late:
            return [
                f'{len(late)} requests reached a draining engine later than '
                f'drainMs after the acknowledgement, the last one '
                f'{late[-1][0]:.2f} s after it'
            ]
        return []


run_case(__file__, play)

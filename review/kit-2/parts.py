"""Prompts with one part that crashes each engine that begins to answer them."""

import asyncio

from standins import Engine, now_s

CONTACT_S = 3.0
#: The fifth crash is the one from which the users' rules count.
COUNTED_CRASHES = 5
ALLOWED_LATE = 3
#: Arrivals so close to a bound don't count.
MARGIN_S = 0.2
FIRST_PART = '91bd3f06'
DEADLY_PART = '5c1e07a2'


class PartEngine(Engine):
    """An engine that crashes as it begins to write on the deadly part.

    :cvar sends_head: whether the head of the answer leaves before the crash.
    """

    sends_head = True

    async def crash_on_part(self, request, writer):
        if self.sends_head:
            self.write_stream_head(request, writer)
            await writer.drain()
            await asyncio.sleep(0.02)
        await self.crash(f'deadly part in {request}')


class PartLoad:
    """Sends sound and deadly prompts, and counts what reaches the engines.

    :param lead: shared parts that come first in each prompt.
    :param tail: shared parts that follow the deadly part, or come next.
    """

    def __init__(self, fleet, lead, tail=(), *, trouble):
        self.fleet, self.lead, self.tail = fleet, tuple(lead), tuple(tail)
        self.trouble = trouble
        self.crashes = []
        self.arrivals = []
        self.began = {}
        self.sound = []
        self.deadly = []
        self._tasks = []
        self._count = 0
        for engine in fleet.engines:
            engine.crashes_on = DEADLY_PART
            self._watch(engine)

    def _watch(self, engine):
        crash = engine.crash

        async def note_crash(why):
            if engine.is_up:
                self.crashes.append(now_s())
            await crash(why)

        def note_arrival(request, fields):
            if DEADLY_PART in fields.get('prompt-prefix', ''):
                self.arrivals.append((now_s(), request))
            self.began.setdefault(request, now_s())

        engine.crash = note_crash
        engine.on_arrival = note_arrival

    def send_deadly(self):
        """Send the next prompt with the deadly part; no two are alike.

        Without the disruption it is a sound prompt of the same length.
        """
        part = DEADLY_PART if self.trouble else '0badcafe'
        self._send(self.deadly, (*self.lead, f'{part}:410', *self.tail), 0xE0000000)

    def send_sound(self):
        """Send the next prompt without it, of the same caller."""
        self._send(self.sound, (*self.lead, *self.tail), 0x10000000)

    def _send(self, kept, shared, own):
        self._count += 1
        number = self._count
        instance = self.fleet.instances[number % len(self.fleet.instances)]
        request = self.fleet.next_id('p' if kept is self.deadly else 's')
        prefix = ','.join((*shared, f'{own + number:08x}:400'))
        sent_s = now_s()

        async def exchange():
            got = await self.fleet.send(
                instance,
                '/draft/a',
                request=request,
                Model_Id='m',
                Token_Count='1700,400',
                Prompt_Prefix=prefix,
            )
            kept.append((sent_s, request, got))

        self._tasks.append(asyncio.create_task(exchange()))

    async def finish(self):
        await asyncio.gather(*self._tasks)

    @property
    def last_counted_s(self):
        """Return the time of the fifth crash, or of the last one before."""
        return self.crashes[:COUNTED_CRASHES][-1] if self.crashes else None

    def late(self):
        """Return the arrivals of deadly prompts after the bound."""
        if len(self.crashes) < COUNTED_CRASHES:
            return []
        bound_s = self.last_counted_s + CONTACT_S + MARGIN_S
        return [each for each in self.arrivals if each[0] > bound_s]

    def say_late(self):
        """Write the verdict on BUDGET and return whether it was broken."""
        late = self.late()
        self.fleet.record.say(
            f'deadly prompts sent: {len(self.deadly)}; crashes of engines: '
            f'{len(self.crashes)}; the fifth at '
            f'{self.last_counted_s and round(self.last_counted_s, 3)}; arrivals of '
            f'deadly prompts later than contactMs after it: {len(late)}, allowed: '
            f'{ALLOWED_LATE}; at {[round(at_s, 2) for at_s, _ in late[:20]]}'
        )
        return len(late) > ALLOWED_LATE

    def say_sound(self, since_s):
        """Write what became of sound prompts that were sent later."""
        sent = [each for each in self.sound if each[0] > since_s]
        whole = sum(got.status == 200 and got.is_complete for _, _, got in sent)
        cut = [
            request
            for _, request, got in sent
            if request in self.began and not (got.status == 200 and got.is_complete)
        ]
        self.fleet.record.say(
            f'sound prompts sent after {since_s:.1f}: {len(sent)}, answered whole: '
            f'{whole}, reached an engine and not answered whole: {len(cut)} {cut[:3]}'
        )

"""Loads on a full system, and a data centre taken out of service."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from time import monotonic
from typing import Final, final

import msgspec

from .cluster import Cluster
from .load import Load
from .load_plan import LoadPlan
from .load_report import ChatRecord, LoadResult, Outcome, percentile

__all__ = (
    'OUT_WITHIN_S',
    'DataCentreChange',
    'Phase',
    'count_whole',
    'first_token_s',
    'run_load',
    'say',
    'shorts_of',
    'warm_up',
)

#: A data centre must get no new work this long after its ``out`` order.
OUT_WITHIN_S: Final = 5
_MAX_SHORT_TOKENS: Final = 2000
_PROGRESS_S: Final = 5
_DEFAULT_PERCENT: Final = 95


@final
class Phase(msgspec.Struct, frozen=True):
    """A time span of a run, in seconds from its start."""

    label: str
    from_s: float
    to_s: float

    def shorts(self, chats: Iterable[ChatRecord]) -> list[ChatRecord]:
        """Return the short requests that arrived in this phase."""
        return [
            chat
            for chat in shorts_of(chats)
            if self.from_s <= chat.arrived_s < self.to_s
        ]


@final
class DataCentreChange:
    """Takes a data centre out of service and back during a load.

    :param out_at_s: time of the ``out`` order in seconds from the start.
    :param in_at_s: time of the ``in`` order in seconds from the start.
    """

    def __init__(
        self, cluster: Cluster, name: str, out_at_s: float, in_at_s: float
    ) -> None:
        """Store the times; no order is sent yet."""
        self._cluster = cluster
        self._name = name
        self._out_at_s = out_at_s
        self._in_at_s = in_at_s
        self._out_s = monotonic()
        self._in_s = self._out_s

    async def run(self) -> None:
        """Send both orders at their times."""
        await asyncio.sleep(self._out_at_s)
        await asyncio.to_thread(self._order, 'out')
        self._out_s = monotonic()
        await asyncio.sleep(self._in_at_s - self._out_at_s)
        self._in_s = monotonic()
        await asyncio.to_thread(self._order, 'in')

    def late_work(self) -> int:
        """Return how many requests its engines got while out of service.

        The first ``OUT_WITHIN_S`` seconds after the order do not count.
        """
        late_s = self._out_s + OUT_WITHIN_S
        names = [
            endpoint.name
            for endpoint in self._cluster.configuration.endpoints
            if endpoint.data_centre == self._name
        ]
        facts = [self._cluster.engine_facts(name) for name in names]
        return sum(
            late_s < at_s < self._in_s
            for each in facts
            for at_s in each['arrivals_s']
        )

    def _order(self, state: str) -> None:
        say(f'order: data_centre/{self._name} {state}')
        instance = next(
            name
            for name, settings in self._cluster.instances.items()
            if settings.data_centre != self._name
        )
        self._cluster.order(instance, f'data_centre/{self._name}', state)


async def run_load(
    cluster: Cluster,
    plan: LoadPlan,
    alongside: Callable[[], Awaitable[None]] | None = None,
) -> LoadResult:
    """Send a load, and run ``alongside`` from its start."""
    load = Load(plan, cluster.caller_addresses())
    others = [asyncio.create_task(_show_progress(load, plan))]
    if alongside is not None:
        others.append(asyncio.create_task(alongside()))
    result = await load.run()
    others.pop(0).cancel()
    await asyncio.gather(*others)
    return result


def warm_up(cluster: Cluster, plan: LoadPlan) -> None:
    """Send a light load until all engines have a coordinator."""
    say('a light load until all engines have a coordinator')
    light = msgspec.structs.replace(
        plan, duration_s=12, requests_per_s=2, long_every=0
    )
    asyncio.run(run_load(cluster, light))


def count_whole(chats: Iterable[ChatRecord]) -> int:
    """Count the requests that were answered in full."""
    return sum(chat.outcome is Outcome.whole for chat in chats)


def shorts_of(chats: Iterable[ChatRecord]) -> list[ChatRecord]:
    """Return the requests whose prompts are short."""
    return [chat for chat in chats if chat.prompt_tokens <= _MAX_SHORT_TOKENS]


def first_token_s(
    chats: Iterable[ChatRecord], percent: float = _DEFAULT_PERCENT
) -> float:
    """Return a percentile of the time to first token."""
    times = [chat.first_token_s for chat in chats]
    return percentile(filter(None, times), percent)


def say(text: str) -> None:
    """Print a line of progress and flush it."""
    print(text, flush=True)


async def _show_progress(load: Load, plan: LoadPlan) -> None:
    started_s = monotonic()
    while True:
        await asyncio.sleep(_PROGRESS_S)
        elapsed_s = monotonic() - started_s
        ended = len(load.result.chats)
        say(f'{elapsed_s:.0f} of about {plan.duration_s} s, {ended} answers')

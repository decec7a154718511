"""A long randomised run of real processes under load and failure.

Run as ``python -m features.support.chaos [--seed N] [--seconds S]``. The seed
decides the faults and the load; real processes add their own timing. The exit
code is 1 when a rule was broken.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from dataclasses import dataclass
from random import Random
from time import monotonic, sleep
from typing import Final, final

from .cluster import ClusterError
from .engine_settings import EngineSettings
from .load_plan import LoadPlan, TokenRange
from .load_report import LoadResult, prompt_table
from .plan import DATA_CENTRES, DeploymentPlan, Plan
from .trial import Trial

__all__ = ('main',)

_MODEL: Final = 'letter'
_SERVICE: Final = 'postings'
#: Answers of about 3 s, so that most faults meet open streams.
_ENGINE: Final = EngineSettings(name='', decode_step_s=0.1, chunk_tokens=2048)
_PLAN: Final = Plan(
    deployments=(DeploymentPlan(model=_MODEL, engines=9, engine=_ENGINE),),
    services=(_SERVICE,),
)
#: Between two faults, so that some meet and some are over first.
_GAPS_S: Final = (0.5, 5.0)
#: At most so many instances are away at a time.
_MOST_AWAY: Final = 3
_STORE_FAULTS: Final = ('silent', 'refuse', 'slow', 'lose_answers')
#: Longest outage, pause and stay of an order.
_LONGEST_S: Final = 12
#: Time after the load in which orphans and leases settle.
_SETTLE_S: Final = 12


@final
@dataclass(slots=True)
class _Later:
    at_s: float
    undo: Callable[[], None]


@final
class _Chaos:
    """Draws faults and carries them out until its time is over."""

    def __init__(self, trial: Trial, random: Random) -> None:
        self.paused: set[str] = set()
        self.counts: Counter[str] = Counter()
        self._trial = trial
        self._cluster = trial.cluster
        self._random = random
        self._later: list[_Later] = []
        self._away: set[str] = set()

    def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then undo what is left of them."""
        until_s = monotonic() + seconds
        faults = (
            self._kill,
            self._pause,
            self._freeze,
            self._break_store,
            self._break_service,
            self._turn_cold,
            self._race_orders,
        )
        while monotonic() < until_s:
            fault = self._random.choice(faults)
            self.counts[fault.__name__.strip('_')] += 1
            fault()
            sleep(self._random.uniform(*_GAPS_S))
            self._undo(monotonic())
        self._undo(float('inf'))

    def _undo(self, now_s: float) -> None:
        due = [each for each in self._later if each.at_s <= now_s]
        self._later = [each for each in self._later if each.at_s > now_s]
        for each in due:
            each.undo()

    def _undo_later(self, undo: Callable[[], None]) -> None:
        after_s = self._random.uniform(1, _LONGEST_S)
        self._later.append(_Later(monotonic() + after_s, undo))

    def _choose_instance(self) -> str:
        """Return an instance that runs, or an empty text."""
        here = sorted(set(self._cluster.instances) - self._away)
        chosen = self._random.choice(here)
        return chosen if len(self._away) < _MOST_AWAY else ''

    def _kill(self) -> None:
        name = self._choose_instance()
        if name:
            self._trial.note_breaches()
            self._away.add(name)
            self._cluster.kill(name)
            self._undo_later(lambda: self._start(name))

    def _start(self, name: str) -> None:
        self._cluster.start_instance(name)
        self._away.discard(name)

    def _pause(self) -> None:
        name = self._choose_instance()
        if name:
            self._away.add(name)
            self.paused.add(name)
            self._cluster.pause(name)
            self._undo_later(lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        self._cluster.resume(name)
        self._away.discard(name)

    def _freeze(self) -> None:
        engine = self._cluster.engine_address(self._choose_engine())
        self._cluster.fault(engine, fault='freeze')

    def _break_store(self) -> None:
        platform = self._cluster.platform
        stores = (platform.table, platform.objects, platform.instance_list)
        self._cluster.fault(
            self._random.choice(stores),
            fault=self._random.choice(_STORE_FAULTS),
            every=self._random.randint(1, 4),
            for_s=self._random.uniform(1, _LONGEST_S),
        )

    def _break_service(self) -> None:
        self._cluster.fault(
            self._cluster.services[_SERVICE],
            fault=self._random.choice(('reset', 'slow', 'lose_answer')),
            every=self._random.randint(1, 4),
            for_s=self._random.uniform(1, _LONGEST_S),
        )

    def _turn_cold(self) -> None:
        engine = self._cluster.engine_address(self._choose_engine())
        fault = self._random.choice(('turn_cold', 'restart'))
        self._cluster.fault(engine, fault=fault)

    def _race_orders(self) -> None:
        """Let two operators give opposite orders, then bring it back."""
        data_centre = self._random.choice(DATA_CENTRES)
        targets = (
            f'endpoint/{self._choose_engine()}',
            f'data_centre/{data_centre}',
        )
        target = self._random.choice(targets)
        here = sorted(set(self._cluster.instances) - self._away)
        orders = zip(self._random.sample(here, 2), ('out', 'in'), strict=True)
        with ThreadPoolExecutor(2) as operators:
            for name, state in orders:
                operators.submit(self._order, name, target, state)
        self._undo_later(lambda: self._bring_back(target))

    def _bring_back(self, target: str) -> None:
        here = sorted(set(self._cluster.instances) - self._away)
        self._order(self._random.choice(here), target, 'in')

    def _order(self, name: str, target: str, state: str) -> None:
        try:
            self._cluster.order(name, target, state)
        except (ClusterError, OSError):
            # An instance that has just started may not take orders yet.
            self.counts['order not taken'] += 1

    def _choose_engine(self) -> str:
        return self._random.choice(self._trial.engines)


def main() -> int:
    """Run with a seed, print what was found, and return the exit code."""
    parser = argparse.ArgumentParser(prog='chaos', description=__doc__)
    parser.add_argument('--seed', type=int, default=Random().randrange(10**6))
    parser.add_argument('--seconds', type=float, default=120)
    arguments = parser.parse_args()
    print(f'seed {arguments.seed}, {arguments.seconds:.0f} s', flush=True)
    load = LoadPlan(
        seed=arguments.seed,
        duration_s=arguments.seconds,
        requests_per_s=12,
        model=_MODEL,
        workspaces=_PLAN.workspaces,
        longs=TokenRange(100_001, 200_000),
        deadline_s=30,
        long_deadline_s=60,
        service=_SERVICE,
        calls_per_s=5,
        repeat_every=2,
    )
    with closing(Trial(_PLAN)) as trial:
        faults = _run(trial, load)
    for fault in faults:
        print(f'  {fault}')
    print('failed' if faults else 'no rule was broken')
    return 1 if faults else 0


def _run(trial: Trial, load: LoadPlan) -> list[str]:
    trial.wait_coordinated()
    running = trial.start_load(load)
    chaos = _Chaos(trial, Random(load.seed))
    chaos.run(load.duration_s)
    result = running.finish()
    sleep(_SETTLE_S)
    _show(result, chaos)
    faults = trial.faults(result, chaos.paused)
    held = {
        engine: trial.facts(engine)['kv_used_tokens']
        for engine in trial.engines
    }
    faults.extend(
        f'{engine} still holds {tokens} tokens'
        for engine, tokens in held.items()
        if tokens
    )
    return faults


def _show(result: LoadResult, chaos: _Chaos) -> None:
    for fault, count in sorted(chaos.counts.items()):
        print(f'{fault:>16} {count:4}')
    print(prompt_table(result.chats))
    outcomes = Counter(
        f'{chat.outcome.value} {chat.error[:40]}' for chat in result.chats
    )
    outcomes.update(
        f'call {record.status} {record.error[:40]}' for record in result.calls
    )
    for outcome, count in outcomes.most_common():
        print(f'{count:6} {outcome}')


if __name__ == '__main__':
    sys.exit(main())

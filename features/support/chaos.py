"""A long randomised run of real processes under load and failure.

Run as ``python -m features.support.chaos [--seed N] [--seconds S]``. The seed
decides the faults and the load; real processes add their own timing. The exit
code is 1 when a rule was broken, or a chat failed that no fault explains.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from dataclasses import dataclass
from functools import partial
from random import Random
from time import monotonic, sleep
from typing import Final, final

from bergamotturn.connection.exchange import Address
from bergamotturn.errors import ErrorKind

from .cluster import ClusterError
from .engine_settings import EngineSettings
from .http_call import is_listening
from .load_plan import LoadPlan, TokenRange
from .load_report import (
    ChatRecord,
    LoadResult,
    Outcome,
    ServiceRecord,
    prompt_table,
    was_under_way,
)
from .plan import DATA_CENTRES, DeploymentPlan, FleetPlan
from .trial import Trial, not_answered_in_full, wait_until

__all__ = ('main',)

_MODEL: Final = 'letter'
_SERVICE: Final = 'postings'
#: Answers of about 3 s, so that most faults meet open streams.
_ENGINE: Final = EngineSettings(name='', decode_step_s=0.1, chunk_tokens=2048)
_PLAN: Final = FleetPlan(
    deployments=(DeploymentPlan(model=_MODEL, engines=9, engine=_ENGINE),),
    services=(_SERVICE,),
)
#: Between two faults, so that some meet and some are over first.
_GAPS_S: Final = (0.5, 5.0)
#: At most so many instances are away at a time.
_MOST_AWAY: Final = 3
_STORE_FAULTS: Final = ('silent', 'refuse', 'slow', 'lose_answers')
_SERVICE_FAULTS: Final = ('reset', 'slow', 'lose_answer')
#: Longest outage, pause and stay of an order.
_LONGEST_S: Final = 12
#: Time after the load in which orphans and leases settle.
_SETTLE_S: Final = 12
#: Longest that a stopping instance may still finish answers.
_STOP_S: Final = 70
_POLL_S: Final = 0.1
_OK: Final = 200
#: Stands for engines in the place of an instance's address.
_ENGINES: Final = 'engines'
_CODES: Final = frozenset(kind.value for kind in ErrorKind)


@final
@dataclass(slots=True)
class _Later:
    at_s: float
    undo: Callable[[], None]


@final
@dataclass(slots=True)
class _Loss:
    """An instance's caller address, or engines, lost at a time of the load."""

    address: str
    at_s: float


@final
class _Chaos:
    """Draws faults and carries them out until its time is over."""

    def __init__(self, trial: Trial, random: Random, started_s: float) -> None:
        self.paused: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self._trial = trial
        self._cluster = trial.cluster
        self._random = random
        self._started_s = started_s
        self._later: list[_Later] = []
        self._away: set[str] = set()
        self._engines_away: set[str] = set()
        self._losses: list[_Loss] = []

    def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then undo what is left of them.

        Each fault is drawn once before any is drawn again, so that a short
        run misses none.
        """
        until_s = monotonic() + seconds
        drawn: list[Callable[[], str]] = []
        while monotonic() < until_s:
            drawn = drawn or self._shuffled()
            self.counts[drawn.pop()()] += 1
            sleep(self._random.uniform(*_GAPS_S))
            self._undo(monotonic())
        while self._later:
            self._undo(float('inf'))

    def unexplained(self, result: LoadResult) -> list[str]:
        """Return the calls that failed though nothing of theirs did.

        A refusal is honest when its code is of the closed list; an answer may
        be lost only with its instance, and cut only with an engine or when its
        instance was paused: the streams of an instance that seems dead are
        cancelled.
        """
        chats = [chat for chat in result.chats if not self._is_honest(chat)]
        calls = [
            f'call {record.idempotency_key} at {record.address}:'
            f' {record.status} {record.error}, {record.took_s:.1f} s'
            for record in result.calls
            if not self._is_answered(record)
        ]
        return [*not_answered_in_full(chats), *calls]

    def _is_honest(self, chat: ChatRecord) -> bool:
        if chat.outcome is Outcome.refused:
            return chat.error in _CODES
        if chat.outcome is Outcome.lost:
            return self._lost_during(chat, chat.address)
        if chat.error == ErrorKind.endpoint_lost.value:
            is_paused = self._lost_during(chat, _paused(chat.address))
            return is_paused or self._lost_during(chat, _ENGINES)
        return chat.outcome is Outcome.whole

    def _is_answered(self, record: ServiceRecord) -> bool:
        is_answer = record.status == _OK or record.error in _CODES
        return is_answer or self._lost_during(record, record.address)

    def _lost_during(
        self, record: ChatRecord | ServiceRecord, address: str
    ) -> bool:
        return any(
            loss.address == address and was_under_way(record, loss.at_s)
            for loss in self._losses
        )

    def _shuffled(self) -> list[Callable[[], str]]:
        platform = self._cluster.platform
        faults = [
            self._kill,
            self._pause,
            self._stop,
            self._kill_engines,
            self._restart_engine,
            self._turn_cold,
            self._freeze,
            self._race_orders,
            self._list_leaving,
            *(
                partial(self._break_store, 'table', platform.table, fault)
                for fault in _STORE_FAULTS
            ),
            partial(self._break_any, 'objects', platform.objects),
            partial(self._break_any, 'list', platform.instance_list),
            *(partial(self._break_service, each) for each in _SERVICE_FAULTS),
        ]
        self._random.shuffle(faults)
        return faults

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

    def _trace(self, text: str) -> None:
        at_s = monotonic() - self._started_s
        print(f'{at_s:6.1f} s  {text}', flush=True)

    def _note_loss(self, address: str) -> None:
        at_s = monotonic() - self._started_s
        self._losses.append(_Loss(address, at_s))

    def _kill(self) -> str:
        name = self._choose_instance()
        if not name:
            return 'too many away'
        self._trial.note_breaches()
        self._away.add(name)
        self._note_loss(str(self._cluster.instances[name].caller_address))
        self._trace(f'{name} killed')
        self._cluster.kill(name)
        self._undo_later(lambda: self._start(name))
        return 'instance killed'

    def _start(self, name: str) -> None:
        self._trace(f'{name} started')
        self._cluster.start_instance(name)
        self._away.discard(name)

    def _pause(self) -> str:
        name = self._choose_instance()
        if not name:
            return 'too many away'
        self._away.add(name)
        self.paused.add(name)
        self._trace(f'{name} paused')
        self._note_loss(_paused(self._cluster.instances[name].caller_address))
        self._cluster.pause(name)
        self._undo_later(lambda: self._wake(name))
        return 'instance paused'

    def _wake(self, name: str) -> None:
        self._trace(f'{name} wakes')
        self._cluster.resume(name)
        self._away.discard(name)

    def _stop(self) -> str:
        """Stop an instance as planned; it finishes what it has."""
        name = self._choose_instance()
        if not name:
            return 'too many away'
        self._trial.note_breaches()
        self._away.add(name)
        self._trace(f'{name} told to stop')
        self._cluster.terminate(name)
        until_s = monotonic() + _STOP_S
        self._undo_later(lambda: self._start_stopped(name, until_s))
        return 'instance stopped'

    def _start_stopped(self, name: str, until_s: float) -> None:
        if self._cluster.is_running(name) and monotonic() < until_s:
            # Another look; the run does not wait for its last answers.
            sleep(_POLL_S)
            self._undo_later(lambda: self._start_stopped(name, until_s))
        elif self._cluster.is_running(name):
            self.faults.append(f'{name} did not stop in {_STOP_S} s')
        else:
            self._note_end(name)
            self._start(name)

    def _note_end(self, name: str) -> None:
        code = self._cluster.wait_end(name, 0)
        if code:
            self.faults.append(f'{name} stopped with exit code {code}')

    def _kill_engines(self) -> str:
        """Kill an engine process; it serves all engines of a data centre."""
        if self._engines_away:
            return 'too many away'
        process = self._random.choice(self._cluster.engine_processes)
        engines = self._cluster.engines_of(process)
        # Its counts end with it.
        self.faults.extend(self._trial.cold_faults(engines))
        self._engines_away.update(engines)
        self._note_loss(_ENGINES)
        names = ', '.join(engines)
        self._trace(f'{names} killed')
        self._cluster.kill(process)
        self._undo_later(lambda: self._start_engines(process))
        return 'engines killed'

    def _start_engines(self, process: str) -> None:
        self._cluster.restart_engines(process)
        engines = map(
            self._cluster.engine_address, self._cluster.engines_of(process)
        )
        wait_until(lambda: all(map(is_listening, engines)), _LONGEST_S)
        self._engines_away.clear()

    def _restart_engine(self) -> str:
        self._note_loss(_ENGINES)
        self._break_engine('restart')
        return 'engine restarted'

    def _turn_cold(self) -> str:
        self._break_engine('turn_cold')
        return 'engine cold'

    def _freeze(self) -> str:
        self._break_engine('freeze')
        return 'connections silent'

    def _break_engine(self, fault: str) -> None:
        engine = self._choose_engine()
        self._trace(f'{engine}: {fault}')
        self._cluster.fault(self._cluster.engine_address(engine), fault=fault)

    def _break_any(self, label: str, address: Address) -> str:
        fault = self._random.choice(_STORE_FAULTS)
        return self._break_store(label, address, fault)

    def _break_store(self, label: str, address: Address, fault: str) -> str:
        self._break(address, fault)
        return f'{label} {fault}'

    def _break_service(self, fault: str) -> str:
        self._break(self._cluster.services[_SERVICE], fault)
        return f'service {fault}'

    def _break(self, address: Address, fault: str) -> None:
        every = self._random.randint(1, 4)
        for_s = self._random.uniform(1, _LONGEST_S)
        self._trace(f'{address}: {fault}, one in {every} for {for_s:.1f} s')
        self._cluster.fault(address, fault=fault, every=every, for_s=for_s)

    def _list_leaving(self) -> str:
        engine = self._choose_engine()
        self._cluster.list_as(engine, leaving=True)
        self._undo_later(lambda: self._cluster.list_as(engine, leaving=False))
        return 'endpoint leaving'

    def _race_orders(self) -> str:
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
        return 'orders raced'

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
        """Return an engine whose process runs."""
        here = [
            engine
            for engine in self._trial.engines
            if engine not in self._engines_away
        ]
        return self._random.choice(here)


def _paused(address: Address | str) -> str:
    """Return what stands for a pause of the instance at ``address``."""
    return f'paused {address}'


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
    chaos = _Chaos(trial, Random(load.seed), running.started_s)
    chaos.run(load.duration_s)
    result = running.finish()
    sleep(_SETTLE_S)
    _show(result, chaos)
    faults = [
        *chaos.faults,
        *chaos.unexplained(result),
        *trial.cold_faults(trial.engines),
        *trial.faults(result, chaos.paused),
    ]
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
        print(f'{fault:>20} {count:4}')
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

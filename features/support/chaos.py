"""Chaos test: real processes under load and randomly drawn faults.

Run as ``python -m features.support.chaos [--seed N] [--seconds S]``. The seed
determines the faults and the load, but not the timing of the processes. The
exit code is 1 when an invariant was violated, or when a request failed that no
fault explains.
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
#: Answers take about 3 s, so that most faults affect open streams.
_ENGINE: Final = EngineSettings(name='', decode_step_s=0.1, chunk_tokens=2048)
_PLAN: Final = FleetPlan(
    deployments=(DeploymentPlan(model=_MODEL, engines=9, engine=_ENGINE),),
    services=(_SERVICE,),
)
#: Minimum and maximum time between two faults: some faults overlap, others
#: end before the next.
_FAULT_INTERVAL_S: Final = (0.5, 5.0)
#: Maximum number of instances that are down or paused at a time.
_MAX_UNAVAILABLE: Final = 3
_STORE_FAULTS: Final = ('silent', 'refuse', 'slow', 'lose_answers')
_SERVICE_FAULTS: Final = ('reset', 'slow', 'lose_answer')
#: Maximum duration of an outage, a pause or an order.
_MAX_FAULT_S: Final = 12
#: Time after the load for orphaned work to end and leases to settle.
_SETTLE_S: Final = 12
#: Maximum time in which a stopping instance may finish its answers.
_MAX_STOP_S: Final = 70
_POLL_S: Final = 0.1
_OK: Final = 200
#: Key of an outage of engines, used like an instance's address.
_ENGINES: Final = 'engines'
_CODES: Final = frozenset(kind.value for kind in ErrorKind)


@final
@dataclass(slots=True)
class _ScheduledUndo:
    """Undoes a fault at a monotonic time."""

    at_s: float
    undo: Callable[[], None]


@final
@dataclass(slots=True)
class _Outage:
    """An outage of an instance or of engines.

    :param address: caller address of the instance, or a key that stands for
        a pause or for engines.
    :param at_s: seconds after the start of the load.
    """

    address: str
    at_s: float


@final
class _FaultInjector:
    """Injects random faults, and records the outages that they cause."""

    def __init__(self, trial: Trial, random: Random, started_s: float) -> None:
        self.paused: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self._trial = trial
        self._cluster = trial.cluster
        self._random = random
        self._started_s = started_s
        self._scheduled: list[_ScheduledUndo] = []
        self._unavailable: set[str] = set()
        self._unavailable_engines: set[str] = set()
        self._outages: list[_Outage] = []

    def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then undo those that are left.

        Each fault is drawn once before any is drawn again, so that a short
        run covers as many kinds as possible.
        """
        until_s = monotonic() + seconds
        undrawn: list[Callable[[], str]] = []
        while monotonic() < until_s:
            undrawn = undrawn or self._shuffled_faults()
            self.counts[undrawn.pop()()] += 1
            sleep(self._random.uniform(*_FAULT_INTERVAL_S))
            self._undo_due(monotonic())
        while self._scheduled:
            self._undo_due(float('inf'))

    def unexplained_failures(self, result: LoadResult) -> list[str]:
        """Return the requests that failed and that no fault explains.

        A refusal must have a defined error code. An answer may be lost only
        when its instance was down, and cut only when an engine was down or its
        instance was paused: the streams of an instance that seems dead are
        cancelled.
        """
        chats = [chat for chat in result.chats if not self._is_expected(chat)]
        calls = [
            f'call {record.idempotency_key} at {record.address}:'
            f' {record.status} {record.error}, {record.took_s:.1f} s'
            for record in result.calls
            if not self._is_answered(record)
        ]
        return [*not_answered_in_full(chats), *calls]

    def _is_expected(self, chat: ChatRecord) -> bool:
        if chat.outcome is Outcome.refused:
            return chat.error in _CODES
        if chat.outcome is Outcome.lost:
            return self._overlaps_outage(chat, chat.address)
        if chat.error == ErrorKind.endpoint_lost.value:
            is_paused = self._overlaps_outage(chat, _pause_key(chat.address))
            return is_paused or self._overlaps_outage(chat, _ENGINES)
        return chat.outcome is Outcome.whole

    def _is_answered(self, record: ServiceRecord) -> bool:
        is_answer = record.status == _OK or record.error in _CODES
        return is_answer or self._overlaps_outage(record, record.address)

    def _overlaps_outage(
        self, record: ChatRecord | ServiceRecord, address: str
    ) -> bool:
        return any(
            outage.address == address and was_under_way(record, outage.at_s)
            for outage in self._outages
        )

    def _shuffled_faults(self) -> list[Callable[[], str]]:
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
                partial(self._inject_in_store, 'table', platform.table, fault)
                for fault in _STORE_FAULTS
            ),
            partial(self._inject_random, 'objects', platform.objects),
            partial(self._inject_random, 'list', platform.instance_list),
            *(
                partial(self._inject_in_service, each)
                for each in _SERVICE_FAULTS
            ),
        ]
        self._random.shuffle(faults)
        return faults

    def _undo_due(self, now_s: float) -> None:
        due = [each for each in self._scheduled if each.at_s <= now_s]
        self._scheduled = [
            each for each in self._scheduled if each.at_s > now_s
        ]
        for each in due:
            each.undo()

    def _schedule_undo(self, undo: Callable[[], None]) -> None:
        delay_s = self._random.uniform(1, _MAX_FAULT_S)
        self._scheduled.append(_ScheduledUndo(monotonic() + delay_s, undo))

    def _choose_instance(self) -> str:
        """Return a running instance, or an empty string at the maximum."""
        available = sorted(set(self._cluster.instances) - self._unavailable)
        chosen = self._random.choice(available)
        return chosen if len(self._unavailable) < _MAX_UNAVAILABLE else ''

    def _print_event(self, text: str) -> None:
        at_s = monotonic() - self._started_s
        print(f'{at_s:6.1f} s  {text}', flush=True)

    def _record_outage(self, address: str) -> None:
        at_s = monotonic() - self._started_s
        self._outages.append(_Outage(address, at_s))

    def _kill(self) -> str:
        name = self._choose_instance()
        if not name:
            return 'too many unavailable'
        self._trial.note_breaches()
        self._unavailable.add(name)
        self._record_outage(str(self._cluster.instances[name].caller_address))
        self._print_event(f'{name} killed')
        self._cluster.kill(name)
        self._schedule_undo(lambda: self._start(name))
        return 'instance killed'

    def _start(self, name: str) -> None:
        self._print_event(f'{name} started')
        self._cluster.start_instance(name)
        self._unavailable.discard(name)

    def _pause(self) -> str:
        name = self._choose_instance()
        if not name:
            return 'too many unavailable'
        self._unavailable.add(name)
        self.paused.add(name)
        self._print_event(f'{name} paused')
        self._record_outage(
            _pause_key(self._cluster.instances[name].caller_address)
        )
        self._cluster.pause(name)
        self._schedule_undo(lambda: self._resume(name))
        return 'instance paused'

    def _resume(self, name: str) -> None:
        self._print_event(f'{name} resumed')
        self._cluster.resume(name)
        self._unavailable.discard(name)

    def _stop(self) -> str:
        """Stop an instance gracefully; it finishes its open requests."""
        name = self._choose_instance()
        if not name:
            return 'too many unavailable'
        self._trial.note_breaches()
        self._unavailable.add(name)
        self._print_event(f'{name} stopping')
        self._cluster.terminate(name)
        until_s = monotonic() + _MAX_STOP_S
        self._schedule_undo(lambda: self._start_stopped(name, until_s))
        return 'instance stopped'

    def _start_stopped(self, name: str, until_s: float) -> None:
        if self._cluster.is_running(name) and monotonic() < until_s:
            # Checked again later, so that other faults need not wait.
            sleep(_POLL_S)
            self._schedule_undo(lambda: self._start_stopped(name, until_s))
        elif self._cluster.is_running(name):
            self.violations.append(f'{name} did not stop in {_MAX_STOP_S} s')
        else:
            self._check_exit_code(name)
            self._start(name)

    def _check_exit_code(self, name: str) -> None:
        code = self._cluster.wait_end(name, 0)
        if code:
            self.violations.append(f'{name} stopped with exit code {code}')

    def _kill_engines(self) -> str:
        """Kill a process that serves all engines of a data centre."""
        if self._unavailable_engines:
            return 'too many unavailable'
        process = self._random.choice(self._cluster.engine_processes)
        engines = self._cluster.engines_of(process)
        # The counters are read first: they are lost with the process.
        self.violations.extend(self._trial.cold_faults(engines))
        self._unavailable_engines.update(engines)
        self._record_outage(_ENGINES)
        names = ', '.join(engines)
        self._print_event(f'{names} killed')
        self._cluster.kill(process)
        self._schedule_undo(lambda: self._start_engines(process))
        return 'engines killed'

    def _start_engines(self, process: str) -> None:
        self._cluster.restart_engines(process)
        engines = map(
            self._cluster.engine_address, self._cluster.engines_of(process)
        )
        wait_until(lambda: all(map(is_listening, engines)), _MAX_FAULT_S)
        self._unavailable_engines.clear()

    def _restart_engine(self) -> str:
        self._record_outage(_ENGINES)
        self._inject_in_engine('restart')
        return 'engine restarted'

    def _turn_cold(self) -> str:
        self._inject_in_engine('turn_cold')
        return 'engine cold'

    def _freeze(self) -> str:
        self._inject_in_engine('freeze')
        return 'connections silent'

    def _inject_in_engine(self, fault: str) -> None:
        engine = self._choose_engine()
        self._print_event(f'{engine}: {fault}')
        self._cluster.fault(self._cluster.engine_address(engine), fault=fault)

    def _inject_random(self, label: str, address: Address) -> str:
        fault = self._random.choice(_STORE_FAULTS)
        return self._inject_in_store(label, address, fault)

    def _inject_in_store(self, label: str, address: Address, fault: str) -> str:
        self._inject(address, fault)
        return f'{label} {fault}'

    def _inject_in_service(self, fault: str) -> str:
        self._inject(self._cluster.services[_SERVICE], fault)
        return f'service {fault}'

    def _inject(self, address: Address, fault: str) -> None:
        every = self._random.randint(1, 4)
        for_s = self._random.uniform(1, _MAX_FAULT_S)
        self._print_event(
            f'{address}: {fault}, one in {every} for {for_s:.1f} s'
        )
        self._cluster.fault(address, fault=fault, every=every, for_s=for_s)

    def _list_leaving(self) -> str:
        engine = self._choose_engine()
        self._cluster.list_as(engine, leaving=True)
        self._schedule_undo(
            lambda: self._cluster.list_as(engine, leaving=False)
        )
        return 'endpoint leaving'

    def _race_orders(self) -> str:
        """Send two opposite orders at once, and order ``in`` later."""
        data_centre = self._random.choice(DATA_CENTRES)
        targets = (
            f'endpoint/{self._choose_engine()}',
            f'data_centre/{data_centre}',
        )
        target = self._random.choice(targets)
        available = sorted(set(self._cluster.instances) - self._unavailable)
        orders = zip(
            self._random.sample(available, 2), ('out', 'in'), strict=True
        )
        with ThreadPoolExecutor(2) as operators:
            for name, state in orders:
                operators.submit(self._order, name, target, state)
        self._schedule_undo(lambda: self._order_in(target))
        return 'orders raced'

    def _order_in(self, target: str) -> None:
        available = sorted(set(self._cluster.instances) - self._unavailable)
        self._order(self._random.choice(available), target, 'in')

    def _order(self, name: str, target: str, state: str) -> None:
        try:
            self._cluster.order(name, target, state)
        except (ClusterError, OSError):
            # An instance that has just started may not accept orders yet.
            self.counts['order failed'] += 1

    def _choose_engine(self) -> str:
        """Return an engine whose process is running."""
        available = [
            engine
            for engine in self._trial.engines
            if engine not in self._unavailable_engines
        ]
        return self._random.choice(available)


def _pause_key(address: Address | str) -> str:
    """Return the outage key for a pause of the instance at ``address``."""
    return f'paused {address}'


def main() -> int:
    """Run one seed, print the violations and return the exit code."""
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
        violations = _run(trial, load)
    for violation in violations:
        print(f'  {violation}')
    print('failed' if violations else 'passed')
    return 1 if violations else 0


def _run(trial: Trial, load: LoadPlan) -> list[str]:
    trial.wait_coordinated()
    running = trial.start_load(load)
    injector = _FaultInjector(trial, Random(load.seed), running.started_s)
    injector.run(load.duration_s)
    result = running.finish()
    sleep(_SETTLE_S)
    _print_summary(result, injector)
    violations = [
        *injector.violations,
        *injector.unexplained_failures(result),
        *trial.cold_faults(trial.engines),
        *trial.faults(result, injector.paused),
    ]
    held = {
        engine: trial.facts(engine)['kv_used_tokens']
        for engine in trial.engines
    }
    violations.extend(
        f'{engine} still has {tokens} tokens in use'
        for engine, tokens in held.items()
        if tokens
    )
    return violations


def _print_summary(result: LoadResult, injector: _FaultInjector) -> None:
    for fault, count in sorted(injector.counts.items()):
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

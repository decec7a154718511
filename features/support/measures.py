"""Measure one figure: ``python -m features.support.measures NAME``.

Every measure prints a table and, last, the same figures as one JSON line.
Everything runs on loopback and ends with the program.
"""

from os import getpid
from typing import Any, Final

import defopt
import msgspec

from .measure_capacity import measure_capacity
from .measure_control import ControlCase, measure_control
from .measure_entry import measure_entry
from .measure_fleet import measure_data_centre, measure_longs
from .measure_groups import measure_groups
from .policy_bench import BenchPlan, run_bench

__all__ = ('main',)

_SEEDS: Final = 3
_CONTROL_CASES: Final = (
    ControlCase(3, 10),
    ControlCase(3, 25),
    ControlCase(3, 51),
    ControlCase(1, 25),
    ControlCase(2, 25),
    ControlCase(6, 25),
    ControlCase(3, 25, 10),
)


def entry(*, seed: int = 1, shares: float = 2) -> None:
    """Load one entry process with twice its share of the later size.

    :param shares: load, in shares of one node at the later size.
    """
    figures = measure_entry(seed, shares)
    _show('entry', seed, {**_fields(figures), 'kept_up': figures.kept_up})


def control(*, seed: int = 1) -> None:
    """Measure what control costs, by number of instances and endpoints."""
    for case in _CONTROL_CASES:
        _show('control', seed, _fields(measure_control(case, seed)))


def policy(*, seed: int = 1) -> None:
    """Compare routing policies in virtual time, for three seeds from this."""
    tables = [run_bench(BenchPlan(each)) for each in range(seed, seed + _SEEDS)]
    lines = [line for table in tables for line in table]
    print('\n'.join(lines))
    print(_line('policy', seed, {'table': lines}))


def longs(*, seed: int = 1) -> None:
    """Measure shorts beside longs on real processes."""
    _show('longs', seed, _fields(measure_longs(seed)))


def groups(*, seed: int = 1) -> None:
    """Measure prompts that need a group of engines, beside others."""
    _show('groups', seed, _fields(measure_groups(seed)))


def data_centre(*, seed: int = 1) -> None:
    """Measure shorts while a data centre is taken out and returns."""
    _show('data-centre', seed, _fields(measure_data_centre(seed)))


def capacity(*, seed: int = 1) -> None:
    """Measure what knowing the whole later fleet costs one process."""
    _show('capacity', seed, _fields(measure_capacity(getpid())))


def main() -> None:
    """Run the measure that the command line names."""
    defopt.run([entry, control, policy, longs, groups, data_centre, capacity])


def _fields(figures: Any) -> dict[str, Any]:
    return {name: getattr(figures, name) for name in figures.__struct_fields__}


def _show(name: str, seed: int, figures: dict[str, Any]) -> None:
    rounded = {key: _rounded(figure) for key, figure in figures.items()}
    width = max(map(len, rounded))
    for key, figure in rounded.items():
        print(f'{key:<{width}}  {figure}')
    print(_line(name, seed, rounded), flush=True)


def _line(name: str, seed: int, figures: dict[str, Any]) -> str:
    line = {'measure': name, 'seed': seed, **figures}
    return msgspec.json.encode(line).decode()


def _rounded(figure: Any) -> Any:
    if isinstance(figure, list):
        return [_rounded(each) for each in figure]
    return round(figure, 4) if isinstance(figure, float) else figure


if __name__ == '__main__':
    main()

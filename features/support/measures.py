"""Run one benchmark: ``python -m features.support.measures NAME``.

Each benchmark prints a table and then the same figures as one JSON line.
Its processes listen on loopback only and end with the program.
"""

from os import getpid
from typing import Any, Final

import defopt
import msgspec

from .measure_behind import measure_behind
from .measure_capacity import measure_capacity
from .measure_control import ControlCase, measure_control
from .measure_entry import measure_entry
from .measure_fleet import measure_data_centre, measure_longs
from .measure_groups import measure_groups
from .policy_bench import BenchPlan, run_bench

__all__ = ('main',)

_POLICY_SEEDS: Final = 3
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
    """Load one entry process with twice its share of the target load.

    :param shares: load in multiples of one node's share of the target load.
    """
    figures = measure_entry(seed, shares)
    _print_figures(
        'entry', seed, {**_fields_of(figures), 'kept_up': figures.kept_up}
    )


def control(*, seed: int = 1) -> None:
    """Measure control traffic by number of instances and endpoints."""
    for case in _CONTROL_CASES:
        _print_figures('control', seed, _fields_of(measure_control(case, seed)))


def policy(*, seed: int = 1) -> None:
    """Compare routing policies in virtual time for three seeds from SEED."""
    tables = [
        run_bench(BenchPlan(each)) for each in range(seed, seed + _POLICY_SEEDS)
    ]
    lines = [line for table in tables for line in table]
    print('\n'.join(lines))
    print(_json_line('policy', seed, {'table': lines}))


def longs(*, seed: int = 1) -> None:
    """Measure short requests beside long ones on real processes."""
    _print_figures('longs', seed, _fields_of(measure_longs(seed)))


def groups(*, seed: int = 1) -> None:
    """Measure prompts that need a group of engines, beside other load."""
    _print_figures('groups', seed, _fields_of(measure_groups(seed)))


def data_centre(*, seed: int = 1) -> None:
    """Measure short requests while a data centre goes out and returns."""
    _print_figures('data-centre', seed, _fields_of(measure_data_centre(seed)))


def behind(*, seed: int = 1, instances: int = 9) -> None:
    """Measure store calls in quiet and while the store's reads are behind.

    :param instances: size of the fleet.
    """
    _print_figures('behind', seed, _fields_of(measure_behind(instances)))


def capacity(*, seed: int = 1) -> None:
    """Measure what the state of the target fleet costs one process."""
    _print_figures('capacity', seed, _fields_of(measure_capacity(getpid())))


def main() -> None:
    """Run the benchmark named on the command line."""
    defopt.run(
        [
            entry,
            control,
            policy,
            longs,
            groups,
            data_centre,
            behind,
            capacity,
        ]
    )


def _fields_of(figures: Any) -> dict[str, Any]:
    return {name: getattr(figures, name) for name in figures.__struct_fields__}


def _print_figures(name: str, seed: int, figures: dict[str, Any]) -> None:
    rounded = {key: _rounded(figure) for key, figure in figures.items()}
    width = max(map(len, rounded))
    for key, figure in rounded.items():
        print(f'{key:<{width}}  {figure}')
    print(_json_line(name, seed, rounded), flush=True)


def _json_line(name: str, seed: int, figures: dict[str, Any]) -> str:
    line = {'measure': name, 'seed': seed, **figures}
    return msgspec.json.encode(line).decode()


def _rounded(figure: Any) -> Any:
    if isinstance(figure, list):
        return [_rounded(each) for each in figure]
    return round(figure, 4) if isinstance(figure, float) else figure


if __name__ == '__main__':
    main()

"""Measure one figure: ``python -m features.support.measures NAME``.

Every measure prints a table and, last, the same figures as one JSON line.
Everything runs on loopback and ends with the program.
"""

from typing import Any

import defopt
import msgspec

from .measure_entry import measure_entry

__all__ = ('main',)


def entry(*, seed: int = 1) -> None:
    """Load one entry process with twice its share of the later size."""
    figures = measure_entry(seed)
    _show('entry', seed, {**_fields(figures), 'kept_up': figures.kept_up})


def main() -> None:
    """Run the measure that the command line names."""
    defopt.run([entry])


def _fields(figures: Any) -> dict[str, Any]:
    return {name: getattr(figures, name) for name in figures.__struct_fields__}


def _show(name: str, seed: int, figures: dict[str, Any]) -> None:
    rounded = {key: _rounded(figure) for key, figure in figures.items()}
    width = max(map(len, rounded))
    for key, figure in rounded.items():
        print(f'{key:<{width}}  {figure}')
    line = {'measure': name, 'seed': seed, **rounded}
    print(msgspec.json.encode(line).decode())


def _rounded(figure: Any) -> Any:
    if isinstance(figure, list):
        return [_rounded(each) for each in figure]
    return round(figure, 4) if isinstance(figure, float) else figure


if __name__ == '__main__':
    main()

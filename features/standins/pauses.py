"""Pauses of sound endpoints, drawn for each request that they get."""

from random import Random
from typing import Final

__all__ = (
    'BEFORE_HEAD',
    'PAUSE',
    'draw_helper_pause_s',
    'draw_order_pauses_s',
    'draw_pauses_s',
)

#: Name of the fault with which an endpoint pauses.
PAUSE: Final = 'pause'
#: Point before the head of an answer; all others are numbers of events after
#: which the endpoint pauses, 0 before the first one.
BEFORE_HEAD: Final = -1
_MIN_S: Final = 0.9
_MAX_S: Final = 1.6
_LAST_EVENT: Final = 4
_ORDER_SHARE: Final = 0.3
_HELPER_SHARE: Final = 0.5


def draw_pauses_s(request: str, endpoint: str) -> dict[int, float]:
    """Return the pauses in an endpoint's answer, by their point."""
    random = Random(f'{request}/{endpoint}')
    events = random.sample(range(1, _LAST_EVENT + 1), 2)
    points = random.choice(([BEFORE_HEAD], [0], events[:1], events))
    return {point: random.uniform(_MIN_S, _MAX_S) for point in points}


def draw_order_pauses_s(order: str, endpoint: str) -> tuple[float, float]:
    """Return the pauses before and after an order is carried out."""
    random = Random(f'{order}/{endpoint}')
    if random.random() > _ORDER_SHARE:
        return 0, 0
    pause_s = random.uniform(_MIN_S, _MAX_S)
    return random.choice(((pause_s, 0), (0, pause_s)))


def draw_helper_pause_s(request: str, endpoint: str) -> float:
    """Return the pause of an endpoint that reads a part of a prompt."""
    random = Random(f'helper/{request}/{endpoint}')
    if random.random() > _HELPER_SHARE:
        return 0
    return random.uniform(_MIN_S, _MAX_S)

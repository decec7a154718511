"""Runs the event loop of components without a running manager."""

from time import monotonic

from circuits.core.events import generate_events

__all__ = ('turn',)


def turn(root, lock, wait_s=0.1):
    """Process the events of the components below ``root`` for ``wait_s``.

    A manager that does not run does not fire ``generate_events``, so this
    function does.

    :param lock: lock that ``generate_events`` needs, the same for all calls.
    """
    end_s = monotonic() + wait_s
    while monotonic() < end_s:
        root.fire(generate_events(lock, 0), '*')
        root.tick(0)

"""Runs components that no manager of their own runs."""

from time import monotonic

from circuits.core.events import generate_events

__all__ = ('turn',)


def turn(root, lock, wait_s=0.1):
    """Let the components below ``root`` work for ``wait_s``.

    A manager that is not run in a thread of its own asks nobody for events.

    :param lock: of this run, which ``generate_events`` needs.
    """
    end_s = monotonic() + wait_s
    while monotonic() < end_s:
        root.fire(generate_events(lock, 0), '*')
        root.tick(0)

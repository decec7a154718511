"""Run-time checks of invariants; breaches are logged and counted."""

from eliot import log_message

from .metrics import INVARIANT_BREACHES

__all__ = ('check_invariant',)


def check_invariant(holds: bool, invariant: str, detail: str = '') -> bool:
    """Count and log a breach of ``invariant`` when ``holds`` is false.

    The process continues: an instance that reports a breach serves callers
    better than one that has exited.

    :returns: ``holds``.
    """
    if holds:
        return True
    INVARIANT_BREACHES.labels(invariant).inc()
    log_message('invariant_breach', invariant=invariant, detail=detail)
    return False

"""Run histories with random seeds: ``python -m features.support.long_fuzz``.

Arguments: ``idempotency`` or ``publication``, the number of histories
(100,000), and the seed to repeat a run.
"""

import sys
from random import Random, SystemRandom

from .idempotency_history import CallHistory
from .publication_history import PublicationHistory

__all__ = ('HISTORIES', 'main')

HISTORIES = {
    'idempotency': CallHistory,
    'publication': PublicationHistory,
}


def main(kind, histories='100000', seed=''):
    """Run ``histories`` of ``kind`` and return the process's exit code."""
    number = int(seed) if seed else SystemRandom().getrandbits(32)
    print(f'{kind}: {histories} histories, seed {number}', flush=True)
    source = Random(number)
    broken = 0
    for place in range(int(histories)):
        tape = source.randbytes(source.randrange(16, 200))
        history = HISTORIES[kind](tape)
        history.run()
        faults = list(history.faults())
        if faults:
            broken += 1
            print(f'history {place}, tape {tape.hex()}: {faults}')
    print(f'{kind}: {broken} of {histories} histories broke a rule')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))

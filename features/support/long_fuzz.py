"""Run many fuzzed histories: ``python -m features.support.long_fuzz``.

Arguments: ``idempotency`` or ``publication``, the number of histories (default
100,000), and a seed to reproduce a run (default random).
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
    failed = 0
    for index in range(int(histories)):
        tape = source.randbytes(source.randrange(16, 200))
        history = HISTORIES[kind](tape)
        history.run()
        faults = list(history.faults())
        if faults:
            failed += 1
            print(f'history {index}, tape {tape.hex()}: {faults}')
    print(f'{kind}: {failed} of {histories} histories broke a rule')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))

"""Starts the daemon with as few imports as it needs.

circuits asks setuptools for a function that it does not need on this version
of Python. Without it the imports take 41.1 MB instead of 45.6; an instance that
restarts serves nobody until they are through.
"""

import sys
from importlib import import_module

__all__ = ('start',)


def start() -> None:
    """Run the daemon without setuptools."""
    # An entry of None makes the import fail, which circuits is prepared for.
    sys.modules['pkg_resources'] = None
    import_module('.daemon', __package__).main()


if __name__ == '__main__':
    start()

"""Serving layer in front of model engines and plain services."""

__all__ = ('__version__',)

__version__ = '0.2.0'

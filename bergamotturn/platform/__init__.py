"""Adapters between the users' platform and bergamotturn.

Only this package knows the platform's names and wire formats. It translates
them and makes no serving decisions.
"""

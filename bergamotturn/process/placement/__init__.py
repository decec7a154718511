"""Placement policies: pure decisions without sockets or clocks."""

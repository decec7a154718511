"""Decisions on room that is short: pure, without sockets or clocks."""

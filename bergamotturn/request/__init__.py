"""Requests of callers: their state, their answers and their actions."""

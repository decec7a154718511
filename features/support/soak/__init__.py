"""Soak test: real processes under randomly drawn external faults."""

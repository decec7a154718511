"""Requests whose bytes are forwarded to an endpoint unchanged."""

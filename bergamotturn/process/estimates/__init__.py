"""Costs of requests and paces of endpoints, learned from answers."""

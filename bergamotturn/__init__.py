"""Serving layer in front of model engines and plain services."""

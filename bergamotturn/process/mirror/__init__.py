"""Copies of the platform's tables, kept current from the store and peers."""

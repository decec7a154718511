"""Stand-ins for the external systems, for tests and the demonstration."""

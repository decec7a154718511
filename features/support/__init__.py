"""Fleet runner, load generator and benchmarks used by tests and tools."""

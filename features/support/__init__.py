"""Runner, load tool and benchmarks that tests and tools share."""

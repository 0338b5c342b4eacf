"""Stand-in targets, callers and packet fabric for tests and benchmarks."""

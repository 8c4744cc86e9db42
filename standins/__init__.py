"""Stand-ins for external systems, for tests, benchmarks and the demonstration."""

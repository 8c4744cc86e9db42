"""Benchmarks whose bounds derive from the size that the service is built for."""

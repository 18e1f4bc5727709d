"""Measurements that are too long or too noisy for the tests. Each is a script; see docs/measurements.md."""

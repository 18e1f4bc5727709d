"""Scenario runs against real sidecar processes, with simulated servers behind loopback sockets."""

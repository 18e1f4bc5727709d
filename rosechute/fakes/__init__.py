"""Fakes on loopback for the peers of a sidecar: servers, the discovery service, and an application.

They implement the platform's protocol for the demo, the tests and the benchmarks, and record the events from which
a run is checked against the rules.
"""

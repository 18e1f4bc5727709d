"""Bounded exhaustive search over the replicas of the core. See docs/fleet/exploration.md."""

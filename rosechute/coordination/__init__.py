"""Coordination of the core machines: agreed view, chain replication and leader lease. Pure; others may embed it."""

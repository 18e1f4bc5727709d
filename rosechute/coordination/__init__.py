"""Coordination of the core machines: agreed view, chain replication and leader lease. Pure; others may embed it."""

from rosechute.coordination.replica import Replica
from rosechute.coordination.types import (
    Acknowledged,
    Action,
    Answer,
    Committed,
    CommittedConfiguration,
    Configuration,
    Elsewhere,
    Identity,
    LeaseGained,
    LeaseLost,
    NoConfiguration,
    Order,
    Outcome,
    Persist,
    ReplicaConfig,
    Send,
    Stale,
    Timing,
    Unsure,
)
from rosechute.coordination.views import View

__all__ = [
    "Acknowledged",
    "Action",
    "Answer",
    "Committed",
    "CommittedConfiguration",
    "Configuration",
    "Elsewhere",
    "Identity",
    "LeaseGained",
    "LeaseLost",
    "NoConfiguration",
    "Order",
    "Outcome",
    "Persist",
    "Replica",
    "ReplicaConfig",
    "Send",
    "Stale",
    "Timing",
    "Unsure",
    "View",
]

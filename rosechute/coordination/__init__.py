"""Coordination of the core machines: a replicated register for the configuration, and the election of a leader.

- The view says which machines are acceptors and which form the chain. The next view is decided by single-decree Paxos
  among the acceptors of the current one (`acceptor`, `proposer`, `planning`, `membership`).
- The configuration is a register that chain replication keeps on all members of the chain (`chain`).
- The leader is the machine that holds a lease granted by a majority of the acceptors (`lease_grantor`,
  `leader_lease`). It has a majority store who may own rate leases, for its successor (`owner_replication`).

`replica` combines the parts and documents which part calls which. The package does no input or output: calls go in,
actions come out (`actions`, `outcomes`), and `control_plane.replica_runtime` performs them.
"""

from rosechute.coordination.actions import (
    Action,
    ConfigurationCommitted,
    LeadershipGained,
    LeadershipLost,
    PersistRecords,
    RateLeaseOwnersPersisted,
    Reply,
    SendMessage,
)
from rosechute.coordination.outcomes import (
    CommittedConfiguration,
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from rosechute.coordination.replica import Replica
from rosechute.coordination.replica_config import MachineIdentity, ReplicaConfig, Timing
from rosechute.coordination.views import View

__all__ = [
    "Action",
    "CommittedConfiguration",
    "ConfigurationCommitted",
    "LeadershipGained",
    "LeadershipLost",
    "MachineIdentity",
    "NoConfiguration",
    "Outcome",
    "OutcomeUnknown",
    "PersistRecords",
    "RateLeaseOwnersPersisted",
    "ReadResult",
    "Redirect",
    "Replica",
    "ReplicaConfig",
    "Reply",
    "SendMessage",
    "Timing",
    "VersionConflict",
    "View",
    "WriteAcknowledged",
    "WriteRequest",
]

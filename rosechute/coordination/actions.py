"""Actions that a replica asks its runtime to perform, in the order given."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.coordination.outcomes import CommittedConfiguration, Outcome
from rosechute.messages.coordination_pb2 import CoreMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another core machine. The message may be lost.

    Attributes:
        address: host and port of the other machine.
        message: the message.
    """

    address: str
    message: CoreMessage


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Append records to the log and sync it, then call `Replica.on_persisted` or `Replica.on_persist_failed`.

    Attributes:
        token: number of the batch, for that call.
        records: serialized records.
        replaces: whether the records replace all on the disk: on an empty disk, and after a write that failed.
    """

    token: int
    records: list[bytes]
    replaces: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """Give the one reply to a request.

    Attributes:
        request_id: the runtime's number of the request.
        outcome: the reply.
    """

    request_id: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ConfigurationCommitted:
    """A newer configuration is committed.

    Attributes:
        configuration: the configuration.
    """

    configuration: CommittedConfiguration


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This machine holds the leader lease from now on.

    Attributes:
        term: leader term of the lease.
        rate_lease_owners: the only edges that may own rate leases of earlier terms; None where any edge may.
    """

    term: int
    rate_lease_owners: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This machine no longer holds the leader lease."""


@dataclass(frozen=True, slots=True)
class RateLeaseOwnersPersisted:
    """A majority has synced the owners of rate leases, see `Replica.persist_rate_lease_owners`.

    Attributes:
        term: leader term for which they were persisted.
        edges: names of the edges; None where any edge may own one.
    """

    term: int
    edges: frozenset[str] | None


Action = (
    SendMessage
    | PersistRecords
    | Reply
    | ConfigurationCommitted
    | LeadershipGained
    | LeadershipLost
    | RateLeaseOwnersPersisted
)

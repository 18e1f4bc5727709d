"""Inputs and outputs of a replica, and its settings. Times are seconds of the machine's steady clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosechute.messages.coordination_pb2 import CoreMessage


@dataclass(frozen=True, slots=True)
class MachineIdentity:
    """A core machine. `id` belongs to its disk: a wiped machine has another one."""

    id: str
    name: str
    zone: str
    control_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods and limits, in seconds."""

    heartbeat: float = 0.15
    suspect: float = 0.7  # silence, or age of a sync, after which a machine leaves the chain
    lease: float = 1.2
    lease_margin: float = 0.1  # the holder stops so much earlier
    renew: float = 0.3
    candidate_timeout: float = 0.4
    candidate_step: float = 0.1  # candidates wait by their place in the chain
    proposal_timeout: float = 0.5
    recover_sealed: float = 0.6  # any acceptor proposes when an epoch stays sealed for so long
    resend: float = 0.12
    resend_write: float = 0.25
    order_deadline: float = 0.9  # the operator moves on after a second
    readmit: float = 0.3  # healthy for so long before a machine comes back into the chain
    readmit_longest: float = 5.0
    removal_memory: float = 15.0  # removals within this time double the wait for the next return
    conflict: float = 0.5  # two machines that don't reach each other for so long don't share the chain
    silent_removed: float = 1.0  # a surplus acceptor is removed after such a silence
    blind: float = 0.35  # a gap between two calls that counts as a freeze of this machine
    disk_retry: float = 0.5
    disk_healthy: float = 0.3  # a probe within this time shows that a disk works again


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Settings of one core machine."""

    name: str
    zone: str
    control_address: str
    peer_address: str
    bootstrap: bool
    seeds: tuple[tuple[str, str], ...]  # (control address, peer address)
    timing: Timing = field(default_factory=Timing)


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """An operator's order: replace the configuration of `base_version` by this one. The digest covers both."""

    request: int
    base_version: int
    version: int
    body: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class CommittedConfiguration:
    """A configuration that stays in the line of orders."""

    sequence: int
    version: int
    body: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class WriteAcknowledged:
    """The order was taken."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The order is refused for good: another version is current."""

    current_version: int


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another machine answers this."""

    control_address: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No certain answer can be given now; the order may or may not come into force."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Answer of a read."""

    sequence: int
    version: int
    body: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """Answer of a read: certainly none was taken yet."""


Outcome = WriteAcknowledged | VersionConflict | Redirect | OutcomeUnknown | ReadResult | NoConfiguration


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the link at this address; it may be dropped."""

    address: str
    message: CoreMessage


@dataclass(frozen=True, slots=True)
class PersistRecords:
    """Append these records and sync; then call `persisted(token)`, or `persist_failed(token)`.

    With `replaces` they stand for everything: on an empty disk, and after a write that failed.
    """

    token: int
    records: list[bytes]
    replaces: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The one answer to an order or a read."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ConfigurationCommitted:
    """A newer configuration is known to stay."""

    configuration: CommittedConfiguration


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This machine holds the leader lease from here on."""

    term: int
    rate_lease_owners: frozenset[str] | None = (
        None  # the only edges that may hold rate leases of earlier terms; None: any may
    )


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This machine holds the leader lease no more."""


@dataclass(frozen=True, slots=True)
class RateLeaseOwnersPersisted:
    """The edges that may hold rate leases are synced."""

    term: int
    edges: frozenset[str]


Action = (
    SendMessage
    | PersistRecords
    | Reply
    | ConfigurationCommitted
    | LeadershipGained
    | LeadershipLost
    | RateLeaseOwnersPersisted
)

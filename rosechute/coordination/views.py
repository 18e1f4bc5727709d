"""Values that the core machines agree on, each with its conversion to and from messages.

- `View`: one configuration of the cluster, numbered by its epoch (reconfiguration as in Vertical Paxos; Lamport,
  Malkhi & Zhou 2009).
- `Ballot` and `Proposal`: number and value of a Paxos proposal for the next view (Lamport: Paxos Made Simple, 2001).
- `LeaderTerm`: term of the leader lease and the process to which it was granted.
- `RateLeaseOwners`: the edges that may own rate leases, as the newest leader stated it.
- `RegisterState`: the replicated register, which holds the operator's newest configuration."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from rosechute.coordination.outcomes import CommittedConfiguration
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.messages import coordination_pb2 as pb

MACHINE_ID_CHARACTERS = 16  # length of a machine id: 64 bits in hexadecimal
DIGEST_PREFIX_BYTES = 16  # prefix of a write's digest that the register keeps to identify the write
VERSION_BYTES = 8  # size of a version in the register's list of applied writes
APPLIED_WRITE_BYTES = DIGEST_PREFIX_BYTES + VERSION_BYTES  # size of one entry in that list
# Revision of a statement that no leader made. It is above every revision of a leader of the same term.
UNKNOWN_REVISION = 2**32
MAX_APPLIED_WRITES = 4096  # newest writes that the register remembers; bounds the size of its state


def bootstrap_id(control_address: str) -> str:
    """Return the id of a machine of the initial cluster, which every machine derives from its control address.

    Args:
        control_address: host and port of the machine's control interface.
    """
    return hashlib.sha256(b"core machine " + control_address.encode()).hexdigest()[:MACHINE_ID_CHARACTERS]


def random_id(draw: Callable[[], float]) -> str:
    """Return a random id for a machine that is added to a running cluster, or whose disk is new.

    Args:
        draw: source of uniform random numbers in [0, 1); called twice.
    """
    return f"{int(draw() * 2**32):08x}{int(draw() * 2**32):08x}"


def identity_to_message(identity: MachineIdentity) -> pb.Machine:
    """Return the message for a machine's identity."""
    return pb.Machine(
        id=identity.id,
        name=identity.name,
        zone=identity.zone,
        control=identity.control_address,
        peer=identity.peer_address,
    )


def identity_from_message(machine: pb.Machine) -> MachineIdentity:
    """Return the machine's identity that a message carries."""
    return MachineIdentity(machine.id, machine.name, machine.zone, machine.control, machine.peer)


class StateTag(NamedTuple):
    """Position of a register state: states are ordered by epoch, then by sequence."""

    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Ballot number of a Paxos proposal; totally ordered, and unique to one process.

    Attributes:
        round: counter that each proposer raises above every round it has seen.
        proposer: id of the proposing machine.
        incarnation: incarnation of the proposing process.
    """

    round: int
    proposer: str
    incarnation: int

    def to_message(self) -> pb.Ballot:
        """Return the ballot as a message."""
        return pb.Ballot(round=self.round, proposer=self.proposer, boot=self.incarnation)

    @staticmethod
    def from_message(message: pb.Ballot) -> Ballot:
        """Return the ballot that a message carries."""
        return Ballot(message.round, message.proposer, message.boot)


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """Term of the leader lease and the process to which it was granted.

    Attributes:
        number: the term; 0 before the first one.
        holder: id of the machine to which the term was granted; empty where none or more than one is known.
        incarnation: incarnation of the process to which the term was granted.
        replicates_owners: whether that process grants rate leases only to owners that a majority has stored, see
            `owner_replication`. Processes of earlier versions do not.
    """

    number: int = 0
    holder: str = ""
    incarnation: int = 0
    replicates_owners: bool = False

    def to_message(self) -> pb.Term:
        """Return the term as a message."""
        return pb.Term(
            number=self.number,
            holder=self.holder,
            boot=self.incarnation,
            replicates_owners=self.replicates_owners,
        )

    @staticmethod
    def from_message(message: pb.Term) -> LeaderTerm:
        """Return the term that a message carries."""
        return LeaderTerm(message.number, message.holder, message.boot, message.replicates_owners)


@dataclass(frozen=True, slots=True)
class RateLeaseOwners:
    """The only edges that may own rate leases, or a statement that any edge may.

    Attributes:
        term: leader term of the statement; no other edge may own a rate lease of this term or an earlier one. 0 where
            no leader has granted anything yet.
        edges: names of the edges.
        revision: increases within the term; 0 in a statement that an earlier version wrote to the leader's disk.
        is_unknown: whether any edge may own one.
    """

    term: int = 0
    edges: frozenset[str] = frozenset()
    revision: int = 0
    is_unknown: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """The position among all statements: later ones replace earlier ones."""
        return (self.term, self.revision)

    def known_edges(self) -> frozenset[str] | None:
        """Return the only edges that may own rate leases, or None where any edge may."""
        is_own_record_only = self.term > 0 and self.revision == 0
        return None if self.is_unknown or is_own_record_only else self.edges

    def to_message(self) -> pb.RateLeaseOwnersRecord:
        """Return the statement as a message."""
        return pb.RateLeaseOwnersRecord(
            term=self.term, edges=sorted(self.edges), revision=self.revision, unknown=self.is_unknown
        )

    @staticmethod
    def from_message(message: pb.RateLeaseOwnersRecord) -> RateLeaseOwners:
        """Return the statement that a message carries."""
        return RateLeaseOwners(message.term, frozenset(message.edges), message.revision, message.unknown)


def unknown_owners(term: int) -> RateLeaseOwners:
    """Return the statement that any edge may own a rate lease of this leader term or an earlier one."""
    return RateLeaseOwners(term, revision=UNKNOWN_REVISION, is_unknown=True)


@dataclass(frozen=True, slots=True)
class View:
    """One agreed configuration of the cluster: its acceptors and its replication chain.

    Attributes:
        epoch: number of the view; 0 where no view is known.
        acceptors: machines that vote on the next view and grant the leader lease.
        chain: ids of the replicas in chain order, head first.
        target_size: target number of acceptors; `acceptors` may exceed it while a machine is being replaced.
        base_tag: tag of the register state that the view started from.
        term: newest leader term among the promises by which the view was decided.
        rate_lease_owners: newest statement among these promises; None where an earlier version decided the view.
    """

    epoch: int = 0
    acceptors: tuple[MachineIdentity, ...] = ()
    chain: tuple[str, ...] = ()
    target_size: int = 0
    base_tag: StateTag = StateTag(0, 0)
    term: LeaderTerm = LeaderTerm()
    rate_lease_owners: RateLeaseOwners | None = None

    @property
    def majority(self) -> int:
        """The quorum size: the smallest number of acceptors that is more than half of them."""
        return len(self.acceptors) // 2 + 1

    def acceptor(self, machine_id: str) -> MachineIdentity | None:
        """Return the acceptor with this id, or None."""
        return next((acceptor for acceptor in self.acceptors if acceptor.id == machine_id), None)

    def is_acceptor(self, machine_id: str) -> bool:
        """Return whether the machine is an acceptor of this view."""
        return self.acceptor(machine_id) is not None

    def head(self) -> MachineIdentity | None:
        """Return the head of the chain, which accepts writes, or None where the chain is empty."""
        return self.acceptor(self.chain[0]) if self.chain else None

    def tail(self) -> MachineIdentity | None:
        """Return the tail of the chain, which serves reads, or None where the chain is empty."""
        return self.acceptor(self.chain[-1]) if self.chain else None

    def successor(self, machine_id: str) -> MachineIdentity | None:
        """Return the next member of the chain, or None for the tail.

        Raises:
            ValueError: the machine is not in the chain.
        """
        position = self.chain.index(machine_id) + 1
        return self.acceptor(self.chain[position]) if position < len(self.chain) else None

    def predecessor(self, machine_id: str) -> str | None:
        """Return the id of the previous member of the chain, or None for the head and for machines outside of it."""
        position = self.chain.index(machine_id) if machine_id in self.chain else 0
        return self.chain[position - 1] if position else None

    def to_message(self) -> pb.View:
        """Return the view as a message."""
        return pb.View(
            epoch=self.epoch,
            acceptors=[identity_to_message(acceptor) for acceptor in self.acceptors],
            chain=self.chain,
            size=self.target_size,
            base_epoch=self.base_tag.epoch,
            base_sequence=self.base_tag.sequence,
            term=self.term.to_message(),
            rate_lease_owners=self.rate_lease_owners.to_message() if self.rate_lease_owners is not None else None,
        )

    @staticmethod
    def from_message(message: pb.View) -> View:
        """Return the view that a message carries."""
        has_owners = message.HasField("rate_lease_owners")
        return View(
            message.epoch,
            tuple(identity_from_message(acceptor) for acceptor in message.acceptors),
            tuple(message.chain),
            message.size,
            StateTag(message.base_epoch, message.base_sequence),
            LeaderTerm.from_message(message.term),
            RateLeaseOwners.from_message(message.rate_lease_owners) if has_owners else None,
        )


def bootstrap_view(seeds: Sequence[tuple[str, str]]) -> View:
    """Return the first view of a new cluster: all seeds are acceptors and in the chain.

    Every machine derives the same view from the same seeds, whatever their order.

    Args:
        seeds: (control address, peer address) of each machine.
    """
    acceptors = tuple(
        MachineIdentity(bootstrap_id(control), "", "", control, peer) for control, peer in sorted(set(seeds))
    )
    return View(
        epoch=1,
        acceptors=acceptors,
        chain=tuple(acceptor.id for acceptor in acceptors),
        target_size=len(acceptors),
        base_tag=StateTag(1, 0),
        rate_lease_owners=RateLeaseOwners(),
    )


@dataclass(frozen=True, slots=True)
class RegisterState:
    """State of the replicated register: the newest configuration and the writes that led to it.

    Attributes:
        epoch: epoch of the view in which the state was written, or that started from it.
        sequence: number of writes so far; 0 before the first one.
        version: the operator's version of the configuration.
        body: the configuration.
        digest: digest of the write request that set the configuration.
        applied_writes: digest prefix and version of the newest writes, oldest first, each `APPLIED_WRITE_BYTES` long.
            A write request that is repeated is recognized by them and acknowledged again.
    """

    epoch: int = 0
    sequence: int = 0
    version: int = 0
    body: bytes = b""
    digest: bytes = b""
    applied_writes: bytes = b""

    @property
    def tag(self) -> StateTag:
        """The position of this state in the order of all states."""
        return StateTag(self.epoch, self.sequence)

    def applied_version(self, digest: bytes) -> int | None:
        """Return the version that a write request set, or None if it was not applied or was evicted.

        Args:
            digest: digest of the write request.
        """
        prefix = digest[:DIGEST_PREFIX_BYTES]
        start = self.applied_writes.find(prefix)
        while start >= 0 and start % APPLIED_WRITE_BYTES:  # a match across two entries
            start = self.applied_writes.find(prefix, start + 1)
        if start < 0:
            return None
        return int.from_bytes(self.applied_writes[start + DIGEST_PREFIX_BYTES : start + APPLIED_WRITE_BYTES], "big")

    def may_have_evicted(self, version: int) -> bool:
        """Return whether a write of this version may have been applied and then evicted from `applied_writes`.

        Versions of applied writes only rise, so only versions below the oldest remembered one can have been evicted.
        """
        is_full = len(self.applied_writes) >= APPLIED_WRITE_BYTES * MAX_APPLIED_WRITES
        return is_full and version < int.from_bytes(
            self.applied_writes[DIGEST_PREFIX_BYTES:APPLIED_WRITE_BYTES], "big"
        )

    def with_write(self, epoch: int, version: int, body: bytes, digest: bytes) -> RegisterState:
        """Return the state after one more write.

        Args:
            epoch: epoch of the view in which it is written.
            version: the operator's version of the new configuration.
            body: the new configuration.
            digest: digest of the write request.
        """
        entry = digest[:DIGEST_PREFIX_BYTES].ljust(DIGEST_PREFIX_BYTES, b"\0") + version.to_bytes(
            VERSION_BYTES, "big"
        )
        applied_writes = (self.applied_writes + entry)[-APPLIED_WRITE_BYTES * MAX_APPLIED_WRITES :]
        return RegisterState(epoch, self.sequence + 1, version, body, digest, applied_writes)

    def with_epoch(self, epoch: int) -> RegisterState:
        """Return the same state as the start of a new epoch."""
        return replace(self, epoch=epoch)

    def committed_configuration(self) -> CommittedConfiguration | None:
        """Return the configuration, or None before the first write."""
        if not self.sequence:
            return None
        return CommittedConfiguration(self.sequence, self.version, self.body, self.digest)

    def to_message(self) -> pb.State:
        """Return the state as a message."""
        return pb.State(
            epoch=self.epoch,
            sequence=self.sequence,
            configuration=pb.Configuration(version=self.version, body=self.body, digest=self.digest),
            taken=self.applied_writes,
        )

    @staticmethod
    def from_message(message: pb.State) -> RegisterState:
        """Return the state that a message carries."""
        configuration = message.configuration
        return RegisterState(
            message.epoch,
            message.sequence,
            configuration.version,
            configuration.body,
            configuration.digest,
            message.taken,
        )


@dataclass(frozen=True, slots=True)
class Proposal:
    """Value of a Paxos proposal: the next view together with the register state that it starts from.

    Both are decided at once, so a machine that adopts a view holds at least the state that the view depends on.
    """

    ballot: Ballot
    view: View
    state: RegisterState

    def to_message(self) -> pb.Proposal:
        """Return the proposal as a message."""
        return pb.Proposal(
            ballot=self.ballot.to_message(), view=self.view.to_message(), state=self.state.to_message()
        )

    @staticmethod
    def from_message(message: pb.Proposal) -> Proposal:
        """Return the proposal that a message carries."""
        return Proposal(
            Ballot.from_message(message.ballot),
            View.from_message(message.view),
            RegisterState.from_message(message.state),
        )

"""Replicated and persisted state of a replica: the result of applying its write-ahead log.

Each change of this state is a record. A running replica and one that starts from its disk apply the same records
through `ReplicaState.apply`, so that the state in memory is what a restart would restore once the newest record is
synced (event sourcing). Records are idempotent: one that is older than the state changes nothing. A log may therefore
follow a snapshot that was made later than the first records of the log.

Parts of the state, and the module that writes each:

- the machine's identity (`Replica.start`);
- view, committed state and uncommitted write of the register (`Membership`, `Chain`);
- promise and accepted proposal for the next view, as single-decree Paxos requires (`Acceptor`);
- term and grantee of the leader lease (`LeaseGrantor`);
- edges that may own rate leases (`OwnerReplication`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import (
    Ballot,
    LeaderTerm,
    Proposal,
    RateLeaseOwners,
    RegisterState,
    View,
    identity_from_message,
    identity_to_message,
    unknown_owners,
)
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class ReplicaState:
    """The durable state of a machine.

    Attributes:
        machine: identity that belongs to the disk; None before the first record.
        newcomer: whether the machine started with the system and has not been an acceptor so far.
        view: the newest view that was adopted.
        committed: the newest state of the register that is known to be committed.
        uncommitted: the state after a write that may not be committed yet.
        promised: highest ballot promised for the view after `view`; a promise seals the epoch.
        accepted: proposal accepted for the view after `view`.
        term: newest term of the leader lease.
        grantee: machine that was last granted the leader lease; empty before the first grant as an acceptor.
        grantee_number: number of the record with the grantee; only rises.
        rate_lease_owners: newest statement of a leader on the edges that may own rate leases.
    """

    machine: MachineIdentity | None = None
    newcomer: bool = False
    view: View = View()
    committed: RegisterState = RegisterState()
    uncommitted: RegisterState | None = None
    promised: Ballot | None = None
    accepted: Proposal | None = None
    term: LeaderTerm = LeaderTerm()
    grantee: str = ""
    grantee_number: int = 0
    rate_lease_owners: RateLeaseOwners = RateLeaseOwners()

    @property
    def is_sealed(self) -> bool:
        """Whether this machine takes no more writes in the epoch, since it promised a ballot for the next view."""
        return self.promised is not None

    @property
    def newest(self) -> RegisterState:
        """The newest state of the register, committed or not."""
        return self.uncommitted or self.committed

    def newest_rate_lease_owners(self) -> RateLeaseOwners:
        """Return the newest statement on the owners of rate leases, as far as this machine can know it.

        Leaders of earlier versions make no statement: after their terms, and after views that they decided, which
        carry none, any edge may own a lease.
        """
        statements = [self.rate_lease_owners]
        if self.term.number and not self.term.replicates_owners:
            statements.append(unknown_owners(self.term.number))
        if self.view.epoch and self.view.rate_lease_owners is None:
            statements.append(unknown_owners(self.view.term.number))
        return max(statements, key=lambda statement: statement.order)

    def becomes_acceptor_in(self, view: View) -> bool:
        """Return whether this machine was no acceptor right before a view, or skipped views and can't tell.

        If so, it knows of no lease grants that the acceptors before it made.
        """
        own = self.machine.id if self.machine is not None else ""
        return view.epoch != self.view.epoch + 1 or not self.view.is_acceptor(own)

    def commit(self) -> None:
        """Commit the uncommitted write. This has no record of its own: the next write, or a new view, implies it."""
        if self.uncommitted is not None:
            self.committed, self.uncommitted = self.uncommitted, None

    def apply(self, record: pb.Record) -> None:
        """Apply one record of the log."""
        kind = record.WhichOneof("body")
        if kind == "machine":
            self._apply_machine(record.machine)
        elif kind == "promise":
            self._apply_promise(record.promise.epoch, Ballot.from_message(record.promise.ballot))
        elif kind == "accepted":
            self._apply_accepted(Proposal.from_message(record.accepted))
        elif kind == "adopt":
            self._apply_adopt(record.adopt)
        elif kind == "write":
            self._apply_write(record.write)
        elif kind == "learn":
            self._apply_learn(RegisterState.from_message(record.learn.state))
        elif kind == "term":
            self._apply_term(LeaderTerm.from_message(record.term))
        elif kind == "grantee":
            self._apply_grantee(record.grantee)
        elif kind == "rate_lease_owners":
            self._apply_rate_lease_owners(RateLeaseOwners.from_message(record.rate_lease_owners))
        elif kind == "snapshot":
            self._apply_snapshot(record.snapshot)

    def _apply_machine(self, record: pb.MachineRecord) -> None:
        if self.machine is None:  # a log may repeat its first record after a snapshot, which is newer
            self.machine, self.newcomer = identity_from_message(record.machine), record.newcomer

    def _apply_promise(self, epoch: int, ballot: Ballot) -> None:
        if epoch == self.view.epoch and (self.promised is None or ballot > self.promised):
            self.promised = ballot

    def _apply_accepted(self, proposal: Proposal) -> None:
        if proposal.view.epoch == self.view.epoch + 1 and (self.promised is None or proposal.ballot >= self.promised):
            self.promised, self.accepted = proposal.ballot, proposal

    def _apply_learn(self, state: RegisterState) -> None:
        if state.epoch == self.view.epoch and state.sequence > self.newest.sequence:
            self.committed, self.uncommitted = state, None

    def _apply_term(self, term: LeaderTerm) -> None:
        if term.number <= self.term.number:
            return
        if self.term.number and not self.term.replicates_owners and term.replicates_owners:
            self._apply_rate_lease_owners(unknown_owners(self.term.number))  # the newer term would hide this one
        self.term = term

    def _apply_adopt(self, record: pb.AdoptRecord) -> None:
        accepted = self.accepted
        if record.HasField("accepted"):
            if accepted is None or accepted.ballot != Ballot.from_message(record.accepted):
                return  # the proposal was lost before its sync, so nothing relied on it or on this record
            view, state = accepted.view, accepted.state
        else:
            view, state = View.from_message(record.view), RegisterState.from_message(record.state)
        if view.epoch <= self.view.epoch:
            return
        if self.becomes_acceptor_in(view):
            self.grantee = ""
        self.view, self.committed, self.uncommitted = view, state, None
        self.promised, self.accepted = None, None
        self.newcomer = self.newcomer and not (self.machine is not None and view.is_acceptor(self.machine.id))
        self._apply_term(view.term)
        if view.rate_lease_owners is not None:
            self._apply_rate_lease_owners(view.rate_lease_owners)

    def _apply_write(self, record: pb.ChainWrite) -> None:
        if record.epoch != self.view.epoch or record.sequence != self.newest.sequence + 1:
            return
        configuration = record.configuration
        self.commit()
        self.uncommitted = self.committed.with_write(
            record.epoch, configuration.version, configuration.body, configuration.digest
        )

    def _apply_grantee(self, record: pb.GranteeRecord) -> None:
        if record.number > self.grantee_number:
            self.grantee, self.grantee_number = record.holder, record.number

    def _apply_rate_lease_owners(self, owners: RateLeaseOwners) -> None:
        if owners.order >= self.rate_lease_owners.order:
            self.rate_lease_owners = owners

    def _apply_snapshot(self, record: pb.SnapshotRecord) -> None:
        self.machine, self.newcomer = identity_from_message(record.machine.machine), record.machine.newcomer
        self.view = View.from_message(record.view)
        self.committed, self.uncommitted = RegisterState.from_message(record.committed), None
        if record.HasField("written"):
            self._apply_write(record.written)
        self.promised = Ballot.from_message(record.promised) if record.HasField("promised") else None
        self.accepted = Proposal.from_message(record.accepted) if record.HasField("accepted") else None
        self.term = LeaderTerm.from_message(record.term)
        self.grantee, self.grantee_number = record.grantee.holder, record.grantee.number
        self.rate_lease_owners = RateLeaseOwners.from_message(record.rate_lease_owners)

    def snapshot_record(self) -> pb.Record:
        """Return a record that replaces all earlier ones."""
        snapshot = pb.SnapshotRecord(
            view=self.view.to_message(),
            committed=self.committed.to_message(),
            term=self.term.to_message(),
            grantee=pb.GranteeRecord(holder=self.grantee, number=self.grantee_number),
            rate_lease_owners=self.rate_lease_owners.to_message(),
        )
        if self.machine is not None:
            snapshot.machine.CopyFrom(
                pb.MachineRecord(machine=identity_to_message(self.machine), newcomer=self.newcomer)
            )
        if self.uncommitted is not None:
            snapshot.written.CopyFrom(chain_write_message(self.uncommitted))
        if self.promised is not None:
            snapshot.promised.CopyFrom(self.promised.to_message())
        if self.accepted is not None:
            snapshot.accepted.CopyFrom(self.accepted.to_message())
        return pb.Record(snapshot=snapshot)


def chain_write_message(state: RegisterState) -> pb.ChainWrite:
    """Return the chain write that leads to a state of the register."""
    configuration = pb.Configuration(version=state.version, body=state.body, digest=state.digest)
    return pb.ChainWrite(epoch=state.epoch, sequence=state.sequence, configuration=configuration)


def load_replica_state(records: Iterable[bytes]) -> ReplicaState:
    """Return the state that serialized records lead to, oldest first."""
    replica_state = ReplicaState()
    for data in records:
        replica_state.apply(pb.Record.FromString(data))
    return replica_state

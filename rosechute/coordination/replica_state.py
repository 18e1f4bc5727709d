"""What a core machine knows: the fold of its durable records.

Every change of this state is a record. Live changes and a start from disk go through the same `apply`, so what is in
memory is always what the disk will give back once its newest record is synced. A record that is older than what is
known already changes nothing, so a log may follow a whole record that was made later than its first records.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rosechute.coordination.types import MachineIdentity
from rosechute.coordination.views import (
    Ballot,
    LeaderTerm,
    Proposal,
    RegisterState,
    View,
    identity_from_message,
    identity_to_message,
)
from rosechute.messages import coordination_pb2 as pb


@dataclass(frozen=True, slots=True)
class RateLeaseOwners:
    """The only edges that may hold rate leases of this term or an earlier one, as this machine noted while it led."""

    term: int = 0  # 0: nothing was noted
    edges: frozenset[str] = frozenset()

    def to_message(self) -> pb.RateLeaseHoldersRecord:
        """As a message."""
        return pb.RateLeaseHoldersRecord(term=self.term, edges=sorted(self.edges))


@dataclass(slots=True)
class ReplicaState:
    """The durable knowledge of a machine. `written` is a chain write that isn't known to stay yet."""

    machine: MachineIdentity | None = None
    newcomer: bool = False  # started with the system, and not an acceptor so far
    view: View = View()
    committed: RegisterState = RegisterState()
    written: RegisterState | None = None
    promised: Ballot | None = None  # for the view after `view`: the epoch is sealed
    accepted: Proposal | None = None
    term: LeaderTerm = LeaderTerm()
    grantee: str = ""  # to whom the newest grant of the leader lease was given; empty before the first as acceptor
    grantee_number: int = 0  # of the record that told
    rate_lease_owners: RateLeaseOwners = RateLeaseOwners()

    @property
    def sealed(self) -> bool:
        """Whether the epoch takes no writes any more at this machine."""
        return self.promised is not None

    @property
    def newest(self) -> RegisterState:
        """The state with the greatest tag."""
        return self.written or self.committed

    def joins(self, view: View) -> bool:
        """Whether this machine was no acceptor right before that view, or can't tell: it knows of no grants there."""
        own = self.machine.id if self.machine is not None else ""
        return view.epoch != self.view.epoch + 1 or not self.view.is_acceptor(own)

    def commit(self) -> None:
        """The write in `written` is known to stay. A later record implies this, so that it needs none of its own."""
        if self.written is not None:
            self.committed, self.written = self.written, None

    def apply(self, record: pb.Record) -> None:
        """Change the state by one record."""
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
        elif kind == "rate_lease_holders":
            self._apply_rate_lease_owners(record.rate_lease_holders)
        elif kind == "whole":
            self._apply_whole(record.whole)

    def _apply_machine(self, record: pb.MachineRecord) -> None:
        if self.machine is None:  # the first record of a disk; again only behind a whole record that knows more
            self.machine, self.newcomer = identity_from_message(record.machine), record.newcomer

    def _apply_promise(self, epoch: int, ballot: Ballot) -> None:
        if epoch == self.view.epoch and (self.promised is None or ballot > self.promised):
            self.promised = ballot

    def _apply_accepted(self, proposal: Proposal) -> None:
        if proposal.view.epoch == self.view.epoch + 1 and (self.promised is None or proposal.ballot >= self.promised):
            self.promised, self.accepted = proposal.ballot, proposal

    def _apply_learn(self, state: RegisterState) -> None:
        if state.epoch == self.view.epoch and state.sequence > self.newest.sequence:
            self.committed, self.written = state, None

    def _apply_term(self, term: LeaderTerm) -> None:
        if term.number > self.term.number:
            self.term = term

    def _apply_adopt(self, record: pb.AdoptRecord) -> None:
        accepted = self.accepted
        if record.HasField("accepted"):
            if accepted is None or accepted.ballot != Ballot.from_message(record.accepted):
                return  # its proposal is not on this disk: only records that were never relied on
            view, state = accepted.view, accepted.state
        else:
            view, state = View.from_message(record.view), RegisterState.from_message(record.state)
        if view.epoch <= self.view.epoch:
            return
        if self.joins(view):
            self.grantee = ""
        self.view, self.committed, self.written = view, state, None
        self.promised, self.accepted = None, None
        self.newcomer = self.newcomer and not (self.machine is not None and view.is_acceptor(self.machine.id))
        self._apply_term(view.term)

    def _apply_write(self, record: pb.ChainWrite) -> None:
        if record.epoch != self.view.epoch or record.sequence != self.newest.sequence + 1:
            return
        configuration = record.configuration
        self.commit()
        self.written = self.committed.with_write(
            record.epoch, configuration.version, configuration.body, configuration.digest
        )

    def _apply_grantee(self, record: pb.GranteeRecord) -> None:
        if record.number > self.grantee_number:
            self.grantee, self.grantee_number = record.holder, record.number

    def _apply_rate_lease_owners(self, record: pb.RateLeaseHoldersRecord) -> None:
        if record.term >= self.rate_lease_owners.term:
            self.rate_lease_owners = RateLeaseOwners(record.term, frozenset(record.edges))

    def _apply_whole(self, record: pb.WholeRecord) -> None:
        self.machine, self.newcomer = identity_from_message(record.machine.machine), record.machine.newcomer
        self.view = View.from_message(record.view)
        self.committed, self.written = RegisterState.from_message(record.committed), None
        if record.HasField("written"):
            self._apply_write(record.written)
        self.promised = Ballot.from_message(record.promised) if record.HasField("promised") else None
        self.accepted = Proposal.from_message(record.accepted) if record.HasField("accepted") else None
        self.term = LeaderTerm.from_message(record.term)
        self.grantee, self.grantee_number = record.grantee.holder, record.grantee.number
        noted = record.rate_lease_holders
        self.rate_lease_owners = RateLeaseOwners(noted.term, frozenset(noted.edges))

    def whole(self) -> pb.Record:
        """One record that replaces all earlier ones."""
        whole = pb.WholeRecord(
            view=self.view.to_message(),
            committed=self.committed.to_message(),
            term=self.term.to_message(),
            grantee=pb.GranteeRecord(holder=self.grantee, number=self.grantee_number),
            rate_lease_holders=self.rate_lease_owners.to_message(),
        )
        if self.machine is not None:
            whole.machine.CopyFrom(
                pb.MachineRecord(machine=identity_to_message(self.machine), newcomer=self.newcomer)
            )
        if self.written is not None:
            whole.written.CopyFrom(chain_write_message(self.written))
        if self.promised is not None:
            whole.promised.CopyFrom(self.promised.to_message())
        if self.accepted is not None:
            whole.accepted.CopyFrom(self.accepted.to_message())
        return pb.Record(whole=whole)


def chain_write_message(state: RegisterState) -> pb.ChainWrite:
    """The chain write that leads to this state."""
    configuration = pb.Configuration(version=state.version, body=state.body, digest=state.digest)
    return pb.ChainWrite(epoch=state.epoch, sequence=state.sequence, configuration=configuration)


def load_replica_state(saved: Iterable[bytes]) -> ReplicaState:
    """The state that these records lead to."""
    replica_state = ReplicaState()
    for data in saved:
        replica_state.apply(pb.Record.FromString(data))
    return replica_state

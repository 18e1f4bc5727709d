"""Agreed values: views of the membership, ballots, terms and the state of the register, with their messages."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from rosechute.coordination.types import CommittedConfiguration, Identity
from rosechute.messages import coordination_pb2 as pb

DIGEST_BYTES = 16  # kept of the digest of a taken order
TAKEN_BYTES = 24  # of one taken order: digest and version
TAKEN_ORDERS = 4096  # newest taken orders that are kept


def bootstrap_id(control_address: str) -> str:
    """The id of a machine at the first start of the system, known to all that know its address."""
    return hashlib.sha256(b"core machine " + control_address.encode()).hexdigest()[:16]


def random_id(draw: Callable[[], float]) -> str:
    """An id for a machine whose disk was made later."""
    return f"{int(draw() * 2**32):08x}{int(draw() * 2**32):08x}"


def machine_of(identity: Identity) -> pb.Machine:
    """The message for an identity."""
    return pb.Machine(
        id=identity.id,
        name=identity.name,
        zone=identity.zone,
        control=identity.control_address,
        peer=identity.peer_address,
    )


def identity_of(machine: pb.Machine) -> Identity:
    """The identity in a message."""
    return Identity(machine.id, machine.name, machine.zone, machine.control, machine.peer)


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Order of the proposals for one view. No two processes use the same one."""

    round: int
    proposer: str
    boot: int

    def message(self) -> pb.Ballot:
        """As a message."""
        return pb.Ballot(round=self.round, proposer=self.proposer, boot=self.boot)


def ballot_of(message: pb.Ballot) -> Ballot:
    """The ballot in a message."""
    return Ballot(message.round, message.proposer, message.boot)


@dataclass(frozen=True, slots=True)
class Term:
    """A term of the leader lease, and the process to which it was granted."""

    number: int = 0
    holder: str = ""
    boot: int = 0

    def message(self) -> pb.Term:
        """As a message."""
        return pb.Term(number=self.number, holder=self.holder, boot=self.boot)


def term_of(message: pb.Term) -> Term:
    """The term in a message."""
    return Term(message.number, message.holder, message.boot)


@dataclass(frozen=True, slots=True)
class View:
    """Who accepts and who stores, from one agreed change to the next. Epoch 0: none is known."""

    epoch: int = 0
    acceptors: tuple[Identity, ...] = ()
    chain: tuple[str, ...] = ()  # ids, head first
    size: int = 0  # number of acceptors that is aimed at
    base_tag: tuple[int, int] = (0, 0)  # of the state that the view started from
    term: Term = Term()  # newest term of the leader lease among the promises

    @property
    def majority(self) -> int:
        """How many acceptors are more than half of them."""
        return len(self.acceptors) // 2 + 1

    def acceptor(self, machine_id: str) -> Identity | None:
        """The acceptor of this id."""
        return next((each for each in self.acceptors if each.id == machine_id), None)

    def accepts(self, machine_id: str) -> bool:
        """Whether the machine is an acceptor."""
        return self.acceptor(machine_id) is not None

    def head(self) -> Identity | None:
        """The machine that takes orders."""
        return self.acceptor(self.chain[0]) if self.chain else None

    def tail(self) -> Identity | None:
        """The machine that answers reads."""
        return self.acceptor(self.chain[-1]) if self.chain else None

    def successor(self, machine_id: str) -> Identity | None:
        """The next member of the chain."""
        place = self.chain.index(machine_id) + 1
        return self.acceptor(self.chain[place]) if place < len(self.chain) else None

    def predecessor(self, machine_id: str) -> str | None:
        """Id of the member of the chain before this one."""
        place = self.chain.index(machine_id) if machine_id in self.chain else 0
        return self.chain[place - 1] if place else None

    def message(self) -> pb.View:
        """As a message."""
        return pb.View(
            epoch=self.epoch,
            acceptors=[machine_of(each) for each in self.acceptors],
            chain=self.chain,
            size=self.size,
            base_epoch=self.base_tag[0],
            base_sequence=self.base_tag[1],
            term=self.term.message(),
        )


def view_of(message: pb.View) -> View:
    """The view in a message."""
    return View(
        message.epoch,
        tuple(identity_of(each) for each in message.acceptors),
        tuple(message.chain),
        message.size,
        (message.base_epoch, message.base_sequence),
        term_of(message.term),
    )


def first_view(seeds: Sequence[tuple[str, str]]) -> View:
    """The view that all know at the first start: the seeds, whatever their order, accept and store."""
    ordered = sorted(set(seeds))
    acceptors = tuple(Identity(bootstrap_id(control), "", "", control, peer) for control, peer in ordered)
    return View(1, acceptors, tuple(each.id for each in acceptors), len(acceptors), (1, 0))


@dataclass(frozen=True, slots=True)
class State:
    """The register: the newest configuration, its place in the line, and the orders that were taken."""

    epoch: int = 0
    sequence: int = 0
    version: int = 0
    body: bytes = b""
    digest: bytes = b""
    taken: bytes = b""  # TAKEN_BYTES for each order, oldest first

    @property
    def tag(self) -> tuple[int, int]:
        """Order of the states over all epochs."""
        return (self.epoch, self.sequence)

    def version_taken(self, digest: bytes) -> int | None:
        """The version that the order of this digest brought, if it was taken."""
        key = digest[:DIGEST_BYTES]
        found = self.taken.find(key)
        while found >= 0 and found % TAKEN_BYTES:
            found = self.taken.find(key, found + 1)
        if found < 0:
            return None
        return int.from_bytes(self.taken[found + DIGEST_BYTES : found + TAKEN_BYTES], "big")

    def may_have_forgotten(self, version: int) -> bool:
        """Whether an order of this version may have been taken that is not remembered any more.

        The versions of taken orders only rise: none but those below the oldest one that is remembered can be missing.
        """
        full = len(self.taken) >= TAKEN_BYTES * TAKEN_ORDERS
        return full and version < int.from_bytes(self.taken[DIGEST_BYTES:TAKEN_BYTES], "big")

    def after(self, epoch: int, version: int, body: bytes, digest: bytes) -> State:
        """The state after one more order."""
        entry = digest[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0") + version.to_bytes(8, "big")
        taken = (self.taken + entry)[-TAKEN_BYTES * TAKEN_ORDERS :]
        return State(epoch, self.sequence + 1, version, body, digest, taken)

    def in_epoch(self, epoch: int) -> State:
        """The same state, as the start of a new epoch."""
        return replace(self, epoch=epoch)

    def committed(self) -> CommittedConfiguration | None:
        """The configuration, if there is one."""
        if not self.sequence:
            return None
        return CommittedConfiguration(self.sequence, self.version, self.body, self.digest)

    def message(self) -> pb.State:
        """As a message."""
        return pb.State(
            epoch=self.epoch,
            sequence=self.sequence,
            configuration=pb.Configuration(version=self.version, body=self.body, digest=self.digest),
            taken=self.taken,
        )


def state_of(message: pb.State) -> State:
    """The state in a message."""
    configuration = message.configuration
    return State(
        message.epoch,
        message.sequence,
        configuration.version,
        configuration.body,
        configuration.digest,
        message.taken,
    )


@dataclass(frozen=True, slots=True)
class Proposal:
    """What is decided at once for an epoch: the view and the state that it starts from."""

    ballot: Ballot
    view: View
    state: State

    def message(self) -> pb.Proposal:
        """As a message."""
        return pb.Proposal(ballot=self.ballot.message(), view=self.view.message(), state=self.state.message())


def proposal_of(message: pb.Proposal) -> Proposal:
    """The proposal in a message."""
    return Proposal(ballot_of(message.ballot), view_of(message.view), state_of(message.state))

"""What must hold after every step: the simulation's checkers, and what can be asked of disks and links besides.

The added checks are:

- `durable`: what a machine tells others of its disk (promise, acceptance, term granted, adopted epoch, stored
  sequence) is on its disk; a record of acknowledgement has enough copies for any majority to hold one;
- `disk`: what a disk gives back never goes back, and a snapshot gives back what it replaces;
- `certain`: a read or a refusal is answered only after a majority was heard since the request came.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from rosechute.coordination import (
    NoConfiguration,
    Outcome,
    ReadResult,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from rosechute.coordination.replica_state import ReplicaState, load_replica_state
from rosechute.coordination.views import Ballot
from rosechute.messages.coordination_pb2 import CoreMessage
from tests.fleet.simulation.checkers import History

if TYPE_CHECKING:
    from tests.fleet.exploration.machine import Machine
    from tests.fleet.exploration.world import World

NO_LOOK = float("inf")  # the search asks for unanswered requests itself, when time passes

_CONTAINERS = (
    "orders",
    "line",
    "place",
    "refused",
    "views",
    "claims",
    "acknowledged_times",
    "acknowledged_sequences",
    "requests",
    "told",
    "seen_views",
    "heard_since",
    "tags",
)
_NUMBERS = ("last_term", "acknowledgements", "refusals", "reads", "longest_answer")


@lru_cache(maxsize=4096)
def on_disk(records: tuple[bytes, ...]) -> ReplicaState:
    """Return the state that a start from these records would restore; callers must not change it."""
    return load_replica_state(records)


def _holds(disk: ReplicaState, sequence: int) -> bool:
    """Return whether a disk holds a sequence, in its state or in the proposal accepted for the next view."""
    accepted = disk.accepted.state.sequence if disk.accepted is not None else 0
    return max(disk.newest.sequence, accepted) >= sequence


class Ledger(History):  # type: ignore[misc]
    """History of one path through the states, with the checks on it."""

    def __init__(self, world: World, judged: Collection[str] | None = None) -> None:
        super().__init__(world, judged)
        self.next_look = NO_LOOK
        self.heard_since: dict[int, frozenset[int]] = {}  # request -> machines that were heard since it came
        self.tags: dict[str, tuple[int, int]] = {}  # machine -> newest tag on its disk

    # Saved states

    def save(self) -> dict[str, Any]:
        """Return copies of everything that changes."""
        saved = {name: getattr(self, name).copy() for name in _CONTAINERS}
        saved.update({name: getattr(self, name) for name in _NUMBERS})
        return saved

    def load(self, saved: dict[str, Any]) -> None:
        """Restore a saved history."""
        for name in _CONTAINERS:
            setattr(self, name, saved[name].copy())
        for name in _NUMBERS:
            setattr(self, name, saved[name])

    @staticmethod
    def key(saved: dict[str, Any]) -> tuple[Any, ...]:
        """Return the part of a history that decides whether a later step is a violation."""
        requests = saved["requests"]
        return (
            tuple(sorted(saved["line"].items())),
            frozenset(saved["refused"]),
            max(saved["views"], default=0),
            frozenset(each.name for each in saved["claims"]),
            tuple(saved["acknowledged_times"]),
            tuple(saved["acknowledged_sequences"]),
            tuple(sorted((number, asked[0].name, *asked[1:3], asked[4]) for number, asked in requests.items())),
            saved["last_term"],
            tuple(sorted((number, *sorted(heard)) for number, heard in saved["heard_since"].items())),
        )

    # Disks

    def on_wipe(self, machine: Machine) -> None:
        """Handle the replacement of a machine's disk."""
        self.tags.pop(machine.control, None)

    def on_written(self, machine: Machine) -> None:
        """Check a disk after a write."""
        found = on_disk(machine.state.records)
        before = self.tags.get(machine.control, (0, 0))
        if found.newest.tag < before:
            self._object("disk", f"{machine.name}: its disk went from {before} to {found.newest.tag}")
        self.tags[machine.control] = found.newest.tag

    def check(self, machine: Machine) -> None:
        """Check the invariants after a step of a machine."""
        super().check(machine)
        self._check_disk(machine)

    def _check_disk(self, machine: Machine) -> None:
        """A disk with nothing under way gives back what the process knows; also to one that starts."""
        replica = machine.replica
        if (
            replica is None
            or not machine.state.records
            or machine.state.queue
            or replica._context.record_writer.has_failed
        ):
            return
        found, known = on_disk(machine.state.records), replica._context.replica_state
        parts = ("view", "newest", "promised", "accepted", "term", "machine", "newcomer")
        for part in parts:
            if getattr(found, part) != getattr(known, part):
                self._object("disk", f"{machine.name}: its disk gives back another {part}")

    # Messages

    def on_sent(self, machine: Machine, message: CoreMessage) -> None:
        """Check a message that a machine sends."""
        kind = message.WhichOneof("body")
        found = on_disk(machine.state.records)
        if kind == "promise":
            epoch, ballot = message.promise.epoch, Ballot.from_message(message.promise.ballot)
            self._promised(machine, found, epoch, ballot)
        elif kind == "accepted":
            epoch, ballot = message.accepted.epoch, Ballot.from_message(message.accepted.ballot)
            self._promised(machine, found, epoch, ballot)
            if found.view.epoch == epoch and (found.accepted is None or found.accepted.ballot < ballot):
                self._object("durable", f"{machine.name}: accepted {ballot}, which isn't on its disk")
        elif kind == "chain_write":
            write = message.chain_write
            if found.newest.tag < (write.epoch, write.sequence):
                self._object("durable", f"{machine.name}: passes on {write.sequence}, which isn't on its disk")
        elif kind == "heartbeat" and not message.heartbeat.sealed and message.sender.id in found.view.chain:
            told = (message.heartbeat.epoch, message.heartbeat.sequence)
            if found.view.epoch < told[0] or (found.view.epoch == told[0] and found.newest.sequence < told[1]):
                self._object("durable", f"{machine.name}: tells {told}, its disk holds {found.newest.tag}")

    def _promised(self, machine: Machine, found: ReplicaState, epoch: int, ballot: Ballot) -> None:
        if found.view.epoch == epoch and (found.promised is None or found.promised < ballot):
            self._object("durable", f"{machine.name}: promised {ballot}, which isn't on its disk")

    # Requests

    def on_request(self, machine: Machine, request: int, order: WriteRequest | None) -> None:
        """An operator's request came. One that repeats another shares its answer."""
        heard: frozenset[int] = frozenset()
        for number, (at, _, _, digest, _) in self.requests.items():
            if at is machine and order is not None and digest == order.digest:
                heard |= self.heard_since[number]
        self.heard_since[request] = heard
        super().on_request(machine, request, order)

    def on_heard(self, machine: Machine, source: int) -> None:
        """Record a message that a machine received."""
        for number, asked in self.requests.items():
            if asked[0] is machine:
                self.heard_since[number] |= {source}

    def on_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        """Check the reply to a request."""
        heard = self.heard_since.pop(request, frozenset())
        if isinstance(outcome, ReadResult | NoConfiguration | VersionConflict):
            self._check_certain(machine, heard, outcome)
        super().on_answer(machine, request, outcome)

    def on_end(self, machine: Machine) -> None:
        """Forget the requests of a process that has ended."""
        super().on_end(machine)
        self.heard_since = {number: heard for number, heard in self.heard_since.items() if number in self.requests}

    def _check_certain(self, machine: Machine, heard: frozenset[int], outcome: Outcome) -> None:
        assert machine.replica is not None
        if len(heard) + 1 < machine.replica.view.majority:
            self._object("certain", f"{machine.name}: {type(outcome).__name__} after {len(heard)} others were heard")

    def _acknowledged(self, machine: Machine, digest: bytes, outcome: WriteAcknowledged) -> None:
        first = self.place.get(digest, 0) > self.newest_acknowledged()
        super()._acknowledged(machine, digest, outcome)
        if first:
            self._check_copies(machine, self.place[digest])

    def _check_copies(self, machine: Machine, sequence: int) -> None:
        """Check that any majority of the acceptors holds an acknowledged write."""
        assert machine.replica is not None
        view = machine.replica.view
        disks = [on_disk(each.state.records) for each in self.world.machines]
        holding = {each.machine.id for each in disks if each.machine and _holds(each, sequence)}
        without = sum(each.id not in holding for each in view.acceptors)
        if without >= view.majority:
            self._object("durable", f"{machine.name}: {sequence} is missing on {without} of the disks")

"""Parts of one replica without a cluster: a context in a known state, its record writer and its outbox."""

from __future__ import annotations

from typing import Any

from rosechute.coordination.actions import Action, PersistRecords, Reply, SendMessage
from rosechute.coordination.context import Context
from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.outcomes import Outcome, WriteRequest
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_config import MachineIdentity, Timing
from rosechute.coordination.replica_state import ReplicaState
from rosechute.coordination.views import (
    Ballot,
    LeaderTerm,
    Proposal,
    RegisterState,
    StateTag,
    View,
    identity_to_message,
)
from rosechute.messages import coordination_pb2 as pb

NOW = 1000.0
OWN_INCARNATION = 7
EPOCH = 3
DIGEST = b"D" * 32
TAKEN = b"D" * 16 + (50).to_bytes(8, "big")


def identity(name: str) -> MachineIdentity:
    """Return the identity of a machine by its id."""
    return MachineIdentity(name, f"name-{name}", f"zone-{name}", f"{name}:8367", f"{name}:7500")


def view(
    members: str = "abc", epoch: int = EPOCH, chain: str | None = None, size: int | None = None, **fields: Any
) -> View:
    """Return a view whose acceptors have ids of one letter."""
    fields["target_size"] = len(members) if size is None else size
    fields.setdefault("base_tag", StateTag(epoch, 0))
    return View(epoch, tuple(map(identity, members)), tuple(members if chain is None else chain), **fields)


def state(sequence: int = 5, epoch: int = EPOCH, version: int = 50) -> RegisterState:
    """Return a register state after a few writes."""
    return RegisterState(epoch, sequence, version, b"body %d" % version, DIGEST, TAKEN)


def ballot(round: int, proposer: str = "b", incarnation: int = 8) -> Ballot:
    """Return a ballot of another machine."""
    return Ballot(round, proposer, incarnation)


def proposal(round: int, proposer: str = "b", epoch: int = EPOCH + 1, sequence: int = 5) -> Proposal:
    """Return a proposal for the next view."""
    return Proposal(ballot(round, proposer), view(epoch=epoch), state(sequence, epoch))


class Parts:
    """A machine, by default the head of three, that has adopted its epoch and synced everything."""

    def __init__(self, own: str = "a", members: str = "abc", chain: str | None = None) -> None:
        self.own = identity(own)
        self.replica_state = ReplicaState(machine=self.own)
        self.replica_state.view = view(members, chain=chain)
        self.replica_state.committed = state()
        self.timing = Timing()
        self.disk = RecordWriter(self.timing, self.replica_state)
        self.outbox = Outbox(self.own, OWN_INCARNATION)
        self.detector = FailureDetector(self.own, OWN_INCARNATION, self.timing, NOW - 60.0)
        self.context = Context(
            own=self.own,
            incarnation=OWN_INCARNATION,
            timing=self.timing,
            draw=lambda: 0.5,
            now=NOW,
            replica_state=self.replica_state,
            record_writer=self.disk,
            outbox=self.outbox,
            failure_detector=self.detector,
            joined_epoch=EPOCH,
            adopted_epoch=EPOCH,
        )
        for each in members:
            if each != own:
                self.receive_heartbeat(each)

    @property
    def now(self) -> float:
        return self.context.now

    def advance(self, seconds: float, heartbeats_of: str = "") -> None:
        """Advance the time; these machines send a heartbeat at its end."""
        self.context.now += seconds
        for each in heartbeats_of:
            self.receive_heartbeat(each)

    def receive_heartbeat(self, name: str, **fields: Any) -> None:
        """Receive a heartbeat of another machine, which echoes the newest one of this machine."""
        incarnation = fields.pop("incarnation", 8)
        beat: dict[str, Any] = {
            "stamp": self.now,
            "epoch": EPOCH,
            "sequence": 5,
            "committed": 5,
            "joined": True,
            "healthy": True,
            "lease_free": True,
            "reached": ["a", "b", "c"],
            "echo": self.now,
            "echo_boot": OWN_INCARNATION,
        }
        self.detector.on_heartbeat(self.now, identity(name), incarnation, pb.Heartbeat(**(beat | fields)))

    def sync(self) -> list[pb.Record]:
        """Sync everything that is to be written; return the records."""
        written: list[pb.Record] = []
        while (persist := self.flush()) is not None:
            written += [pb.Record.FromString(data) for data in persist.records]
            self.disk.on_persisted(self.now, persist.token)
        return written

    def flush(self) -> PersistRecords | None:
        return self.disk.flush(self.now)

    def reload(self) -> ReplicaState:
        """Return the state that a later process restores from a snapshot."""
        found = ReplicaState()
        found.apply(self.replica_state.snapshot_record())
        return found

    def seal(self, round: int = 1) -> None:
        """Promise a ballot for the next view to another machine."""
        self.replica_state.promised = ballot(round)

    # Actions

    def actions(self) -> list[Action]:
        """Return the actions since the last call; drop messages of this machine to itself."""
        self.outbox.local_messages.clear()
        return self.outbox.drain()

    def messages(self, kind: str) -> list[tuple[str, Any]]:
        """Return target and message of a kind since the last call, messages to this machine included."""
        found = [(each.address[0], each.message) for each in self.outbox.actions if isinstance(each, SendMessage)]
        found += [(self.own.id, message) for message in self.outbox.local_messages]
        self.actions()
        return [(to, getattr(message, kind)) for to, message in found if message.WhichOneof("body") == kind]

    def sent(self, kind: str) -> list[Any]:
        """Return the messages of a kind since the last call."""
        return [message for _, message in self.messages(kind)]

    def sent_to(self, kind: str) -> list[str]:
        """Return the targets of messages of a kind since the last call."""
        return [target for target, _ in self.messages(kind)]

    def replies(self) -> list[tuple[int, Outcome]]:
        """Return request id and outcome of the replies since the last call."""
        return [(each.request_id, each.outcome) for each in self.actions() if isinstance(each, Reply)]


def write_request(request_id: int, base: int = 50, version: int = 51, note: bytes = b"") -> WriteRequest:
    """Return a write request; another note makes it another write."""
    return WriteRequest(
        request_id, base, version, b"body" + note, (b"%d on %d" % (version, base) + note).ljust(32, b"-")
    )


def machine(name: str) -> pb.Machine:
    """Return the message for a machine."""
    return identity_to_message(identity(name))


def term(number: int, holder: str = "b", incarnation: int = 8) -> LeaderTerm:
    """Return a leader term of another machine."""
    return LeaderTerm(number, holder, incarnation)

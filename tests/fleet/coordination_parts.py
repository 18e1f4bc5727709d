"""One core machine's parts without a cluster: a context in a known state, its disk and the messages it sends."""

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
    """The machine of this id."""
    return MachineIdentity(name, f"name-{name}", f"zone-{name}", f"{name}:8367", f"{name}:7500")


def view(
    members: str = "abc", epoch: int = EPOCH, chain: str | None = None, size: int | None = None, **fields: Any
) -> View:
    """A view whose acceptors have ids of one letter."""
    fields["target_size"] = len(members) if size is None else size
    fields.setdefault("base_tag", StateTag(epoch, 0))
    return View(epoch, tuple(map(identity, members)), tuple(members if chain is None else chain), **fields)


def state(sequence: int = 5, epoch: int = EPOCH, version: int = 50) -> RegisterState:
    """A state some orders after the start."""
    return RegisterState(epoch, sequence, version, b"body %d" % version, DIGEST, TAKEN)


def ballot(round: int, proposer: str = "b", incarnation: int = 8) -> Ballot:
    """A ballot of another machine."""
    return Ballot(round, proposer, incarnation)


def proposal(round: int, proposer: str = "b", epoch: int = EPOCH + 1, sequence: int = 5) -> Proposal:
    """A proposal for the view that follows."""
    return Proposal(ballot(round, proposer), view(epoch=epoch), state(sequence, epoch))


class Parts:
    """A machine, by default the head of three, that adopted its epoch and has synced everything."""

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
                self.hear(each)

    @property
    def now(self) -> float:
        return self.context.now

    def pass_time(self, seconds: float, hearing: str = "") -> None:
        """Time passes; from these machines a heartbeat comes at its end."""
        self.context.now += seconds
        for each in hearing:
            self.hear(each)

    def hear(self, name: str, **fields: Any) -> None:
        """A heartbeat of another machine, which has answered the newest one of this."""
        boot = fields.pop("boot", 8)
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
        self.detector.on_heartbeat(self.now, identity(name), boot, pb.Heartbeat(**(beat | fields)))

    def sync(self) -> list[pb.Record]:
        """The disk syncs what is to be written; the records."""
        written: list[pb.Record] = []
        while (persist := self.flush()) is not None:
            written += [pb.Record.FromString(data) for data in persist.records]
            self.disk.on_persisted(self.now, persist.token)
        return written

    def flush(self) -> PersistRecords | None:
        return self.disk.flush(self.now)

    def reload(self) -> ReplicaState:
        """What a later process would find, by the whole state alone."""
        found = ReplicaState()
        found.apply(self.replica_state.snapshot_record())
        return found

    def seal(self, round: int = 1) -> None:
        """Another machine has a promise for the next view."""
        self.replica_state.promised = ballot(round)

    # What was done

    def actions(self) -> list[Action]:
        """All actions since the last look; messages to this machine are dropped."""
        self.outbox.local_messages.clear()
        return self.outbox.drain()

    def messages(self, kind: str) -> list[tuple[str, Any]]:
        """Target and message for each of a kind since the last look, this machine as a target included."""
        found = [(each.address[0], each.message) for each in self.outbox.actions if isinstance(each, SendMessage)]
        found += [(self.own.id, message) for message in self.outbox.local_messages]
        self.actions()
        return [(to, getattr(message, kind)) for to, message in found if message.WhichOneof("body") == kind]

    def sent(self, kind: str) -> list[Any]:
        """The messages of a kind since the last look."""
        return [message for _, message in self.messages(kind)]

    def sent_to(self, kind: str) -> list[str]:
        """To whom messages of a kind went since the last look."""
        return [target for target, _ in self.messages(kind)]

    def answers(self) -> list[tuple[int, Outcome]]:
        """The answers to operators since the last look."""
        return [(each.request_id, each.outcome) for each in self.actions() if isinstance(each, Reply)]


def order(request: int, base: int = 50, version: int = 51, note: bytes = b"") -> WriteRequest:
    """An order of an operator; another note makes it another order."""
    return WriteRequest(
        request, base, version, b"body" + note, (b"%d on %d" % (version, base) + note).ljust(32, b"-")
    )


def machine(name: str) -> pb.Machine:
    """The message for a machine."""
    return identity_to_message(identity(name))


def term(number: int, holder: str = "b", incarnation: int = 8) -> LeaderTerm:
    """A term of another machine."""
    return LeaderTerm(number, holder, incarnation)

"""Collects what a call of the replica wants done."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from rosechute.coordination.types import Action, MachineIdentity, Outcome, Reply, SendMessage
from rosechute.coordination.views import identity_to_message
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class Outbox:
    """Actions of the current call. Messages to this machine itself are handled within the same call."""

    own: MachineIdentity
    incarnation: int
    actions: list[Action] = field(default_factory=list)
    local_messages: deque[pb.CoreMessage] = field(default_factory=deque)

    def send(self, target: MachineIdentity, message: pb.CoreMessage) -> None:
        """Send to a machine, or hand over where the machine is this one."""
        self._sign(message)
        if target.id == self.own.id:
            self.local_messages.append(message)
        else:
            self.actions.append(SendMessage(target.peer_address, message))

    def send_to_address(self, address: str, message: pb.CoreMessage) -> None:
        """Send to an address of which no more is known."""
        self._sign(message)
        if address != self.own.peer_address:
            self.actions.append(SendMessage(address, message))

    def reply(self, request: int, outcome: Outcome) -> None:
        """Answer an order or a read."""
        self.actions.append(Reply(request, outcome))

    def drain(self) -> list[Action]:
        """The actions so far, in order."""
        actions, self.actions = self.actions, []
        return actions

    def _sign(self, message: pb.CoreMessage) -> None:
        message.sender.CopyFrom(identity_to_message(self.own))
        message.boot = self.incarnation

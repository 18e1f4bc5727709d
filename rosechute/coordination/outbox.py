"""Actions that the parts of a replica collect during one call."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from rosechute.coordination.actions import Action, Reply, SendMessage
from rosechute.coordination.outcomes import Outcome
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import identity_to_message
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class Outbox:
    """Collected actions of the current call.

    Attributes:
        own: this machine.
        incarnation: random number of this process; marks its messages.
        actions: actions for the runtime, in order.
        local_messages: messages of this machine to itself, handled at the end of the same call.
    """

    own: MachineIdentity
    incarnation: int
    actions: list[Action] = field(default_factory=list)
    local_messages: deque[pb.CoreMessage] = field(default_factory=deque)

    def send(self, target: MachineIdentity, message: pb.CoreMessage) -> None:
        """Send a message to a machine, which may be this one."""
        self._set_sender(message)
        if target.id == self.own.id:
            self.local_messages.append(message)
        else:
            self.actions.append(SendMessage(target.peer_address, message))

    def send_to_address(self, address: str, message: pb.CoreMessage) -> None:
        """Send a message to a peer address whose machine is unknown, unless it is this machine's own address."""
        self._set_sender(message)
        if address != self.own.peer_address:
            self.actions.append(SendMessage(address, message))

    def reply(self, request_id: int, outcome: Outcome) -> None:
        """Reply to a request of an operator."""
        self.actions.append(Reply(request_id, outcome))

    def drain(self) -> list[Action]:
        """Return the collected actions, in order, and clear them."""
        actions, self.actions = self.actions, []
        return actions

    def _set_sender(self, message: pb.CoreMessage) -> None:
        message.sender.CopyFrom(identity_to_message(self.own))
        message.boot = self.incarnation

"""The largest configuration that the operator API accepts fits into every message that carries it."""

from __future__ import annotations

from unittest import TestCase

from rosechute.control_plane.operator_api import BODY_LIMIT_BYTES
from rosechute.coordination.replica_config import MachineIdentity
from rosechute.coordination.views import (
    APPLIED_WRITE_BYTES,
    MAX_APPLIED_WRITES,
    Ballot,
    Proposal,
    RegisterState,
    View,
)
from rosechute.messages import coordination_pb2 as pb
from rosechute.messages.framing import MessageKind, encode_frame

MAX_ACCEPTORS = 10


class LargestWriteTest(TestCase):
    """The frame size limit allows messages with the largest configuration."""

    def test_every_message_with_the_largest_state_fits_into_a_frame(self) -> None:
        state = RegisterState(
            9, 9, 9, b" " * BODY_LIMIT_BYTES, b"d" * 16, b"t" * (APPLIED_WRITE_BYTES * MAX_APPLIED_WRITES)
        )
        machine = MachineIdentity("i" * 16, "n" * 64, "z" * 64, "255.255.255.255:65535", "255.255.255.255:65535")
        view = View(9, (machine,) * MAX_ACCEPTORS, (machine.id,) * MAX_ACCEPTORS, MAX_ACCEPTORS)
        proposal = Proposal(Ballot(9, machine.id, 2**52), view, state)
        configuration = pb.Configuration(version=9, body=state.body, digest=state.digest)
        for message in (
            pb.CoreMessage(chain_write=pb.ChainWrite(epoch=9, sequence=9, configuration=configuration)),
            pb.CoreMessage(promise=pb.Promise(epoch=9, accepted=proposal.to_message(), state=state.to_message())),
            pb.CoreMessage(accept=pb.Accept(epoch=9, proposal=proposal.to_message())),
            pb.CoreMessage(decided=pb.Decided(view=view.to_message(), state=state.to_message())),
        ):
            with self.subTest(message.WhichOneof("body")):
                self.assertGreater(len(encode_frame(MessageKind.COORDINATION, message.SerializeToString())), 0)

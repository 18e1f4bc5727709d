"""The control side at its limits: the largest order, disks that can't be read, and the end of a leaving process."""

from __future__ import annotations

import errno
import os
import tempfile
from types import SimpleNamespace
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from loguru import logger

from rosechute.configuration.process import CloudApi, Listen, ProcessSettings
from rosechute.control_plane import handover, record_loading
from rosechute.control_plane.core_machine import CoreMachine
from rosechute.control_plane.operator_api import BODY_LIMIT_BYTES
from rosechute.coordination.types import MachineIdentity
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
from rosechute.storage.files import DiskDirectory
from rosechute.storage.record_store import RecordStore

MOST_ACCEPTORS = 10
FAILED_LOADS = 20
LOOK_S = 0.02  # by which each look at the clock moves it


def settings(data_dir: str = "/nowhere") -> ProcessSettings:
    return ProcessSettings(
        node_name="core-a",
        ip="10.0.0.1",
        zone="z",
        port_range=(7500, 7515),
        listen=Listen(control="10.0.0.1:8367"),
        cloud_api=CloudApi(address="10.200.0.1:8361"),
        data_dir=data_dir,
    )


class LargestOrder(TestCase):
    """An order that the operator's API lets in fits into every message that has to carry it."""

    def test_every_message_with_the_largest_state_fits_into_a_frame(self) -> None:
        state = RegisterState(
            9, 9, 9, b" " * BODY_LIMIT_BYTES, b"d" * 16, b"t" * (APPLIED_WRITE_BYTES * MAX_APPLIED_WRITES)
        )
        machine = MachineIdentity("i" * 16, "n" * 64, "z" * 64, "255.255.255.255:65535", "255.255.255.255:65535")
        view = View(9, (machine,) * MOST_ACCEPTORS, (machine.id,) * MOST_ACCEPTORS, MOST_ACCEPTORS)
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


class Loading(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logger.disable("rosechute.control_plane")
        self.addCleanup(logger.enable, "rosechute.control_plane")

    async def test_a_disk_that_refuses_at_the_start_costs_no_descriptors(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            store, _ = RecordStore.open(DiskDirectory(path)).unwrap()
            store.write_snapshot([b"record"]).unwrap()
            tries = 0
            before = len(os.listdir("/proc/self/fd"))

            def refuse(descriptor: int) -> None:
                nonlocal tries
                tries += 1
                if tries <= FAILED_LOADS:
                    raise OSError(errno.EIO, "Input/output error")

            with (
                mock.patch.object(record_loading, "LOAD_RETRY_S", 0.0),
                mock.patch("rosechute.storage.files.os.fdatasync", refuse),
            ):
                _, saved = await record_loading.load_records_until_readable(path)
            self.assertEqual(saved, [b"record"])
            self.assertLess(len(os.listdir("/proc/self/fd")) - before, FAILED_LOADS // 2)


class LeavingProcess(IsolatedAsyncioTestCase):
    """A process that is about to end runs on until the others go on without it."""

    async def leave(self, handed_over_after: int) -> tuple[float, int]:
        """How long it took on that clock, and how often the replica was asked."""
        machine: Any = CoreMachine(settings())
        looks = asked = 0

        class Replica:
            @property
            def is_handed_over(self) -> bool:
                nonlocal asked
                asked += 1
                return asked > handed_over_after

        def clock() -> float:
            nonlocal looks
            looks += 1
            return looks * LOOK_S

        machine._clock = clock
        runtime = SimpleNamespace(replica=Replica(), resign=mock.Mock())
        with (
            mock.patch.object(handover, "LINK_FLUSH_S", 0.0),
            mock.patch.object(handover, "HANDOVER_POLL_S", 0.0),
        ):
            await handover.hand_over(runtime, machine._clock)
        runtime.resign.assert_called_once_with()
        return looks * LOOK_S, asked

    async def test_it_ends_once_it_has_handed_over(self) -> None:
        took_s, asked = await self.leave(3)
        self.assertEqual(asked, 4)
        self.assertLess(took_s, handover.HANDOVER_TIMEOUT_S)

    async def test_it_ends_in_time_where_the_others_cannot_go_on(self) -> None:
        took_s, _ = await self.leave(10**6)
        self.assertLess(took_s, handover.HANDOVER_TIMEOUT_S + 0.1)

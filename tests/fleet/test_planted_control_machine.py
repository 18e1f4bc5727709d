"""A core machine alone in its core: it starts, leads, accepts writes over HTTP, reports its state, and stops.

Everything is real but the time: links, API, records on a disk. The clock of the loop moves by itself.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import threading
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web
from loguru import logger
from msgspec import structs

from rosechute.configuration.process import CloudApi, Listen, ProcessSettings
from rosechute.control_plane import core_machine, record_loading, replica_settings
from rosechute.control_plane.core_machine import CoreMachine
from rosechute.control_plane.core_report import CoreReport
from rosechute.control_plane.operator_api import BASE_VERSION_HEADER
from rosechute.control_plane.rate_lease_owners import ANY_EDGE, OwnerStatement
from rosechute.coordination.outcomes import OutcomeUnknown
from rosechute.coordination.replica_config import MachineIdentity, ReplicaConfig
from rosechute.distribution.actions import DialedLink, SendMessage
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.publisher import PublisherState
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer

from .data_site import VirtualTimeTestCase
from .test_control_core_report import reported_replica

GIVE_UP_S = 30.0  # of the simulated clock
BODY = json.dumps({"config_version": 4, "routes": [], "services": [], "tenants": []}).encode()


def setUpModule() -> None:
    logger.disable("rosechute.control_plane")  # the faults that are played here would fill the log


def tearDownModule() -> None:
    logger.enable("rosechute.control_plane")


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nothing listens at."""
    with_port = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports: list[int] = [each.getsockname()[1] for each in with_port]
    for each in with_port:
        each.close()
    return ports


async def until(condition: Callable[[], Any]) -> None:
    """Let the clock run until something holds."""
    end = asyncio.get_running_loop().time() + GIVE_UP_S
    while not condition():
        assert asyncio.get_running_loop().time() < end, "it never came about"
        await asyncio.sleep(0.01)


class RunningMachine(VirtualTimeTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        control, link, self.cloud = free_ports(3)
        self.settings = ProcessSettings(
            node_name="core-a",
            ip="127.0.0.1",
            zone="z",
            port_range=(link, link),
            listen=Listen(control=f"127.0.0.1:{control}"),
            seeds=(f"127.0.0.1:{control}",),
            bootstrap=True,
            cloud_api=CloudApi(address=f"127.0.0.1:{self.cloud}", rate_per_s=50.0),
            data_dir=folder.name,
        )
        self.lists = 0
        self.list_transport: Any = None

    async def start(self) -> CoreMachine:
        machine = CoreMachine(self.settings)
        machine._clock = asyncio.get_running_loop().time
        machine._endpoint_list_reader._clock = machine._clock

        def is_writing() -> bool:
            """Whether the disk syncs, in a thread and so in real time."""
            return machine._writer is not None and machine._writer.oldest_pending_since() is not None

        asyncio.get_running_loop()._virtual_selector.has_background_work = is_writing  # type: ignore[attr-defined]
        await machine.start()
        return machine

    async def lead(self) -> CoreMachine:
        machine = await self.start()
        await until(lambda: machine._leader_term() is not None)
        return machine

    async def settled(self, machine: CoreMachine) -> CoreReport:
        """Its report once it leads in a view that has its name: the first one knows addresses only."""
        found: list[CoreReport] = []

        def named() -> bool:
            report = machine.report()
            if report is not None and report.leader and report.acceptors == ["core-a"]:
                found.append(report)
            return bool(found)

        await until(named)
        return found[0]

    async def platform(self) -> web.AppRunner:
        """The platform's list, at its address."""

        async def instances(request: web.Request) -> web.Response:
            self.lists += 1
            self.list_transport = request.transport
            entry = {"id": "i-1", "service": "svc", "address": "10.0.1.1:1", "zone": "z", "slots": 8}
            return web.json_response({"instances": [entry]})

        application = web.Application()
        application.router.add_get("/instances", instances)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self.cloud).start()
        return runner

    async def call(self, method: str, path: str, **more: Any) -> tuple[int, bytes]:
        """A call of the operator, repeated while the core is unsure: the disk's syncs take real time."""
        async with aiohttp.ClientSession() as session:
            for _ in range(20):
                url = f"http://{self.settings.listen.control}{path}"
                async with session.request(method, url, allow_redirects=False, **more) as answer:
                    if answer.status != 503:
                        return answer.status, await answer.read()
                await asyncio.sleep(0.2)
        raise AssertionError("it stays unsure")

    async def replace(self) -> int:
        status, _ = await self.call("POST", "/config/replace", data=BODY, headers={BASE_VERSION_HEADER: "0"})
        return status

    def test_it_leads_and_accepts_writes(self) -> None:
        async def scene() -> None:
            machine = await self.lead()
            self.assertEqual(await self.replace(), 200)
            self.assertEqual(await self.call("GET", "/config/read"), (200, BODY))
            report = await self.settled(machine)
            self.assertEqual((report.leader, report.leader_name, report.term > 0), (True, "core-a", True))
            self.assertEqual((report.acceptors, report.chain), (["core-a"], ["core-a"]))
            self.assertEqual((report.epoch > 0, report.config_sequence, report.config_version), (True, 1, 4))
            self.assertLess(report.config_age_ms or 0, 200)
            self.assertEqual(report.edges, 0)
            identity = machine._runtime.replica.identity  # type: ignore[union-attr]
            self.assertEqual((report.id, identity.name, identity.zone), (identity.id, "core-a", "z"))
            self.assertEqual(identity.control_address, self.settings.listen.control)
            self.assertEqual(identity.peer_address, self.settings.core_link_address)
            await machine.stop()

        self.run_scenario(scene)

    def test_it_keeps_committed_writes_over_a_restart(self) -> None:
        async def scene() -> None:
            machine = await self.lead()
            await self.replace()
            await machine.stop()
            again = await self.lead()
            report = again.report()
            assert report is not None
            self.assertEqual((report.config_version, report.term > 1), (4, True))
            await again.stop()

        self.run_scenario(scene)

    def test_it_stops_completely(self) -> None:
        async def scene() -> None:
            before = threading.active_count()
            machine = await self.lead()
            writer = machine._writer
            assert writer is not None
            await machine.stop()
            self.assertIsNot(machine._publisher.state, PublisherState.LEADER)
            writer._thread.join(20.0)
            self.assertFalse(writer._thread.is_alive())
            self.assertLessEqual(threading.active_count(), before + 1)
            for address in (self.settings.listen.control, self.settings.core_link_address):
                host, _, port = address.rpartition(":")
                with self.assertRaises(OSError):
                    await asyncio.open_connection(host, int(port))
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.2)
            ticks = [each for each in loop._scheduled if "_tick" in repr(each) and not each.cancelled()]  # type: ignore[attr-defined]
            self.assertEqual(ticks, [])
            self.assertTrue(machine._task is not None and machine._task.done())

        self.run_scenario(scene)

    def test_it_leaves_no_connection_open(self) -> None:
        async def scene() -> None:
            runner = await self.platform()
            machine = await self.lead()
            await until(lambda: self.lists)
            received, closed = [], []  # type: ignore[var-annotated]
            (port,) = free_ports(1)
            other = LinkServer(f"127.0.0.1:{port}", lambda *message: received.append(message), closed.append)
            await other.start()
            machine._links.send_to_core(f"127.0.0.1:{port}", CoreMessage(boot=3))
            await until(lambda: received)
            self.assertFalse(self.list_transport.is_closing())
            await machine.stop()
            await until(lambda: closed)
            await until(self.list_transport.is_closing)
            other.close()
            await runner.cleanup()

        self.run_scenario(scene)

    def test_it_ends_before_its_records_are_loaded(self) -> None:
        async def scene() -> None:
            machine = CoreMachine(self.settings)
            await machine.stop()
            self.assertIsNone(machine.report())

        self.run_scenario(scene)

    def test_it_reads_the_list_while_it_leads(self) -> None:
        async def scene() -> None:
            runner = await self.platform()
            machine = await self.lead()
            await until(lambda: machine._publisher._store.lists())
            (found,) = machine._publisher._store.lists()
            self.assertEqual((found.service, list(found.servers)), ("svc", ["i-1"]))
            self.assertGreater(found.position[0], 0)
            await machine.stop()
            await asyncio.sleep(1.0)
            read = self.lists
            await asyncio.sleep(3.0)
            self.assertEqual(self.lists, read)
            await runner.cleanup()

        self.run_scenario(scene)

    def test_a_disk_that_cannot_be_read_is_tried_again(self) -> None:
        async def scene() -> None:
            real, failed = record_loading.load_records, []

            async def load(folder: Any) -> Any:
                if len(failed) < 2:
                    failed.append(asyncio.get_running_loop().time())
                    with mock.patch.object(type(folder), "read", side_effect=OSError(5, "Input/output error")):
                        return await real(folder)
                return await real(folder)

            with mock.patch.object(record_loading, "load_records", load):
                machine = await self.lead()
            self.assertEqual(len(failed), 2)
            self.assertGreater(failed[1] - failed[0], 0.1, "after a pause")
            await machine.stop()

        self.run_scenario(scene)

    def test_messages_of_core_machines_reach_the_replica_once_there_is_one(self) -> None:
        async def scene() -> None:
            machine: Any = CoreMachine(self.settings)
            received: list[CoreMessage] = []
            message = CoreMessage(boot=3)
            machine._links._on_frame(None, MessageKind.COORDINATION, message.SerializeToString())
            machine._runtime = SimpleNamespace(receive=received.append)
            machine._links._on_frame(None, MessageKind.COORDINATION, message.SerializeToString())
            self.assertEqual(received, [message])

        self.run_scenario(scene)

    def test_messages_over_links(self) -> None:
        async def scene() -> None:
            machine = await self.lead()
            await self.replace()
            told: list[pb.Distribution] = []
            pool = LinkPool(lambda _, __, data: told.append(pb.Distribution.FromString(data)))
            renew = pb.Renew(request=1, edge=pb.Edge(name="e", zone="z", address="127.0.0.1:9"), boot=1)
            message = pb.Distribution(renew=renew).SerializeToString()
            pool.send(self.settings.core_link_address, MessageKind.DISTRIBUTION, message)
            await until(lambda: told)
            renewed = told[0].renewed
            self.assertEqual((renewed.config_sequence, renewed.config_known), (1, True))
            self.assertEqual(renewed.core[0].control, self.settings.listen.control)
            pool.close()
            await machine.stop()

        self.run_scenario(scene)


OWN = MachineIdentity("a", "core-a", "z", "10.0.0.1:8367", "10.0.0.1:7500")
OTHER = MachineIdentity("b", "core-b", "z", "10.0.0.2:8367", "10.0.0.2:7500")


SETTINGS = ProcessSettings(
    node_name="core-a",
    ip="10.0.0.1",
    zone="z",
    port_range=(7500, 7500),
    listen=Listen(control=OWN.control_address),
    seeds=("10.0.0.1:8367", "10.0.0.2:8367"),
    bootstrap=True,
    cloud_api=CloudApi(address="10.0.0.9:80", rate_per_s=50.0),
)
SEEDS = (("10.0.0.1:8367", "10.0.0.1:7500"), ("10.0.0.2:8367", "10.0.0.2:7500"))


class MachineParts(VirtualTimeTestCase):
    """What ties the parts of a machine together, with fakes that record their calls."""

    def setUp(self) -> None:
        self.machine: Any = CoreMachine(SETTINGS)
        self.machine._clock = lambda: 9.0
        self.publisher = self.machine._publisher = mock.Mock(state=PublisherState.LEADER, term=5)
        for call in (
            "receive",
            "configuration_committed",
            "leadership_gained",
            "leadership_lost",
            "endpoint_list_read",
            "tick",
        ):
            getattr(self.publisher, call).return_value = []
        self.replica = self.machine_replica()

    def machine_replica(self) -> Any:
        return SimpleNamespace(
            identity=OWN,
            is_leader=lambda now: now == 9.0,
            freshness=lambda now: (3, 0.25),
            leader_hint=lambda: OTHER,
            core_machines=lambda: [OWN, OTHER],
            update_seeds=mock.Mock(),
        )

    def load(self) -> None:
        """The records are loaded."""
        self.machine._runtime = SimpleNamespace(replica=self.replica, tick=mock.Mock(), receive=mock.Mock())

    def test_settings_of_the_replica(self) -> None:
        wanted = ReplicaConfig("core-a", "z", OWN.control_address, OWN.peer_address, True, SEEDS)
        self.assertEqual(replica_settings.replica_config(SETTINGS), wanted)

    def test_other_settings(self) -> None:
        other = structs.replace(SETTINGS, cloud_api=CloudApi(address="10.0.0.8:80", rate_per_s=7.0))
        self.machine.change_settings(other)
        self.assertEqual(
            (self.machine._list_calls_per_s(), self.machine._endpoint_list_client.address), (7.0, "10.0.0.8:80")
        )
        self.load()
        self.machine.change_settings(SETTINGS)
        self.replica.update_seeds.assert_called_once_with(SEEDS)

    def test_nothing_is_reported_or_answered_before_the_records_are_loaded(self) -> None:
        async def scene() -> None:
            self.assertIsInstance(await self.machine.read(), OutcomeUnknown)
            self.assertIsInstance(await self.machine.propose_write(0, 1, b"", b""), OutcomeUnknown)
            self.assertIsNone(self.machine._leader_term())
            self.machine._writer = mock.Mock()
            self.assertIsNone(self.machine.report())
            self.load()
            self.machine._writer = None
            self.assertIsNone(self.machine.report())

        self.run_scenario(scene)

    def test_how_long_the_oldest_record_waits_is_reported(self) -> None:
        self.load()
        self.machine._runtime.replica = reported_replica()
        self.publisher.edges_total.return_value = 12
        for oldest, told in ((8.875, 125), (None, 0)):
            self.machine._writer = mock.Mock()
            self.machine._writer.oldest_pending_since.return_value = oldest
            self.assertEqual(self.machine.report().write_age_ms, told)

    def test_the_term_is_held_while_the_lease_is(self) -> None:
        self.load()
        self.assertEqual(self.machine._leader_term(), 5)
        self.machine._clock = lambda: 9.5
        self.assertIsNone(self.machine._leader_term())

    def test_lost_leadership_is_published_by_a_leader_only(self) -> None:
        self.machine.leadership_lost()
        self.publisher.leadership_lost.assert_called_once_with(9.0)
        self.publisher.state = PublisherState.FOLLOWER
        self.machine.leadership_lost()
        self.publisher.leadership_lost.assert_called_once_with(9.0)

    def persist(self, statement: OwnerStatement | None) -> Any:
        """Let the machine look at what the quotas have to state; return what the replica is asked to persist."""
        self.machine._quota = mock.Mock()
        self.machine._quota.rate_lease_owners_to_persist.return_value = statement
        runtime = SimpleNamespace(replica=self.replica, persist_rate_lease_owners=mock.Mock())
        self.machine._persist_rate_lease_owners(self.machine._clock(), runtime)
        return runtime.persist_rate_lease_owners

    def test_a_leader_has_the_owners_of_rate_leases_stored_for_its_term(self) -> None:
        for statement in (OwnerStatement(frozenset("a")), ANY_EDGE):
            self.persist(statement).assert_called_once_with(5, statement.edges)

    def test_nothing_is_stored_where_nothing_is_stated(self) -> None:
        self.persist(None).assert_not_called()

    def test_a_follower_stores_nothing_and_asks_for_nothing(self) -> None:
        self.publisher.state = PublisherState.FOLLOWER
        self.persist(ANY_EDGE).assert_not_called()
        self.machine._quota.rate_lease_owners_to_persist.assert_not_called()

    def test_a_leader_whose_lease_has_ended_stores_nothing(self) -> None:
        self.machine._clock = lambda: 9.5
        self.persist(ANY_EDGE).assert_not_called()
        self.machine._quota.rate_lease_owners_to_persist.assert_not_called()

    def test_owners_that_are_stored_go_to_the_quotas(self) -> None:
        self.machine._quota = mock.Mock()
        self.machine.rate_lease_owners_persisted(5, None)
        self.machine._quota.rate_lease_owners_persisted.assert_called_once_with(5, ANY_EDGE)

    def test_the_log_tells_how_many_owners_are_known(self) -> None:
        logged: list[str] = []
        logger.enable("rosechute.control_plane")
        sink = logger.add(lambda line: logged.append(str(line)), format="{message}")
        self.machine.leadership_gained(5, frozenset("ab"))
        self.machine.leadership_gained(6, None)
        logger.remove(sink)
        logger.disable("rosechute.control_plane")
        self.assertEqual(
            logged,
            ["became leader term=5 rate_lease_owners=2\n", "became leader term=6 rate_lease_owners=unknown\n"],
        )

    def test_a_message_after_a_freeze_finds_the_lease_ended(self) -> None:
        """The message is handled before the replica's next tick: the answer is none of a leader."""
        self.load()
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        self.publisher.leadership_lost.assert_not_called()
        self.machine._clock = lambda: 9.5
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        names = [name for name, _, _ in self.publisher.method_calls]
        self.assertLess(names.index("leadership_lost"), len(names) - 1 - names[::-1].index("receive"))

    def test_the_publisher_is_refreshed_before_each_message_of_an_edge(self) -> None:
        self.load()
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        core = tuple(CoreAddress(one.id, one.peer_address, one.control_address) for one in (OWN, OTHER))
        self.assertEqual(
            self.publisher.method_calls,
            [
                mock.call.update_freshness(9.0, 3, 0.25),
                mock.call.set_leader_address(OTHER.peer_address),
                mock.call.set_core_machines(core),
                mock.call.receive(9.0, "c", pb.Distribution()),
            ],
        )
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        self.publisher.set_core_machines.assert_called_once_with(core)
        self.replica.core_machines = lambda: [OWN]
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        self.assertEqual(self.publisher.set_core_machines.call_args, mock.call(core[:1]))

    def test_what_the_replica_does_not_know(self) -> None:
        self.load()
        self.replica.freshness = lambda now: None
        for leader in (None, OWN):
            self.replica.leader_hint = lambda leader=leader: leader
            self.machine._refresh_publisher(9.0, self.replica)
            self.assertEqual(self.publisher.set_leader_address.call_args, mock.call(None))
        self.publisher.update_freshness.assert_not_called()

    def test_messages_go_to_the_part_of_their_kind(self) -> None:
        self.machine._links._on_frame("c", MessageKind.COORDINATION, CoreMessage(boot=3).SerializeToString())
        self.machine._links._on_frame("c", MessageKind.DISTRIBUTION, b"")
        self.assertEqual(self.publisher.method_calls, [mock.call.receive(9.0, "c", pb.Distribution())])
        self.load()
        self.machine._links._on_frame("c", MessageKind.COORDINATION, CoreMessage(boot=3).SerializeToString())
        self.machine._runtime.receive.assert_called_once_with(CoreMessage(boot=3))
        self.assertEqual(self.publisher.receive.call_count, 1)

    def test_answers_go_back_on_their_connection(self) -> None:
        connection = mock.Mock(spec=LinkConnection)
        self.machine._links._pool = mock.Mock()
        message = pb.Distribution(renewed=pb.Renewed(request=4))
        self.machine._links.send_to_edges([SendMessage(connection, message)])
        connection.send.assert_called_once_with(MessageKind.DISTRIBUTION, message.SerializeToString())
        self.machine._links._pool.send.assert_not_called()
        self.machine._links.send_to_edges([SendMessage(DialedLink("10.0.0.2:7501"), message)])
        self.machine._links._pool.send.assert_called_once_with(
            "10.0.0.2:7501", MessageKind.DISTRIBUTION, message.SerializeToString()
        )

    def test_it_ticks_on_after_a_tick_that_failed(self) -> None:
        async def scene() -> None:
            self.load()
            self.machine._clock = asyncio.get_running_loop().time
            self.machine._runtime.tick.side_effect = [ValueError("a fault of the program"), None, None, None]
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            loop.call_soon(self.machine._tick, self.machine._runtime, loop.time())
            await asyncio.sleep(2.5 * core_machine.TICK_S)
            self.assertEqual(self.machine._runtime.tick.call_count, 3)
            self.machine._next_tick.cancel()

        self.run_scenario(scene)

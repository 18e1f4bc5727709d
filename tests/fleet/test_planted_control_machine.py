"""A core machine as a whole, alone in its core: it starts, leads, takes orders over HTTP, tells of itself, and ends.

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

from rosechute.configuration.process import CloudApi, Listen, ProcessSettings
from rosechute.control import core_machine, list_client
from rosechute.control.core_machine import CoreMachine
from rosechute.control.core_report import CoreReport, core_report
from rosechute.control.list_client import ListClient
from rosechute.control.operator_api import BASE_VERSION_HEADER
from rosechute.coordination.types import CommittedConfiguration, Identity
from rosechute.distribution.publisher import PublisherState
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.messages.framing import Kind
from rosechute.messages.link import LinkPool

from .data_site import SiteCase

GIVE_UP_S = 30.0  # of the simulated clock
BODY = json.dumps({"config_version": 4, "routes": [], "services": [], "tenants": []}).encode()


def setUpModule() -> None:
    logger.disable("rosechute.control")  # what is played here would be told at length


def tearDownModule() -> None:
    logger.enable("rosechute.control")


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


class RunningMachine(SiteCase):
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

    async def start(self) -> CoreMachine:
        machine = CoreMachine(self.settings)
        machine._clock = asyncio.get_running_loop().time
        machine._reader._clock = machine._clock
        await machine.start()
        return machine

    async def lead(self) -> CoreMachine:
        machine = await self.start()
        await until(lambda: machine._held_term() is not None)
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

    def test_it_leads_and_takes_orders(self) -> None:
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

        self.play(scene)

    def test_it_knows_after_a_restart_what_it_took(self) -> None:
        async def scene() -> None:
            machine = await self.lead()
            await self.replace()
            await machine.stop()
            again = await self.lead()
            report = again.report()
            assert report is not None
            self.assertEqual((report.config_version, report.term > 1), (4, True))
            await again.stop()

        self.play(scene)

    def test_it_ends_whole(self) -> None:
        async def scene() -> None:
            before = threading.active_count()
            machine = await self.lead()
            writer = machine._writer
            assert writer is not None
            await machine.stop()
            self.assertIsNot(machine._publisher.state, PublisherState.LEADER)
            writer._thread.join(20.0)
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

        self.play(scene)

    def test_it_ends_before_its_records_are_loaded(self) -> None:
        async def scene() -> None:
            machine = CoreMachine(self.settings)
            await machine.stop()
            self.assertIsNone(machine.report())

        self.play(scene)

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

        self.play(scene)

    def test_a_disk_that_cannot_be_read_is_tried_again(self) -> None:
        async def scene() -> None:
            real, failed = core_machine.load_records, []

            async def load(folder: Any) -> Any:
                if len(failed) < 2:
                    failed.append(asyncio.get_running_loop().time())
                    with mock.patch.object(type(folder), "read", side_effect=OSError(5, "Input/output error")):
                        return await real(folder)
                return await real(folder)

            with mock.patch.object(core_machine, "load_records", load):
                machine = await self.lead()
            self.assertEqual(len(failed), 2)
            self.assertGreater(failed[1] - failed[0], 0.1, "after a pause")
            await machine.stop()

        self.play(scene)

    def test_messages_of_core_machines_reach_the_replica_once_there_is_one(self) -> None:
        async def scene() -> None:
            machine: Any = CoreMachine(self.settings)
            received: list[CoreMessage] = []
            message = CoreMessage(boot=3)
            machine._received(None, Kind.COORDINATION, message.SerializeToString())
            machine._runtime = SimpleNamespace(receive=received.append)
            machine._received(None, Kind.COORDINATION, message.SerializeToString())
            self.assertEqual(received, [message])

        self.play(scene)

    def test_messages_over_links(self) -> None:
        async def scene() -> None:
            machine = await self.lead()
            await self.replace()
            told: list[pb.Distribution] = []
            pool = LinkPool(lambda _, __, data: told.append(pb.Distribution.FromString(data)))
            renew = pb.Renew(request=1, edge=pb.Edge(name="e", zone="z", address="127.0.0.1:9"), boot=1)
            message = pb.Distribution(renew=renew).SerializeToString()
            pool.send(self.settings.core_link_address, Kind.DISTRIBUTION, message)
            await until(lambda: told)
            renewed = told[0].renewed
            self.assertEqual((renewed.config_sequence, renewed.config_known), (1, True))
            self.assertEqual(renewed.core[0].control, self.settings.listen.control)
            pool.close()
            await machine.stop()

        self.play(scene)


OWN = Identity("a", "core-a", "z", "10.0.0.1:8367", "10.0.0.1:7500")
OTHER = Identity("b", "core-b", "z", "10.0.0.2:8367", "10.0.0.2:7500")


class ReportTest(SiteCase):
    """What an operator is told; what is not known is told as such."""

    def replica(self, **fields: Any) -> Any:
        view = SimpleNamespace(epoch=7, acceptors=(OWN, OTHER), chain=("b", "a", "gone"))
        known = {
            "view": view, "identity": OWN, "term": 5, "committed": CommittedConfiguration(3, 40, b"", b""),
            "is_leader": lambda now: now == 9.0, "leader_hint": lambda: OTHER, "freshness": lambda now: (3, 0.25),
        }
        return SimpleNamespace(**(known | fields))

    def test_everything_that_is_known(self) -> None:
        found = core_report(self.replica(), 9.0, 0.125, 12)
        self.assertEqual((found.id, found.leader, found.leader_name, found.term), ("a", True, "core-b", 5))
        self.assertEqual((found.epoch, found.acceptors), (7, ["core-a", "core-b"]))
        self.assertEqual(found.chain, ["core-b", "core-a", "gone"])
        self.assertEqual((found.config_sequence, found.config_version, found.config_age_ms), (3, 40, 250))
        self.assertEqual((found.write_age_ms, found.edges), (125, 12))

    def test_nothing_is_known(self) -> None:
        nothing = {"committed": None, "leader_hint": lambda: None, "freshness": lambda now: None}
        found = core_report(self.replica(**nothing), 8.0, 0.0, 0)
        self.assertEqual((found.leader, found.leader_name, found.config_age_ms), (False, "", None))
        self.assertEqual((found.config_sequence, found.config_version), (0, 0))


class ListClientTest(SiteCase):
    """Calls of the platform's list over loopback."""

    def serve(self, handler: Any) -> Any:
        async def start() -> tuple[web.AppRunner, ListClient]:
            application = web.Application()
            application.router.add_get("/instances", handler)
            runner = web.AppRunner(application)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            return runner, ListClient(f"127.0.0.1:{runner.addresses[0][1]}")

        return start()

    def test_pages_by_their_tokens_over_one_connection(self) -> None:
        async def scene() -> None:
            asked: list[Any] = []

            async def instances(request: web.Request) -> web.Response:
                asked.append((dict(request.query), request.transport))
                return web.json_response({"instances": [], "next_token": "n"})

            runner, client = await self.serve(instances)
            for token in (None, "n"):
                self.assertEqual((await client.fetch(token)).unwrap().next_token, "n")
            self.assertEqual([query for query, _ in asked], [{}, {"page_token": "n"}])
            self.assertIs(asked[0][1], asked[1][1])
            await client.close()
            await client.close()
            self.assertTrue((await client.fetch(None)).unwrap() is not None, "opens again")
            await client.close()
            await runner.cleanup()

        self.play(scene)

    def test_another_status_is_a_failure(self) -> None:
        async def scene() -> None:
            async def instances(request: web.Request) -> web.Response:
                return web.json_response({"instances": []}, status=429)

            runner, client = await self.serve(instances)
            self.assertEqual((await client.fetch(None)).failure().reason, "status 429")
            await client.close()
            await runner.cleanup()

        self.play(scene)

    def test_a_call_that_takes_too_long(self) -> None:
        async def scene() -> None:
            async def instances(request: web.Request) -> web.Response:
                await asyncio.sleep(20.0)
                return web.json_response({"instances": []})

            runner, client = await self.serve(instances)
            began = asyncio.get_running_loop().time()
            self.assertIn("no answer within", (await client.fetch(None)).failure().reason)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
            self.assertGreater(list_client.CALL_TIMEOUT_S, 0.3)
            await client.close()
            await runner.shutdown()

        self.play(scene)

    def test_nobody_listens(self) -> None:
        async def scene() -> None:
            client = ListClient(f"127.0.0.1:{free_ports(1)[0]}")
            self.assertTrue((await client.fetch(None)).failure().reason)
            await client.close()

        self.play(scene)

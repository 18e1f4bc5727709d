"""A fleet of one core process and one edge with small limits, and the checks that every crowd test makes."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.engine import Engine
from rosechute.fakes.fleet.loopback_network import reserve_network
from rosechute.fakes.fleet.operator import Operator
from rosechute.fakes.fleet.platform import Instance, PlatformList
from rosechute.fakes.fleet.processes import FRONT_PORT, READINESS_PORT, Fleet, FleetNode
from tests.crowds.watch import MEGABYTE, Watch

ZONE = "north"
HOST = "fleet.example"
PLAIN, STREAMS = "plain", "streams"
MEMORY_MB, MAX_FDS = 128, 600  # limits of each process: small, so that a small crowd shows a fault
HANG_S = 30.0  # a request that is not answered within this time is not answered at all
RETRY_S = 0.2
SPARE_DESCRIPTORS = 16  # idle connections to servers and callers that may stay open after a crowd
CONFIGURATION: dict[str, Any] = {
    "config_version": 1,
    "routes": [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "route_type": route_type,
            "timeout_ms": 20000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": service,
            "max_attempts": 1,
        }
        for name, route_type, service in (("plain", "non_idempotent", PLAIN), ("streams", "streaming", STREAMS))
    ],
    "services": [
        {"name": name, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": False}
        for name in (PLAIN, STREAMS)
    ],
    "limits": {
        "max_header_bytes": 65536,
        "max_body_bytes": 8 * MEGABYTE,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 8000,
    },
}


@dataclass(slots=True)
class Deployment:
    """A running fleet of one core process and one edge."""

    fleet: Fleet
    platform: PlatformList
    operator: Operator
    folder: Path
    configuration: dict[str, Any]
    version: int = 1
    """Version of the configuration that was acknowledged last."""

    @property
    def core(self) -> FleetNode:
        """The core process."""
        return self.fleet.by_role("core")[0]

    @property
    def edge(self) -> FleetNode:
        """The edge process."""
        return self.fleet.by_role("edge")[0]

    async def request(self, body: bytes = b"ordinary") -> None:
        """Have one ordinary request answered by a server, with the retries that a 503 asks for."""
        headers = {"Host": HOST, words.DEADLINE_MS: "20000"}
        expected = words.plain_body("/plain/1", body)
        await self._until_answered(
            "POST", f"http://{self.edge.ip}:{FRONT_PORT}/plain/1", headers, body, lambda answer: answer == expected
        )

    async def probe_readiness(self) -> None:
        """Have the edge answer one readiness probe."""
        await self._until_answered("GET", f"http://{self.edge.ip}:{READINESS_PORT}/readiness")

    async def read_metrics(self, node: FleetNode, port: int) -> None:
        """Have a process answer one read of its metrics."""
        await self._until_answered("GET", f"http://{node.ip}:{port}/metrics")

    async def read_state(self, node: FleetNode) -> None:
        """Have a process answer one read of its state."""
        await self._until_answered("GET", f"http://{node.state}/state")

    async def change_configuration(self, padding_bytes: int = 0) -> None:
        """Have the core take the next configuration, and read it back."""
        wanted = {**self.configuration, "config_version": self.version + 1, "padding": "x" * padding_bytes}
        outcome = await self.operator.replace(wanted, self.version, HANG_S)
        assert outcome.status == 200, f"configuration: status {outcome.status} after {outcome.calls} calls"
        read = await self.operator.read(HANG_S)
        assert read.status == 200 and msgspec.json.decode(read.body) == wanted
        self.version += 1

    async def _until_answered(
        self, method: str, url: str, headers: dict[str, str] | None = None, body: bytes = b"", is_right: Any = None
    ) -> None:
        """Send one request until its answer is 200; fail if there is none within `HANG_S`."""
        number, status, failure = 0, 0, ""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_S):
                while True:
                    number += 1
                    marked = {**(headers or {}), words.REQUEST_ID: f"ordinary-{number}"}
                    try:
                        async with (
                            aiohttp.ClientSession() as session,
                            session.request(method, url, headers=marked, data=body or None) as response,
                        ):
                            status, answer = response.status, await response.read()
                            if status == 200 and (is_right is None or is_right(answer)):
                                return
                    except (aiohttp.ClientError, OSError) as error:
                        failure = repr(error)
                    await asyncio.sleep(RETRY_S)
        raise AssertionError(f"{method} {url}: no answer in {number} tries; last status {status}, failure {failure}")


async def restart(fleet: Fleet, node: FleetNode, max_fds: int = MAX_FDS) -> None:
    """Stop a process with SIGTERM, which it must obey, and start it again."""
    assert node.process is not None
    node.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(HANG_S):
        code = await node.process.wait()
    assert code == 0, f"{node.name} ended with {code}"
    await fleet.start(node.name)
    limit_descriptors(node, max_fds)


def limit_descriptors(node: FleetNode, most: int) -> None:
    """Enforce the descriptor limit of the settings."""
    assert node.process is not None
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (most, most))


@contextlib.asynccontextmanager
async def deployment(
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    spawn_options: dict[str, Any] | None = None,
    configuration: dict[str, Any] = CONFIGURATION,
) -> AsyncIterator[Deployment]:
    """Run a fleet with these limits and a server of each service, ready to serve."""
    network = reserve_network()
    with tempfile.TemporaryDirectory(prefix="rosechute-crowd-") as name:
        folder, platform = Path(name), PlatformList()
        fleet = Fleet(folder, network, await platform.start(f"127.{network}.1.1"), (ZONE,))
        fleet.memory_mb, fleet.max_fds = memory_mb, max_fds
        fleet.spawn_options = spawn_options or {}
        engines = [Engine(f"i-{service}", streaming=service == STREAMS, slots=200) for service in (PLAIN, STREAMS)]
        for engine, service in zip(engines, (PLAIN, STREAMS), strict=True):
            address = await engine.start(f"127.{network}.4.1")
            platform.put(Instance(id=engine.id, service=service, address=address, zone=ZONE, slots=200))
        running = Deployment(fleet, platform, Operator(fleet.control_addresses()), folder, configuration)
        try:
            await fleet.start_all()
            for node in fleet.nodes.values():
                limit_descriptors(node, max_fds)
            outcome = await running.operator.replace(configuration, 0, HANG_S)
            assert outcome.status == 200, outcome
            await running.probe_readiness()
            await running.request()
            yield running
        finally:
            await fleet.stop_all()
            for engine in engines:
                await engine.stop()
            await platform.stop()


@contextlib.asynccontextmanager
async def bounded(
    node: FleetNode, memory_mb: int = MEMORY_MB, max_fds: int = MAX_FDS, server_ips: Sequence[str] = ()
) -> AsyncIterator[None]:
    """Check that a process of the fleet stays within the limits of its settings: see `bounded_process`."""
    assert node.process is not None
    async with bounded_process(node.process, node.ip, memory_mb, max_fds, server_ips):
        yield


@contextlib.asynccontextmanager
async def bounded_process(
    process: asyncio.subprocess.Process, ip: str, memory_mb: int, max_fds: int, server_ips: Sequence[str] = ()
) -> AsyncIterator[None]:
    """Check that a process lives on and stays within these limits, and that its descriptors come back at the end."""
    watch = Watch(process.pid, ip, server_ips=server_ips)
    before = watch.descriptors()
    watch.start()
    try:
        yield
        assert process.returncode is None, f"the process ended with {process.returncode}"
        await _until_descriptors(watch, before)
    finally:
        peaks = watch.stop()
        print(f"limits {memory_mb} MB, {max_fds} descriptors; peaks {peaks}")
    assert peaks.memory_bytes <= memory_mb * MEGABYTE, f"limit {memory_mb} MB: {peaks}"
    assert peaks.descriptors <= max_fds, f"limit {max_fds} descriptors: {peaks}"


async def _until_descriptors(watch: Watch, before: int) -> None:
    """Wait until the crowd's descriptors are closed; a few connections to servers and callers may stay open."""
    allowed = before + SPARE_DESCRIPTORS
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANG_S):
            while watch.descriptors() > allowed:
                await asyncio.sleep(RETRY_S)
    assert watch.descriptors() <= allowed, f"{watch.descriptors()} descriptors, {before} before the crowd"

"""A whole deployment on loopback: platform, model servers, operator, entry, clients, and the fleet between them."""

from __future__ import annotations

import asyncio
import copy
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rosechute.fakes.fleet.clients import Clients, Kind
from rosechute.fakes.fleet.engine import Engine
from rosechute.fakes.fleet.entry import Entry
from rosechute.fakes.fleet.judge import Verdict, judge
from rosechute.fakes.fleet.operator import Operator, Outcome
from rosechute.fakes.fleet.platform import Instance, PlatformList
from rosechute.fakes.fleet.processes import Fleet

HOST = "fleet.example"
KEY, OTHER_KEY = "k-harbour-1", "k-harbour-2"
MODEL, PLAIN = "model", "plain"
FIRST_NETWORK, NETWORKS = 20, 200
SERVER_NETWORK, PLATFORM_NETWORK = 4, 1
SERVERS_A_ZONE = 2
SLOTS = 16
LOOK_S = 0.05

KINDS = [
    Kind("summary", HOST, "/summary/7", 12, KEY, streaming=True, repeatable=True, output_tokens=60),
    Kind("reply", HOST, "/reply/7", 8, KEY, streaming=True, output_tokens=40),
    Kind("confirm", HOST, "/confirm/7", 15, OTHER_KEY),
]
CONFIGURATION: dict[str, Any] = {
    "config_version": 1,
    "routes": [
        {
            "name": "summary",
            "host": HOST,
            "path_prefix": "/summary/",
            "route_type": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "service": MODEL,
            "max_attempts": 2,
            "sticky": True,
            "stream_resume": True,
            "gap_aim_ms": 500,
        },
        {
            "name": "reply",
            "host": HOST,
            "path_prefix": "/reply/",
            "route_type": "streaming",
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": MODEL,
            "max_attempts": 1,
            "sticky": True,
            "gap_aim_ms": 500,
        },
        {
            "name": "confirm",
            "host": HOST,
            "path_prefix": "/confirm/",
            "route_type": "non_idempotent",
            "timeout_ms": 2500,
            "target_latency_ms": 200,
            "priority": 2,
            "service": PLAIN,
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": MODEL,
            "health_path": "/health",
            "max_connections": 96,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": SLOTS,
                "kv_capacity": 100000,
                "kv_token_bytes": 4096,
                "link_mbps": 10000.0,
                "stride": 5,
                "models": [{"name": "m"}],
            },
        },
        {"name": PLAIN, "health_path": "/health", "max_connections": 48, "protocol": "h1", "tls": False},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "harbour",
            "api_keys": [KEY, OTHER_KEY],
            "priority": 1,
            "unit": "token_stream",
            "uncached_tokens": 100,
            "rate_per_s": 40000,
            "burst": 40000,
        }
    ],
}


class Scene:
    """Everything, in one folder and one network of loopback."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.network = FIRST_NETWORK + os.getpid() % NETWORKS
        self.platform = PlatformList()
        self.engines: dict[str, Engine] = {}
        self.configuration = copy.deepcopy(CONFIGURATION)
        self._folder, self._seed = folder, seed

    async def start(self) -> None:
        """Start all; the fleet's processes are not waited for."""
        address = await self.platform.start(f"127.{self.network}.{PLATFORM_NETWORK}.1")
        self.fleet = Fleet(self._folder, self.network, address)
        for index, zone in enumerate(self.fleet.zones, 1):
            for service in (MODEL, PLAIN):
                for number in range(SERVERS_A_ZONE):
                    await self.add_server(f"i-{service}-{zone}-{number + 1}", service, zone, index)
        self.operator = Operator(self.fleet.controls(), self._seed)
        self.entry = Entry(self.fleet.gates())
        self.clients = Clients(self.entry, list(self.fleet.zones), self._seed)
        await self.fleet.start_all()
        self.entry.start()

    async def stop(self) -> None:
        """End all."""
        await self.entry.stop()
        await self.fleet.stop_all()
        for engine in self.engines.values():
            await engine.stop()
        await self.platform.stop()

    async def add_server(self, name: str, service: str, zone: str, zone_number: int) -> None:
        """Start a server and show it in the list."""
        engine = Engine(name, streaming=service == MODEL, slots=SLOTS)
        address = await engine.start(f"127.{self.network}.{SERVER_NETWORK}.{zone_number}")
        self.engines[name] = engine
        self.platform.put(Instance(id=name, service=service, address=address, zone=zone, slots=SLOTS))

    def drain(self, name: str) -> None:
        """Have a server leave: it serves on, and the list shows it."""
        self.engines[name].draining = True
        self.platform.drain(name)

    async def order(self, change: Callable[[dict[str, Any]], None] | None = None, within_s: float = 10.0) -> Outcome:
        """Send the next configuration, after a change to the one before; the first one as it is."""
        wanted, base = copy.deepcopy(self.configuration), 0
        if change is not None:
            base = int(wanted["config_version"])
            wanted["config_version"] = base + 1
            change(wanted)
        outcome = await self.operator.replace(wanted, base, within_s)
        if outcome.status == 200:
            self.configuration = wanted
        return outcome

    async def ready(self, edges: int, within_s: float) -> bool:
        """Wait until so many edges are ready."""
        try:
            async with asyncio.timeout(within_s):
                while self.entry.ready_count() < edges:
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            return False
        return True

    async def verdicts(self) -> list[Verdict]:
        """What holds in the end, with the configuration read back."""
        found = await self.operator.read()
        version = None
        if found.status == 200:
            version = msgspec.json.decode(found.body).get("config_version")
        wanted = self.configuration["config_version"]
        return [
            *judge(self.clients.done, self.engines.values()),
            Verdict(
                "the newest acknowledged configuration is read back",
                version == wanted,
                f"version {version}, acknowledged {wanted}",
            ),
        ]

"""A complete deployment on loopback: platform, model servers, operator, entry, clients, and the router fleet."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rosechute.fakes.fleet.clients import Clients, RequestKind
from rosechute.fakes.fleet.engine import Engine
from rosechute.fakes.fleet.entry import Entry
from rosechute.fakes.fleet.judge import RuleResult, check_run
from rosechute.fakes.fleet.loopback_network import reserve_network
from rosechute.fakes.fleet.operator import OperationResult, Operator
from rosechute.fakes.fleet.platform import Instance, PlatformList
from rosechute.fakes.fleet.processes import Fleet

HOST = "fleet.example"
KEY, OTHER_KEY = "k-harbour-1", "k-harbour-2"
MODEL, PLAIN = "model", "plain"
SERVER_SUBNET, PLATFORM_SUBNET = 4, 1
SERVERS_PER_ZONE = 2
SLOTS = 16
POLL_INTERVAL_S = 0.05

KINDS = [
    RequestKind("summary", HOST, "/summary/7", 12, KEY, streaming=True, repeatable=True, output_tokens=60),
    RequestKind("reply", HOST, "/reply/7", 8, KEY, streaming=True, output_tokens=40),
    RequestKind("confirm", HOST, "/confirm/7", 15, OTHER_KEY),
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


class FleetDeployment:
    """A router fleet with its fake peers, in one folder and one loopback network."""

    def __init__(
        self, folder: Path, seed: int = 1, edges_per_zone: int = 1, spawn_options: dict[str, Any] | None = None
    ) -> None:
        self._edges_per_zone = edges_per_zone
        self._spawn_options = spawn_options or {}
        self.network = reserve_network()
        self.platform = PlatformList()
        self.engines: dict[str, Engine] = {}
        self.configuration = copy.deepcopy(CONFIGURATION)
        self._folder, self._seed = folder, seed

    async def start(self) -> None:
        """Start all parts without waiting until the processes of the fleet are ready."""
        address = await self.platform.start(f"127.{self.network}.{PLATFORM_SUBNET}.1")
        self.fleet = Fleet(self._folder, self.network, address, edges_per_zone=self._edges_per_zone)
        self.fleet.spawn_options = self._spawn_options
        for index, zone in enumerate(self.fleet.zones, 1):
            for service in (MODEL, PLAIN):
                for number in range(SERVERS_PER_ZONE):
                    await self.add_server(f"i-{service}-{zone}-{number + 1}", service, zone, index)
        self.operator = Operator(self.fleet.control_addresses(), self._seed)
        self.entry = Entry(self.fleet.edge_endpoints())
        self.clients = Clients(self.entry, list(self.fleet.zones), self._seed)
        await self.fleet.start_all()
        self.entry.start()

    async def stop(self) -> None:
        """Stop all parts."""
        await self.entry.stop()
        await self.fleet.stop_all()
        for engine in self.engines.values():
            await engine.stop()
        await self.platform.stop()

    async def add_server(self, name: str, service: str, zone: str, zone_number: int) -> None:
        """Start a server and add it to the platform's list."""
        engine = Engine(name, streaming=service == MODEL, slots=SLOTS)
        address = await engine.start(f"127.{self.network}.{SERVER_SUBNET}.{zone_number}")
        self.engines[name] = engine
        self.platform.put(Instance(id=name, service=service, address=address, zone=zone, slots=SLOTS))

    def drain(self, name: str) -> None:
        """Mark a server as draining, in its health check and in the list; it continues to serve."""
        self.engines[name].draining = True
        self.platform.drain(name)

    async def replace_configuration(
        self, change: Callable[[dict[str, Any]], None] | None = None, within_s: float = 10.0
    ) -> OperationResult:
        """Send the next configuration, made by applying `change` to the current one, or the first one unchanged."""
        new_configuration, base = copy.deepcopy(self.configuration), 0
        if change is not None:
            base = int(new_configuration["config_version"])
            new_configuration["config_version"] = base + 1
            change(new_configuration)
        outcome = await self.operator.replace(new_configuration, base, within_s)
        if outcome.status == 200:
            self.configuration = new_configuration
        return outcome

    async def wait_ready(self, edges: int, within_s: float) -> bool:
        """Wait up to `within_s` seconds until `edges` edges are ready, and return whether they are."""
        try:
            async with asyncio.timeout(within_s):
                while self.entry.ready_count() < edges:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def check_rules(self) -> list[RuleResult]:
        """Check all rules at the end of a run, including that the configuration is read back."""
        response = await self.operator.read()
        version = None
        if response.status == 200:
            version = msgspec.json.decode(response.body).get("config_version")
        expected_version = self.configuration["config_version"]
        return [
            *check_run(self.clients.results, self.engines.values()),
            RuleResult(
                "the newest acknowledged configuration is read back",
                version == expected_version,
                f"version {version}, acknowledged {expected_version}",
            ),
        ]

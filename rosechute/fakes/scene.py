"""Fake servers, discovery, one sidecar and an application on one event loop, with a check of the service rules."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any

from rosechute.fakes.discovery import FakeDiscovery
from rosechute.fakes.load import Application, LoadResult
from rosechute.fakes.server import FakeServer, ServerBehavior
from rosechute.load_balancing.interface import Settings
from rosechute.proxy.core.address import Address
from rosechute.sidecar.config import Config
from rosechute.sidecar.operator_policy.policy import FilePolicy
from rosechute.sidecar.sidecar import Sidecar

NS_PER_MS = 1_000_000
DRAIN_GRACE_S = 0.25 + 0.05  # 250 ms of the drain rule, and 50 ms for delivery over loopback


def platform(**changes: Any) -> dict[str, Any]:
    """Return the settings of a desk booking platform, with `changes` merged into its sections."""
    raw: dict[str, Any] = {
        "classes": [
            {
                "name": "hold-desk",
                "onTimeNs": 600 * NS_PER_MS,
                "hardLimitNs": 1200 * NS_PER_MS,
                "repeat": "single_shot",
                "credit": 2.0,
            },
            {
                "name": "confirm-booking",
                "onTimeNs": 600 * NS_PER_MS,
                "hardLimitNs": 2500 * NS_PER_MS,
                "repeat": "guarded",
                "group": "all",
                "windowNs": 5000 * NS_PER_MS,
                "credit": 10.0,
            },
            {"name": "list-rooms", "onTimeNs": 400 * NS_PER_MS, "hardLimitNs": 1500 * NS_PER_MS, "repeat": "free"},
        ],
        "discovery": "subscribe",
        "failureDomains": ["a"],
        "kinds": ["m"],
        "projects": [{"name": "charity-partners", "share": 0.64}, {"name": "community-hirers", "share": 0.36}],
        "limits": {
            "maxAttempts": 5,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 1200 * NS_PER_MS,
            "connectTimeoutNs": 250 * NS_PER_MS,
            "cancel": True,
            "connIdleNs": 30_000 * NS_PER_MS,
        },
        "invariants": {
            "drainGraceNs": 250 * NS_PER_MS,
            "coldFrom": 0.1,
            "coldNs": 4_000 * NS_PER_MS,
            "fallMultiple": 3.0,
            "fallNs": 1500 * NS_PER_MS,
        },
    }
    for key, value in changes.items():
        raw[key] = {**raw.get(key, {}), **value} if isinstance(value, dict) else value
    return raw


class SidecarDeployment:
    """A sidecar with fake servers, discovery and an application.

    `raw` are the platform settings, `file` is an optional operator policy file, `sockets` the socket limit of the
    sidecar and `memory_mb` its memory limit in megabytes.
    """

    def __init__(
        self,
        servers: dict[str, ServerBehavior],
        raw: dict[str, Any] | None = None,
        file: Path | None = None,
        seed: int = 1,
        sockets: int = 1024,
        memory_mb: int = 192,
    ) -> None:
        self._raw, self._file, self._seed = raw or platform(), file, seed
        self._limits = sockets, memory_mb
        self.servers = {name: FakeServer(name, behavior, seed) for name, behavior in servers.items()}
        self.discovery = FakeDiscovery()
        self.drained: dict[str, float] = {}
        self.started: dict[str, float] = {}

    async def start(self) -> Application:
        """Start all parts and return the application, which is ready to send."""
        loop = asyncio.get_running_loop()
        for name, server in self.servers.items():
            self.discovery.put(name, await server.start())
        await self.discovery.start()
        sockets, memory = self._limits
        self.config = Config(
            "scene",
            Address("127.0.0.1", 0),
            Address("127.0.0.1", self.discovery.port),
            self._seed,
            sockets,
            self.discovery.snapshot(),
            Settings.parse(self._raw),
            Address("127.0.0.1", 0),
            memory_mb=memory,
        )
        self.policy = FilePolicy(self._file, self.config) if self._file is not None else None
        self.sidecar = Sidecar(self.config, loop, self.policy)
        self.port = await self.sidecar.start()
        self.application = Application(self.port, self._seed)
        return self.application

    def drain(self, name: str) -> None:
        """Mark a server as draining in discovery."""
        self.drained[name] = asyncio.get_running_loop().time()
        self.discovery.put(name, self.servers[name].port, "DRAINING")

    async def join(self, name: str, behavior: ServerBehavior) -> None:
        """Start a server and add it to discovery with its start time."""
        server = self.servers[name] = FakeServer(name, behavior, self._seed)
        port = await server.start()
        self.started[name] = asyncio.get_running_loop().time()
        self.discovery.put(name, port, since_ms=self.discovery.started_now())

    def attempts(self) -> int:
        """Return the number of complete requests that servers have received."""
        return sum(len(server.stats.received) for server in self.servers.values())

    def routes(self) -> dict[str, Any]:
        """Return the content of GET /routes, or an empty dictionary if there are no routes."""
        shown = self.sidecar.routes()
        announced_at: dict[str, Any] = json.loads(shown) if shown is not None else {}
        return announced_at

    async def stop(self) -> None:
        """Stop all parts."""
        self.application.close()
        await self.sidecar.stop()
        for server in self.servers.values():
            server.stop()
        self.discovery.stop()

    def check_rules(self, outcome: LoadResult) -> list[tuple[str, bool, str]]:
        """Return for each rule its text, whether it was kept, and the figures behind the result."""
        lost = [d for d in outcome.results if not d.status]
        started_requests = [request for server in self.servers.values() for request in server.stats.started_requests]
        run_counts = Counter(request.rid for request in started_requests)
        single = {d.rid for d in outcome.results if d.kind.repeat == "single_shot"}
        duplicated = [rid for rid in single if run_counts[rid] > 1]
        late = sum(
            at > announced_at + DRAIN_GRACE_S
            for name, announced_at in self.drained.items()
            for at, _ in self.servers[name].stats.received
        )
        cold_stats = {name: self.servers[name].stats for name in self.started}
        rejections = sum(stats.rejected for stats in cold_stats.values())
        max_queue = max((stats.max_queued for stats in cold_stats.values()), default=0)
        rule_results = [
            (
                "every accepted request has one final answer",
                not lost,
                f"{len(outcome.results)} sent, {len(lost)} unanswered",
            ),
            (
                "hold-desk never runs twice",
                not duplicated,
                f"{len(single)} sent, {len(duplicated)} run more than once",
            ),
        ]
        if self.drained:
            rule_results.append(
                ("no new request 250 ms after a drain is announced", not late, f"{late} arrived later")
            )
        if cold_stats:
            rule_results.append(
                (
                    "no cold server is overloaded",
                    not rejections,
                    f"{sum(len(s.started_requests) for s in cold_stats.values())} served there, at most "
                    f"{max_queue} waiting, {rejections} rejected",
                )
            )
        return rule_results

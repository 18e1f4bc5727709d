"""Servers, discovery, one sidecar and an application, on one loop; and a judge of the rules that show there."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any

from rosechute.fakes.discovery import StandInDiscovery
from rosechute.fakes.load import Application, Outcome
from rosechute.fakes.server import Conduct, StandInServer
from rosechute.load_balancing.interface import Settings
from rosechute.proxy.core.address import Address
from rosechute.sidecar.config import Config
from rosechute.sidecar.operator_policy.policy import FilePolicy
from rosechute.sidecar.sidecar import Sidecar

MS = 1_000_000
GRACE_S = 0.25 + 0.05  # after a drain is told; the rule's time, and what the loopback takes


def platform(**changes: Any) -> dict[str, Any]:
    """Settings of a platform that books desks."""
    raw: dict[str, Any] = {
        "classes": [
            {
                "name": "hold-desk",
                "onTimeNs": 600 * MS,
                "hardLimitNs": 1200 * MS,
                "repeat": "single_shot",
                "credit": 2.0,
            },
            {
                "name": "confirm-booking",
                "onTimeNs": 600 * MS,
                "hardLimitNs": 2500 * MS,
                "repeat": "guarded",
                "group": "all",
                "windowNs": 5000 * MS,
                "credit": 10.0,
            },
            {"name": "list-rooms", "onTimeNs": 400 * MS, "hardLimitNs": 1500 * MS, "repeat": "free"},
        ],
        "discovery": "subscribe",
        "failureDomains": ["a"],
        "kinds": ["m"],
        "projects": [{"name": "charity-partners", "share": 0.64}, {"name": "community-hirers", "share": 0.36}],
        "limits": {
            "maxAttempts": 5,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 1200 * MS,
            "connectTimeoutNs": 250 * MS,
            "cancel": True,
            "connIdleNs": 30_000 * MS,
        },
        "invariants": {
            "drainGraceNs": 250 * MS,
            "coldFrom": 0.1,
            "coldNs": 4_000 * MS,
            "fallMultiple": 3.0,
            "fallNs": 1500 * MS,
        },
    }
    for key, value in changes.items():
        raw[key] = {**raw.get(key, {}), **value} if isinstance(value, dict) else value
    return raw


class Scene:
    """All parts of one run."""

    def __init__(
        self,
        servers: dict[str, Conduct],
        raw: dict[str, Any] | None = None,
        file: Path | None = None,
        seed: int = 1,
        sockets: int = 1024,
        memory_mb: int = 192,
    ) -> None:
        self._raw, self._file, self._seed = raw or platform(), file, seed
        self._limits = sockets, memory_mb
        self.servers = {name: StandInServer(name, conduct, seed) for name, conduct in servers.items()}
        self.discovery = StandInDiscovery()
        self.drained: dict[str, float] = {}
        self.started: dict[str, float] = {}

    async def start(self) -> Application:
        """Start all of it; the application is ready to send."""
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
            self.discovery.whole(),
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
        """A server takes nothing new; discovery tells so."""
        self.drained[name] = asyncio.get_running_loop().time()
        self.discovery.put(name, self.servers[name].port, "DRAINING")

    async def join(self, name: str, conduct: Conduct) -> None:
        """A server starts, cold."""
        server = self.servers[name] = StandInServer(name, conduct, self._seed)
        port = await server.start()
        self.started[name] = asyncio.get_running_loop().time()
        self.discovery.put(name, port, since_ms=self.discovery.started_now())

    def attempts(self) -> int:
        """Attempts that have come in whole at servers."""
        return sum(len(server.seen.came) for server in self.servers.values())

    def routes(self) -> dict[str, Any]:
        """What GET /routes shows."""
        shown = self.sidecar.routes()
        told: dict[str, Any] = json.loads(shown) if shown is not None else {}
        return told

    async def stop(self) -> None:
        """End all of it."""
        self.application.close()
        await self.sidecar.stop()
        for server in self.servers.values():
            server.stop()
        self.discovery.stop()

    def verdicts(self, outcome: Outcome) -> list[tuple[str, bool, str]]:
        """The rules, whether each was kept, and by what figures."""
        lost = [d for d in outcome.done if not d.status]
        runs = [run for server in self.servers.values() for run in server.seen.runs]
        times = Counter(run.rid for run in runs)
        single = {d.rid for d in outcome.done if d.kind.repeat == "single_shot"}
        doubled = [rid for rid in single if times[rid] > 1]
        late = sum(
            at > told + GRACE_S for name, told in self.drained.items() for at, _ in self.servers[name].seen.came
        )
        cold = {name: self.servers[name].seen for name in self.started}
        pushed = sum(seen.turned_away for seen in cold.values())
        deepest = max((seen.most_waiting for seen in cold.values()), default=0)
        found = [
            (
                "one final answer for all that was taken",
                not lost,
                f"{len(outcome.done)} asked, {len(lost)} unanswered",
            ),
            ("hold-desk never twice", not doubled, f"{len(single)} held, {len(doubled)} doubled"),
        ]
        if self.drained:
            found.append(("nothing new 250 ms after a drain is told", not late, f"{late} came later"))
        if cold:
            found.append(
                (
                    "no cold server pushed over",
                    not pushed,
                    f"{sum(len(s.runs) for s in cold.values())} served there, {deepest} waiting at the most, "
                    f"{pushed} turned away",
                )
            )
        return found

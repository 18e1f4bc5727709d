"""Hollow edges in one process: the real subscriber and links, over real connections on loopback, without a data path.

Commands come as lines of JSON on standard input, answers as lines of JSON on standard output. Started by
`benchmarks.hollow_fleet`; ends when its input does, or after `LIFE_S`.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from rosechute.distribution.actions import (
    Action,
    ConfigurationChanged,
    DialedLink,
    EdgesTotalChanged,
    SendMessage,
    ServersChanged,
)
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.errors import LinkError
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer

LIFE_S = 185.0
FRAME_BYTES = 5
LEAST_SLEEP_S, MOST_SLEEP_S = 0.01, 0.2
SAMPLE_S = 0.1
LEASE_S = 4.7  # after which keys are not served any more: revoke_ms less its margin
OLD_AFTER = 10  # configurations after which the planted fault "back" goes to the first again


@dataclass(slots=True)
class Seen:
    """What an edge has seen since the last report."""

    received: int = 0
    sent: int = 0
    configurations: list[tuple[float, int, int]] = field(default_factory=list)  # when, sequence, version
    backwards: int = 0
    list_at: float = 0.0  # when the last list came
    without_lease_s: float = 0.0
    worst_age_s: float = 0.0


class HollowEdge:
    """One edge without its data path."""

    def __init__(self, fleet: HollowEdges, name: str, zone: str, ip: str, fault: str) -> None:
        self.fleet, self.fault = fleet, fault
        self.identity = EdgeIdentity(name, zone, f"{ip}:7515")
        self.seen = Seen()
        self.running = False
        self.started_at = 0.0
        self.sub = Subscriber(time.monotonic(), self.identity, 1, fleet.seeds)
        self.total = 0
        self.listed = (0, 0, 0)
        self._sequence = 0
        self._positions: dict[str, tuple[int, int]] = {}
        self._servers: dict[str, dict[str, bool]] = {}
        self._first: bytes = b""

    async def start(self) -> None:
        """Begin a life that knows nothing."""
        began = time.monotonic()
        self.sub = Subscriber(time.monotonic(), self.identity, random.getrandbits(53) + 1, self.fleet.seeds)
        self.pool = LinkPool(self._dialed, self._dial_closed)
        self.server = LinkServer(self.identity.address, self._accepted, self._accept_closed)
        self._sequence, self._positions, self._servers, self.total, self.listed = 0, {}, {}, 0, (0, 0, 0)
        await self.server.start()
        self.running, self.started_at = True, began
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End it without a word, as a crash does."""
        self.running = False
        self._task.cancel()
        self.server.close()
        self.pool.close()

    async def _run(self) -> None:
        while True:
            self._carry(self.sub.tick(time.monotonic()))
            wait = self.sub.next_wake() - time.monotonic()
            await asyncio.sleep(max(LEAST_SLEEP_S, min(MOST_SLEEP_S, wait)))

    def sample(self, now: float) -> None:
        """How old the knowledge is that the configuration is the newest."""
        age = now - self.sub.confirmed_at
        if math.isfinite(age):
            self.seen.worst_age_s = max(self.seen.worst_age_s, age)
            self.seen.without_lease_s += SAMPLE_S if age > LEASE_S else 0.0

    # --- messages

    def _dialed(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        self._take(DialedLink(connection.address), data)

    def _accepted(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        self._take(connection, data)

    def _dial_closed(self, error: LinkError) -> None:
        if self.running:
            self._carry(self.sub.connection_closed(time.monotonic(), DialedLink(error.peer)))

    def _accept_closed(self, connection: LinkConnection) -> None:
        if self.running:
            self._carry(self.sub.connection_closed(time.monotonic(), connection))

    def _take(self, connection: Any, data: bytes) -> None:
        if not self.running:
            return
        self.seen.received += len(data) + FRAME_BYTES
        message = pb.Distribution.FromString(data)
        body = message.WhichOneof("body")
        if (self.fault, body) in (("stale", "config"), ("list", "list")) and self.sub.edges_total:
            return
        self._carry(self.sub.receive(time.monotonic(), connection, message))

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(action)
            elif isinstance(action, ConfigurationChanged):
                self._configuration(action)
            elif isinstance(action, ServersChanged):
                self._list(action)
            elif isinstance(action, EdgesTotalChanged):
                self.total = action.count

    def _send(self, action: SendMessage) -> None:
        if self.fault == "uncounted" and action.message.WhichOneof("body") == "renew":
            return
        data = action.message.SerializeToString()
        self.seen.sent += len(data) + FRAME_BYTES
        if isinstance(action.connection, DialedLink):
            self.pool.send(action.connection.address, MessageKind.DISTRIBUTION, data)
        else:
            action.connection.send(MessageKind.DISTRIBUTION, data)

    # --- what is put in force

    def _configuration(self, changed: ConfigurationChanged) -> None:
        began = time.thread_time_ns()
        now = time.monotonic()
        self._note_configuration(now, changed.sequence, changed.version)
        self._first = self._first or b"%d %d" % (changed.sequence, changed.version)
        if self.fault == "back" and len(self.seen.configurations) == OLD_AFTER:
            self._note_configuration(now, *(int(number) for number in self._first.split()))
        self.fleet.overhead_ns += time.thread_time_ns() - began

    def _note_configuration(self, now: float, sequence: int, version: int) -> None:
        self.seen.configurations.append((now, sequence, version))
        self.seen.backwards += sequence <= self._sequence
        self._sequence = sequence

    def _list(self, changed: ServersChanged) -> None:
        began = time.thread_time_ns()
        now = time.monotonic()
        self.seen.backwards += changed.position <= self._positions.get(changed.service, NO_POSITION)
        self._positions[changed.service] = changed.position
        before = self._servers.get(changed.service, {})
        after = {server.id: server.ready for server in changed.servers}
        for name, ready in before.items() - after.items():
            self.listed = add(self.listed, name, ready, -1)
            if name not in after:
                self.fleet.note(now, name, "gone")
        for name, ready in after.items() - before.items():
            self.listed = add(self.listed, name, ready, 1)
            self.fleet.note(now, name, "ready" if ready else "draining")
        self._servers[changed.service], self.seen.list_at = after, now
        self.fleet.overhead_ns += time.thread_time_ns() - began

    def report(self) -> dict[str, Any]:
        """What was seen, and where the edge stands."""
        seen, self.seen = self.seen, Seen()
        return {
            "name": self.identity.name,
            "zone": self.identity.zone,
            "running": self.running,
            "total": self.total,
            "started_at": self.started_at,
            "received": seen.received,
            "sent": seen.sent,
            "configurations": seen.configurations,
            "backwards": seen.backwards,
            "list_at": seen.list_at,
            "without_lease_s": seen.without_lease_s,
            "worst_age_s": seen.worst_age_s,
            "attached": self.sub.is_attached,
            "leader": self.sub.leader,
            "sequence": self.sub.position(CONFIG_TOPIC)[1],
            "listed": self.listed,
        }


def add(listed: tuple[int, int, int], name: str, ready: bool, sign: int) -> tuple[int, int, int]:
    """Entries, those that are ready, and a sum that tells lists apart, with one entry more or less."""
    entries, all_ready, total = listed
    mark = int(name.removeprefix("i-"), 16) * (2 if ready else 3)
    return entries + sign, all_ready + sign * ready, total + sign * mark


class HollowEdges:
    """All edges of this process."""

    def __init__(self, seeds: list[str], edges: list[dict[str, str]]) -> None:
        self.seeds = seeds
        self.edges = [HollowEdge(self, one["name"], one["zone"], one["ip"], one.get("fault", "")) for one in edges]
        self.overhead_ns = 0
        self._list_changes: dict[tuple[str, str], list[float]] = {}

    def note(self, now: float, name: str, state: str) -> None:
        """An edge saw a server in this state."""
        self._list_changes.setdefault((name, state), []).append(now)

    async def run(self) -> None:
        """Answer commands until the input ends."""
        loop = asyncio.get_running_loop()
        sampling = asyncio.create_task(self._sample())
        try:
            async with asyncio.timeout(LIFE_S):
                while line := await loop.run_in_executor(None, sys.stdin.readline):
                    print(json.dumps(await self._do(json.loads(line))), flush=True)
        finally:
            sampling.cancel()
            for edge in self.edges:
                if edge.running:
                    edge.stop()

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = time.monotonic()
            for edge in self.edges:
                if edge.running:
                    edge.sample(now)

    async def _do(self, command: dict[str, Any]) -> Any:
        """One command."""
        zone = command.get("zone", "")
        chosen = [edge for edge in self.edges if zone in ("", edge.identity.zone)]
        if command["do"] == "report":
            changes, self._list_changes = self._list_changes, {}
            overhead, self.overhead_ns = self.overhead_ns, 0
            return {
                "cpu_ns": time.process_time_ns(),
                "overhead_ns": overhead,
                "edges": [edge.report() for edge in self.edges],
                "list": [[name, state, times] for (name, state), times in changes.items()],
            }
        if command["do"] == "stop":
            for edge in chosen:
                edge.stop()
        else:
            for number, edge in enumerate(chosen):
                if number:
                    await asyncio.sleep(command.get("over_s", 0.0) / len(chosen))
                await edge.start()
        return {"at": time.monotonic()}


if __name__ == "__main__":
    told = json.loads(sys.stdin.readline())
    try:
        asyncio.run(HollowEdges(told["seeds"], told["edges"]).run())
    except TimeoutError:
        sys.exit(3)

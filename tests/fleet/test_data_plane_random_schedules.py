"""Random schedules by seed: faulty servers, disconnecting clients, changing lists and configurations.

The responses of clients are checked against the executions at servers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace

from rosechute.routing.model import ServerEntry
from tests.fleet.data_site import (
    Call,
    DataPlaneHarness,
    Response,
    ServerConnection,
    VirtualTimeTestCase,
    configuration,
    event,
    wait_until_closed,
)

SEEDS = 24
REQUESTS = 120
EVENTS = 8
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
PATHS = ("/plain/1", "/again/1", "/stream/1", "/resume/1")
REPEATABLE_PATHS = ("/again/1", "/resume/1")
DEADLINES_MS = (400, 1500, 4000)
FAULTS = (
    "declines",
    "moved",
    "resets",
    "cuts",
    "garbles",
    "silent",
    "slow",
    "surplus",
    "twice",
    "closes",
    "unstamped",
    "fails",
)
FAULTY_SHARE = 0.4  # share of the requests for which servers misbehave


@dataclass
class SentRequest:
    """A request of a client and its response."""

    name: str
    path: str
    sent_at: float
    deadline_s: float
    response: Response | None = None
    is_disconnected: bool = False


@dataclass
class Schedule:
    """One schedule: executions at servers, and requests of clients."""

    rng: random.Random
    executions: dict[str, list[str]] = field(default_factory=dict)  # ids of servers, by request id
    sent_requests: list[SentRequest] = field(default_factory=list)

    async def serve(self, conn: ServerConnection, call: Call) -> None:
        """Handle a request at a server, with a random fault."""
        fault = self.rng.choice(FAULTS) if self.rng.random() < FAULTY_SHARE else ""
        if fault == "declines":
            conn.reject_as_full()
            return
        if fault == "moved":
            conn.respond(421, b"", "X-Rosechute-Instance-Id: another", stamp=None)
            return
        self.executions.setdefault(call.id, []).append(conn.server.id)
        if fault == "silent":
            await wait_until_closed(conn, call)
        elif fault == "resets":
            await asyncio.sleep(self.rng.choice((0.0, 0.05)))
            conn.reset()
        elif fault == "garbles":
            conn.writer.write(b"\x00 this is no answer\r\n\r\n")
        elif fault == "surplus":
            conn.respond(200, b"of another request", id="another")
        elif fault == "unstamped":
            conn.respond(200, b"not the server's", stamp=None)
        elif fault == "fails":
            conn.respond(500, b"own words")
        if fault in ("silent", "resets", "garbles", "unstamped", "fails"):
            return
        if fault == "slow":
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        if call.target.startswith(("/stream", "/resume")):
            await self._send_stream(conn, call, fault)
        else:
            await self._send_complete(conn, call, fault)

    async def _send_complete(self, conn: ServerConnection, call: Call, fault: str) -> None:
        body = response_body(call.id)
        if fault == "cuts":
            conn.writer.write(conn.serialize_head(200, f"Content-Length: {len(body)}") + body[:5])
            raise ConnectionError
        conn.respond(200, body)
        if fault == "twice":
            await asyncio.sleep(self.rng.choice((0.0, 0.02)))
            conn.respond(200, body)
        if fault == "closes":
            raise ConnectionError

    async def _send_stream(self, conn: ServerConnection, call: Call, fault: str) -> None:
        conn.start_stream()
        first = int(call.headers.get("last-event-id", 0)) + 1
        interrupted_at = self.rng.randint(first, EVENTS + 1) if fault == "cuts" else 0
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.rng.choice((0.0, 0.05)))
            if number == interrupted_at:
                conn.send_chunk(event(number)[: self.rng.randint(1, 20)])
                raise ConnectionError
            conn.send_event(number)
            await conn.writer.drain()
        if fault == "cuts":
            raise ConnectionError  # after the last event, without the last chunk
        conn.finish_stream()
        if fault == "closes":
            raise ConnectionError

    async def send_request(self, harness: DataPlaneHarness) -> None:
        """Send one request as a new client."""
        client = await harness.client()
        path, deadline_ms = self.rng.choice(PATHS), self.rng.choice(DEADLINES_MS)
        body = b"b" * self.rng.choice((0, 10, 40_000))
        request = SentRequest(
            client.send(path, deadline=deadline_ms, body=body), path, harness.loop.time(), deadline_ms / 1e3
        )
        self.sent_requests.append(request)
        if self.rng.random() < 0.15:
            await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.2)))
            request.is_disconnected = True
            self.rng.choice((client.close, client.reset))()
            return
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            request.response = await client.read_response()
        client.close()

    def violations(self) -> list[str]:
        """Return all violations by the data plane."""
        found = []
        for request in self.sent_requests:
            server_ids = self.executions.get(request.name, [])
            if len(server_ids) > 1 and request.path not in REPEATABLE_PATHS:
                found.append(f"{request} was executed at {server_ids}")
            if request.is_disconnected:
                continue
            response = request.response
            if response is None:
                found.append(f"{request} got no response")
                continue
            if response.at > request.sent_at + request.deadline_s + 0.01:
                found.append(f"{request} got a late response")
            if response.status in NOT_EXECUTED_STATUSES and server_ids and request.path not in REPEATABLE_PATHS:
                found.append(f"{request} got {response.status} and was executed at {server_ids}")
            if response.status == 200:
                found += self._success_violations(request, response, server_ids)
        return found

    @staticmethod
    def _success_violations(request: SentRequest, response: Response, server_ids: list[str]) -> list[str]:
        expected = response_body(request.name)
        if "x-rosechute-server-stamp" not in response.headers or not server_ids:
            return [f"{request} got a success that no server sent"]
        if request.path in ("/plain/1", "/again/1"):
            return [] if response.is_complete and response.body == expected else [f"{request} got {response.body!r}"]
        complete_body = b"".join(event(number) for number in range(1, EVENTS + 1))
        if response.is_complete:
            return [] if response.body == complete_body else [f"{request} got {response.body!r} as complete"]
        if not complete_body.startswith(response.body):
            return [f"{request} got {response.body!r}"]
        ends_inside_event = response.body and not response.body.endswith(b"\n\n")
        return [f"{request} got part of an event"] if request.path == "/resume/1" and ends_inside_event else []


def response_body(name: str) -> bytes:
    return f"the whole body of {name}".encode() * 3


class RandomSchedulesTest(VirtualTimeTestCase):
    def test_random_schedules_have_no_violations(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.run_scenario(lambda seed=seed: self.run_schedule(seed))  # type: ignore[misc]

    async def run_schedule(self, seed: int) -> None:
        rng = random.Random(seed)
        schedule = Schedule(rng)
        harness = await DataPlaneHarness(grace_s=6.0).start(s1=schedule.serve, s2=schedule.serve, s3=schedule.serve)
        entries = [server.entry for server in harness.servers.values()]
        senders = []
        for number in range(REQUESTS):
            senders.append(asyncio.ensure_future(schedule.send_request(harness)))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.01, 0.1)))
            if number % 20 == 10:
                harness.apply_list(*(self._with_random_readiness(rng, entry) for entry in entries))
            if number % 30 == 15:
                harness.plane.apply_configuration(configuration(number), number)
        if seed % 3 == 0:
            harness.apply_list(*entries)
            harness.plane.begin_shutdown()
            await harness.plane.finish_shutdown()
        await asyncio.gather(*senders)
        await asyncio.sleep(1.0)
        self.assertEqual(schedule.violations(), [])
        self.assertEqual((len(harness.plane.client_listener.requests), len(harness.router._pending)), (0, 0))
        self.assertEqual(harness.plane.budget.used, 0)
        for server in harness.plane.pool._servers.values():
            self.assertEqual(server.open_count, len(server.idle), server.id)
        statuses = [request.response.status for request in schedule.sent_requests if request.response is not None]
        self.assertGreater(statuses.count(200), len(statuses) // 5)
        harness.close()

    @staticmethod
    def _with_random_readiness(rng: random.Random, entry: ServerEntry) -> ServerEntry:
        return replace(entry, ready=rng.random() < 0.7)

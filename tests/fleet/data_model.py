"""Random schedules for a data plane: faulty servers, disconnecting clients, changes of lists and configurations.

Every step is drawn from one random generator, so that a seed determines a schedule. What servers executed and what
clients received is recorded for the checks (`data_judges`). Each response identifies its request and its execution.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import enum
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import Any

from rosechute.configuration.operator import Configuration
from rosechute.routing.model import ServerEntry
from tests.fleet.data_site import KEY, DataPlaneHarness, configuration, route
from tests.fleet.data_site import reset as reset_connection

CLIENTS = 24  # clients in one schedule; each has one connection
MAX_REQUESTS_PER_CONNECTION = 3
EVENTS = 6  # events in one stream
SERVERS = ("s1", "s2", "s3")
VERSIONS = {"s1": 1, "s2": 1, "s3": 2}  # version of the weights by server
DEADLINES_MS = (300, 1500, 4000)
FAULTY_SHARE = 0.6  # share of the requests for which a server misbehaves
LONG_BODY_BYTES = 250_000  # forwarded to the server as it arrives
LONG_RESPONSE_BYTES = 90_000  # forwarded to the client as it arrives
GRACE_S = 6.0
PROMPT_PREFIXES = ("a1:3,b2:4", "a1:3 ,  b2:4", "", "a1:3;q=\xe9", "a1:3,a1:3")
CONNECTION_HEADERS = (  # headers that concern one connection only
    ("Connection: X-Rosechute-Model",),
    ("Connection: keep-alive, x-rosechute-prompt-prefix",),
    ("Connection: Host",),
    ("Connection: X-Rosechute-Request-Id, X-Other",),
    ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAARAAAAA"),
    ("Upgrade: websocket", "Connection: keep-alive, upgrade"),
    ("Expect: 100-continue",),
    ("Expect: 100-continue", "Connection: Upgrade", "Upgrade: h2c"),
    ("TE: trailers", "Connection: TE"),
)


class Framing(enum.Enum):
    """How a server delimits the body of its response."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE_DELIMITED = "unframed"  # ends with the connection


class Fragmentation(enum.Enum):
    """How the bytes that a server sends are divided into pieces, which are read one by one."""

    WHOLE = "whole"
    RANDOM_BYTE = "cut at a random byte"
    BEFORE_LAST_BYTE = "cut before the last byte"  # between the two line ends of a blank line
    EACH_BYTE = "byte by byte"


class Interruption(enum.Enum):
    """The point at which a server interrupts an exchange."""

    NONE = "not"
    REQUEST_HALF_READ = "request half read"
    REQUEST_READ = "request read"
    INSIDE_HEAD = "inside the head"
    AFTER_HEAD = "behind the head"
    INSIDE_BODY = "inside the body"  # in a stream: inside an event
    BETWEEN_EVENTS = "between events"
    BEFORE_LAST_CHUNK = "before the last chunk"


class ServerBehavior(enum.Enum):
    """The behavior of a server for one request. The replay benchmark records the values: they must not change."""

    RESPONDS = "answers"
    SLOW = "is slow"
    SILENT = "is silent"
    INTERRUPTS = "breaks off"
    REJECTS = "declines"  # marked as not executed
    WRONG_INSTANCE = "is another"  # responds 421
    FAILS = "fails"  # executes the request, responds 500
    UNMARKED_REJECTION = "promises falsely"  # executes the request, responds 408, 429 or 503 without the mark
    SUCCESS_MARKED_NOT_EXECUTED = "marks a success"  # responds 200 marked as not executed
    UNSTAMPED_SUCCESS = "is unstamped"
    MALFORMED = "garbles"
    DUPLICATE_RESPONSE = "answers twice"
    STALE_RESPONSE_FIRST = "answers an earlier one first"
    STALE_RESPONSE_LATE = "answers an earlier one late"
    WRONG_REQUEST_ID = "names another"
    NO_REQUEST_ID = "names none"
    TWO_REQUEST_IDS = "names two"
    EARLY_SUCCESS = "answers early"  # before it has read the body; reads the rest later
    EARLY_REJECTION = "declines early"
    INTERIM_RESPONSE = "sends an interim answer first"
    CLOSES_AFTER_RESPONSE = "closes after its answer"
    STALLS_IN_RESPONSE = "falls silent within its answer"


FAULTY_BEHAVIORS = tuple(behavior for behavior in ServerBehavior if behavior is not ServerBehavior.RESPONDS)
EARLY_RESPONSES = (ServerBehavior.EARLY_SUCCESS, ServerBehavior.EARLY_REJECTION)
INTERRUPTION_SHARE = 0.25  # share of interruptions in faulty behaviors; high because they have many variants
FRAGMENTATION_WEIGHTS = {
    Fragmentation.WHOLE: 5,
    Fragmentation.RANDOM_BYTE: 2,
    Fragmentation.BEFORE_LAST_BYTE: 2,
    Fragmentation.EACH_BYTE: 1,
}
CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
MAX_SINGLE_BYTES = 400  # longer data is not sent byte by byte
EVENT_ID_STEPS = (1, 1, 1, 5)  # tokens of an event; its id is the number of its last token
CONNECTION_HEADERS_SHARE = 0.2  # share of the requests of HTTP/1.1 clients
LINE_ENDS = (b"\n", b"\n", b"\r\n")
WORK_S = (0.0, 0.0, 0.03, 0.6)  # time before a response; in the longest the configuration may change
EARLY_RESPONSE_SHARE = 0.4  # share of long requests to which a server responds before it has read them


class Disconnect(enum.Enum):
    """How a client disconnects."""

    CLOSE = "close"
    HALF_CLOSE = "half close"
    RESET = "reset"


@dataclass(eq=False)
class Run:
    """One execution of a request by a server, complete or interrupted."""

    server: str  # id of the server instance
    stamp: str
    at: float
    body: bytes = b""  # body of the complete response; empty for a stream
    is_response_sent: bool = False  # whether the complete response was sent
    response_sent_at: float | None = None  # when it was, after the complete request was read
    line_end: bytes = b"\n"  # of the events of a stream
    is_early: bool = False  # whether the response began before the request was read
    reset: bool = False
    success: bool = False


@dataclass(eq=False)
class Arrival:
    """A request as a server has received it."""

    server: str
    at: float
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | None = None  # None if it was not read completely
    partial_body: bytes = b""  # start of a body that was interrupted
    connection_lost_at: float | None = None  # when the server noticed the end of its connection

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


@dataclass(eq=False)
class SentRequest:
    """A request that a client sent, and the response that it received."""

    name: str
    path: str
    sent_at: float
    deadline_s: float
    body: bytes
    forwarded_headers: list[tuple[str, str]]  # headers that must be forwarded unchanged
    event_ids: tuple[int, ...] = tuple(range(1, EVENTS + 1))  # of the events of its stream
    last_event_id: int = 0
    after_response: bool = False  # whether it was sent on a reused connection
    disconnected_at: float | None = None
    responded_at: float | None = None  # time of the response head
    response_ended_at: float | None = None
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    received_body: bytes = b""
    is_complete: bool = False  # whether the client considers the response complete
    surplus: bytes = b""  # bytes after the last response

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)

    @property
    def repeatable(self) -> bool:
        return self.path in ("/again/1", "/resume/1")

    @property
    def streaming(self) -> bool:
        return self.path in ("/stream/1", "/resume/1")


class Records:
    """The recorded events of one schedule."""

    def __init__(self) -> None:
        # The replay benchmark reads `asked` and `conducts` in several versions of this module.
        self.asked: dict[str, SentRequest] = {}  # by request id
        self.runs: dict[str, list[Run]] = {}  # by request id
        self.arrivals: dict[str, list[Arrival]] = {}
        self.malformed: list[bytes] = []  # bytes that a server could not parse as a request
        self.conducts: dict[str, list[ServerBehavior]] = {}
        self.shutdown_at: float | None = None
        self.suspended_s = 0.0  # total time for which the process was suspended
        self.strict_periods: list[tuple[float, float]] = []  # when the configuration forbade retries: start, end
        self.leftovers: list[str] = []  # resources that the data plane still holds at the end


def model_configuration(version: int = 1, strict: bool = False) -> Configuration:
    """Return a configuration with all kinds of routes; a strict one allows no retry and no resumption."""
    again = "non_idempotent" if strict else "idempotent"
    return configuration(
        version,
        routes=[
            route("plain", timeout_ms=3500),
            route("again", route_type=again, max_attempts=2, timeout_ms=3500),
            route("stream", route_type="streaming", gap_aim_ms=500, max_attempts=1, timeout_ms=3500),
            route(
                "resume",
                route_type="streaming",
                gap_aim_ms=500,
                stream_resume=not strict,
                sticky=True,
                max_attempts=2,
                timeout_ms=3500,
            ),
        ],
    )


TIMEOUT_S = 3.5
MAX_ATTEMPTS = {"/plain/1": 2, "/again/1": 2, "/stream/1": 1, "/resume/1": 2}


def event_of(number: int, event_id: int, run: Run, version: int, has_version: bool) -> bytes:
    """Return one event of an execution; its first line may name the version of the weights."""
    first = f"versions:{version}\n" if has_version else ""
    text = f"{first}id: {event_id}\ndata: piece {number} of {run.stamp} by {version}\n\n"
    return text.encode().replace(b"\n", run.line_end)


class ServerConnection:
    """A connection at a server, which handles each request with a random behavior."""

    def __init__(
        self, schedule: Schedule, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._schedule, self._name = schedule, name
        self._rng, self._records = schedule.rng, schedule.records
        self._reader, self._writer = reader, writer
        self._previous_id: str | None = None  # id of the previous request on this connection
        self._body_length = 0  # from `Content-Length`
        self._chunked = False

    async def serve(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            while True:
                arrival = await self._read_head()
                await self._handle(arrival)
                self._previous_id = arrival.header("x-rosechute-request-id")
        self._writer.close()

    async def _read_head(self) -> Arrival:
        data = await self._reader.readuntil(b"\r\n\r\n")
        try:
            first, *lines = data.decode("latin-1")[:-4].split("\r\n")
            method, target, version = first.split(" ")
            headers = [(name.lower(), value.strip(" \t")) for name, value in (line.split(":", 1) for line in lines)]
            assert version == "HTTP/1.1" and target.startswith("/")
        except (ValueError, AssertionError):
            self._records.malformed.append(data[:200])
            raise ConnectionError from None
        arrival = Arrival(self._name, self._now(), method, target, headers)
        name = arrival.header("x-rosechute-request-id") or ""
        self._records.arrivals.setdefault(name, []).append(arrival)
        self._chunked = arrival.header("transfer-encoding") == "chunked"
        self._body_length = int(arrival.header("content-length") or 0)
        return arrival

    async def _read_body(self, arrival: Arrival) -> None:
        if self._chunked:
            body = b""
            while size := int(await self._reader.readuntil(b"\n"), 16):
                body += await self._reader.readexactly(size)
                await self._reader.readuntil(b"\n")
            await self._reader.readuntil(b"\n")
        else:
            try:
                body = await self._reader.readexactly(self._body_length)
            except asyncio.IncompleteReadError as error:
                arrival.partial_body = error.partial
                raise
        arrival.body = body

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- request handling

    async def _handle(self, arrival: Arrival) -> None:
        rng = self._rng
        behavior = self._draw_behavior()
        name = arrival.header("x-rosechute-request-id") or ""
        self._records.conducts.setdefault(name, []).append(behavior)
        expected = arrival.header("expect-version")
        if arrival.header("x-rosechute-expect-instance") != self._schedule.instances[self._name]:
            await self._read_body(arrival)
            self._send_complete(421, name, b"", f"X-Rosechute-Instance-Id: {self._schedule.instances[self._name]}")
            return
        if behavior is ServerBehavior.EARLY_REJECTION:
            await self._reject_early(arrival, name)
            return
        if behavior is ServerBehavior.EARLY_SUCCESS:
            await self._respond_early(arrival, name)
            return
        interruption = (
            rng.choice(tuple(Interruption)[1:]) if behavior is ServerBehavior.INTERRUPTS else Interruption.NONE
        )
        if interruption is Interruption.REQUEST_HALF_READ:
            await self._reader.read(self._body_length // 2 or 1)
            self._record_run(arrival, name).reset = True
            self._drop_connection()
        await self._read_body(arrival)
        if expected is not None and int(expected) != VERSIONS[self._name]:
            self._send_complete(
                421, name, b"", "X-Rosechute-Not-Executed: 1", f"X-Rosechute-Instance-Id: {self._name}"
            )
        elif behavior is ServerBehavior.REJECTS:
            self._send_complete(rng.choice((429, 503)), name, b"", "X-Rosechute-Not-Executed: 1")
        elif behavior is ServerBehavior.WRONG_INSTANCE:
            self._send_complete(421, name, b"", "X-Rosechute-Instance-Id: i-other")
        else:
            await self._execute(arrival, name, behavior, interruption)

    def _draw_behavior(self) -> ServerBehavior:
        rng = self._rng
        long = self._chunked or self._body_length > LONG_BODY_BYTES // 2
        if long and rng.random() < EARLY_RESPONSE_SHARE:
            return rng.choice(EARLY_RESPONSES)
        if rng.random() >= FAULTY_SHARE:
            return ServerBehavior.RESPONDS
        return ServerBehavior.INTERRUPTS if rng.random() < INTERRUPTION_SHARE else rng.choice(FAULTY_BEHAVIORS)

    def _record_run(self, arrival: Arrival, name: str) -> Run:
        runs = self._records.runs.setdefault(name, [])
        run = Run(self._schedule.instances[self._name], f"stamp-{self._name}-{name}-{len(runs)}", arrival.at)
        runs.append(run)
        return run

    async def _execute(
        self, arrival: Arrival, name: str, behavior: ServerBehavior, interruption: Interruption
    ) -> None:
        run = self._record_run(arrival, name)
        rng = self._rng
        await self._work(arrival, rng.choice(WORK_S))
        if behavior is ServerBehavior.SLOW:
            await self._work(arrival, rng.uniform(0.1, 2.5))
        elif behavior is ServerBehavior.SILENT:
            await self._work(arrival, 30.0)
        elif interruption is Interruption.REQUEST_READ:
            self._drop_connection()
        elif behavior in (ServerBehavior.FAILS, ServerBehavior.UNMARKED_REJECTION):
            status = 500 if behavior is ServerBehavior.FAILS else rng.choice((408, 429, 503))
            run.body = f"failure of {run.stamp}".encode()
            run.is_response_sent = True
            self._send_complete(status, name, run.body, f"X-Rosechute-Server-Stamp: {run.stamp}")
            return
        elif behavior is ServerBehavior.MALFORMED:
            self._writer.write(b"\x00 no answer\r\n\r\n")
            return
        elif behavior is ServerBehavior.INTERIM_RESPONSE:
            self._writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        elif behavior is ServerBehavior.STALE_RESPONSE_FIRST and self._previous_id is not None:
            self._send_complete(200, self._previous_id, b"surplus", "X-Rosechute-Server-Stamp: surplus")
        await self._send_success(arrival, name, run, behavior, interruption)

    async def _send_success(
        self, arrival: Arrival, name: str, run: Run, behavior: ServerBehavior, interruption: Interruption
    ) -> None:
        rng = self._rng
        stamps = [] if behavior is ServerBehavior.UNSTAMPED_SUCCESS else [f"X-Rosechute-Server-Stamp: {run.stamp}"]
        if behavior is ServerBehavior.SUCCESS_MARKED_NOT_EXECUTED:
            stamps.append("X-Rosechute-Not-Executed: 1")
        ids: tuple[str, ...] = (name,)
        if behavior is ServerBehavior.WRONG_REQUEST_ID:
            ids = (f"x{name}",)
        elif behavior is ServerBehavior.NO_REQUEST_ID:
            ids = ()
        elif behavior is ServerBehavior.TWO_REQUEST_IDS:
            ids = rng.choice(((name, f"x{name}"), (f"x{name}", name)))
        run.success = behavior not in (
            ServerBehavior.UNSTAMPED_SUCCESS,
            ServerBehavior.SUCCESS_MARKED_NOT_EXECUTED,
            ServerBehavior.WRONG_REQUEST_ID,
            ServerBehavior.NO_REQUEST_ID,
            ServerBehavior.TWO_REQUEST_IDS,
        )
        framing = rng.choice((Framing.LENGTH, Framing.CHUNKED, Framing.CHUNKED, Framing.CLOSE_DELIMITED))
        if arrival.target.startswith(("/stream", "/resume")):
            await self._send_stream(arrival, run, framing, ids, stamps, behavior, interruption)
        else:
            await self._send_plain_response(arrival, run, framing, ids, stamps, behavior, interruption)
        await self._writer.drain()
        run.is_response_sent, run.response_sent_at = True, self._now()
        if framing is Framing.CLOSE_DELIMITED:
            raise ConnectionError
        if behavior is ServerBehavior.DUPLICATE_RESPONSE:
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.05)))
            self._send_complete(200, name, b"surplus", f"X-Rosechute-Server-Stamp: {run.stamp}")
        elif behavior is ServerBehavior.STALE_RESPONSE_LATE and self._previous_id is not None:
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.05)))
            self._send_complete(200, self._previous_id, b"surplus", "X-Rosechute-Server-Stamp: surplus")
        elif behavior is ServerBehavior.CLOSES_AFTER_RESPONSE:
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))
            self._drop_connection()

    async def _send_plain_response(
        self,
        arrival: Arrival,
        run: Run,
        framing: Framing,
        ids: tuple[str, ...],
        stamps: list[str],
        behavior: ServerBehavior,
        interruption: Interruption,
    ) -> None:
        rng = self._rng
        words = f"whole answer of {run.stamp} to {arrival.header('x-rosechute-request-id')}. ".encode()
        run.body = words * (LONG_RESPONSE_BYTES // len(words) if rng.random() < 0.2 else 2)
        wire = frame_body(run.body, framing)
        head = self._head(200, ids, *stamps, *framing_lines(run.body, framing))
        await self._send_interrupted(arrival, run, head, wire, framing, behavior, interruption)

    async def _send_interrupted(
        self,
        arrival: Arrival,
        run: Run,
        head: bytes,
        wire: bytes,
        framing: Framing,
        behavior: ServerBehavior,
        interruption: Interruption,
    ) -> None:
        """Send a response, complete or interrupted."""
        if interruption is Interruption.INSIDE_HEAD:
            self._writer.write(head[: len(head) // 2])
        elif interruption is Interruption.AFTER_HEAD:
            self._writer.write(head)
        elif interruption in (Interruption.INSIDE_BODY, Interruption.BETWEEN_EVENTS):
            self._writer.write(head + wire[: len(wire) // 2])
        elif interruption is Interruption.BEFORE_LAST_CHUNK:
            self._writer.write(head + wire[:-1])
        if interruption is not Interruption.NONE:
            await self._writer.drain()
            await self._work(arrival, self._rng.choice((0.0, 0.02)))
            run.reset = True
            self._drop_connection(reset=framing is Framing.CLOSE_DELIMITED or self._rng.random() < 0.5)
        if behavior is ServerBehavior.STALLS_IN_RESPONSE:
            self._writer.write(head + wire[: len(wire) // 2])
            await self._work(arrival, 30.0)
        await self._send_in_pieces(arrival, head + wire)

    async def _send_stream(
        self,
        arrival: Arrival,
        run: Run,
        framing: Framing,
        ids: tuple[str, ...],
        stamps: list[str],
        behavior: ServerBehavior,
        interruption: Interruption,
    ) -> None:
        rng, version = self._rng, VERSIONS[self._name]
        framing = Framing.CHUNKED if framing is Framing.LENGTH else framing
        lines = ["Content-Type: text/event-stream", f"Versions: {version}", *framing_lines(b"", framing)]
        head = self._head(200, ids, *stamps, *lines)
        if interruption is Interruption.INSIDE_HEAD:
            self._writer.write(head[: len(head) // 2])
            await self._writer.drain()
            run.reset = True
            self._drop_connection(reset=True)
        fragmentation = self._draw_fragmentation()
        await self._send_in_pieces(arrival, head, fragmentation=fragmentation)
        run.line_end = rng.choice(LINE_ENDS)
        event_ids = self._event_ids(arrival)
        first = bisect.bisect_right(event_ids, int(arrival.header("last-event-id") or 0)) + 1
        interrupted_at = rng.randint(first, max(first, EVENTS)) if interruption is not Interruption.NONE else 0
        stalled_at = rng.randint(first, max(first, EVENTS)) if behavior is ServerBehavior.STALLS_IN_RESPONSE else 0
        for number in range(first, EVENTS + 1):
            await self._work(arrival, rng.choice((0.0, 0.0, 0.05)))
            has_version = rng.random() < 0.1
            event = event_of(number, event_ids[number - 1], run, version, has_version)
            if number == interrupted_at and interruption in (
                Interruption.AFTER_HEAD,
                Interruption.INSIDE_BODY,
                Interruption.BETWEEN_EVENTS,
            ):
                if interruption is Interruption.INSIDE_BODY:
                    self._send_data(event[: rng.randint(1, len(event) - 1)], framing)
                await self._writer.drain()
                await self._work(arrival, rng.choice((0.0, 0.02)))
                run.reset = True
                self._drop_connection(reset=framing is Framing.CLOSE_DELIMITED or rng.random() < 0.5)
            if number == stalled_at:
                await self._work(arrival, 30.0)
            await self._send_in_pieces(arrival, event, framing, fragmentation)
        if interruption is not Interruption.NONE:
            run.reset = True
            await self._work(arrival, 0.01)
            self._drop_connection(reset=framing is Framing.CLOSE_DELIMITED or rng.random() < 0.5)
        if framing is Framing.CHUNKED:
            self._writer.write(b"0\r\n\r\n")

    def _event_ids(self, arrival: Arrival) -> tuple[int, ...]:
        """Return the ids of the stream's events, which are the same at all servers."""
        request = self._records.asked.get(arrival.header("x-rosechute-request-id") or "")
        return request.event_ids if request is not None else SentRequest.event_ids

    # --- responses before the end of the request

    async def _reject_early(self, arrival: Arrival, name: str) -> None:
        self._send_complete(503, name, b"", "X-Rosechute-Not-Executed: 1")
        await self._writer.drain()
        await asyncio.sleep(self._rng.choice((0.0, 0.05, 0.3)))
        await self._read_body(arrival)  # a later request on this connection would be read as part of the body

    async def _respond_early(self, arrival: Arrival, name: str) -> None:
        run = self._record_run(arrival, name)
        run.is_early = True
        run.body = f"early answer of {run.stamp}".encode()
        run.is_response_sent = run.success = True
        if arrival.target.startswith(("/stream", "/resume")):
            run.body, run.is_response_sent = b"", False
            stamps = [f"X-Rosechute-Server-Stamp: {run.stamp}"]
            await self._send_stream(
                arrival, run, Framing.CHUNKED, (name,), stamps, ServerBehavior.RESPONDS, Interruption.NONE
            )
            run.is_response_sent = True
        else:
            self._send_complete(200, name, run.body, f"X-Rosechute-Server-Stamp: {run.stamp}")
        await self._writer.drain()
        await asyncio.sleep(self._rng.choice((0.0, 0.05, 0.3)))
        await self._read_body(arrival)

    # --- output

    def _head(self, status: int, ids: tuple[str, ...], *lines: str) -> bytes:
        named = [f"X-Rosechute-Request-Id: {one}" for one in ids]
        return "\r\n".join([f"HTTP/1.1 {status} X", *named, *lines, "", ""]).encode()

    def _send_complete(self, status: int, name: str, body: bytes, *lines: str) -> None:
        self._writer.write(self._head(status, (name,), *lines, f"Content-Length: {len(body)}") + body)

    def _send_data(self, data: bytes, framing: Framing) -> None:
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framing is Framing.CHUNKED else data)

    def _draw_fragmentation(self) -> Fragmentation:
        return self._rng.choices(list(FRAGMENTATION_WEIGHTS), list(FRAGMENTATION_WEIGHTS.values()))[0]

    async def _send_in_pieces(
        self,
        arrival: Arrival,
        data: bytes,
        framing: Framing = Framing.CLOSE_DELIMITED,
        fragmentation: Fragmentation | None = None,
    ) -> None:
        """Send bytes in pieces; each is a chunk of its own if the framing is chunked."""
        pieces = divide(data, fragmentation or self._draw_fragmentation(), self._rng)
        pause_s = self._rng.choice((0.0, 0.01, 0.01, 0.2)) if len(pieces) == 2 else 0.0
        for piece in pieces:
            self._send_data(piece, framing)
            await self._writer.drain()
            if piece is not pieces[-1]:
                await asyncio.sleep(0)  # lets the data plane read this piece alone
                await self._work(arrival, pause_s)

    def _drop_connection(self, reset: bool | None = None) -> None:
        """Reset or close the connection."""
        if reset if reset is not None else self._rng.random() < 0.5:
            reset_connection(self._writer)
        raise ConnectionError

    async def _work(self, arrival: Arrival, seconds: float) -> None:
        """Simulate work of this duration; stop if the connection ends."""
        if not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                while not self._reader.at_eof():
                    await asyncio.sleep(0.05 if seconds < 3.0 else 0.2)
        except TimeoutError:
            return
        arrival.connection_lost_at = self._now()
        raise ConnectionError


def divide(data: bytes, fragmentation: Fragmentation, rng: random.Random) -> list[bytes]:
    """Divide bytes into pieces that are not empty."""
    if fragmentation is Fragmentation.WHOLE or len(data) < 2:
        return [data]
    if fragmentation is Fragmentation.EACH_BYTE and len(data) <= MAX_SINGLE_BYTES:
        return [data[at : at + 1] for at in range(len(data))]
    is_before_last = fragmentation is Fragmentation.BEFORE_LAST_BYTE
    at = len(data) - 1 if is_before_last else rng.randint(1, len(data) - 1)
    return [data[:at], data[at:]]


def framing_lines(body: bytes, framing: Framing) -> list[str]:
    if framing is Framing.LENGTH:
        return [f"Content-Length: {len(body)}"]
    return ["Transfer-Encoding: chunked"] if framing is Framing.CHUNKED else []


def frame_body(body: bytes, framing: Framing) -> bytes:
    if framing is not Framing.CHUNKED:
        return body
    at = len(body) // 3
    pieces = [body[:at], body[at:]]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


class ScheduledClient:
    """A client that sends a few requests on one connection."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule, self._rng = schedule, schedule.rng
        self._is_http10 = schedule.rng.random() < 0.1  # uses HTTP/1.0

    async def send_requests(self) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._schedule.harness.plane.port)
        except ConnectionError:
            return  # the data plane does not listen any more
        self._reader, self._writer = reader, writer
        try:
            for number in range(self._rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                request = await self._send(number > 0)
                if not await self._await_response(request):
                    return
                await asyncio.sleep(self._rng.choice((0.0, 0.01, 0.1, 0.6)))
            request.surplus = await self._read_surplus()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _send(self, after_response: bool) -> SentRequest:
        rng = self._rng
        path = rng.choice(("/plain/1", "/again/1", "/stream/1", "/resume/1"))
        body = b"".join(b"%d," % number for number in range(rng.choice((0, 3, 4000))))
        if rng.random() < 0.15:
            body = ((b"long %d " % rng.randrange(1000)) * LONG_BODY_BYTES)[:LONG_BODY_BYTES]
        forwarded_headers = [
            ("X-Rosechute-Model", "m"),
            ("x-rosechute-token-count", f" {rng.randrange(99)},\t5 "),
            ("X-ROSECHUTE-Prompt-Prefix", rng.choice(PROMPT_PREFIXES)),
        ]
        if rng.random() < 0.2:
            forwarded_headers.append(("X-Rosechute-Model", "another line"))
        rng.shuffle(forwarded_headers)
        deadline_ms = rng.choice(DEADLINES_MS)
        name, now = f"r{len(self._schedule.records.asked)}", self._schedule.harness.loop.time()
        request = SentRequest(
            name, path, now, deadline_ms / 1e3, body, forwarded_headers, after_response=after_response
        )
        self._schedule.records.asked[request.name] = request
        lines = [
            f"POST {path} HTTP/1.{0 if self._is_http10 else 1}",
            "Host: app.example",
            f"X-Rosechute-Request-Id: {request.name}",
            f"X-Rosechute-Credential: {KEY}",
        ]
        if self._is_http10:
            lines.append("Connection: keep-alive")
        elif rng.random() < CONNECTION_HEADERS_SHARE:
            lines += rng.choice(CONNECTION_HEADERS)
        if rng.random() < 0.9:
            lines.append(f"X-Rosechute-Deadline-Ms: {deadline_ms}")
        else:
            request.deadline_s = TIMEOUT_S
        request.event_ids = tuple(itertools.accumulate(rng.choice(EVENT_ID_STEPS) for _ in range(EVENTS)))
        if path == "/resume/1" and rng.random() < 0.3:
            request.last_event_id = rng.choice(request.event_ids[:-1])
            lines.append(f"Last-Event-Id: {request.last_event_id}")
        lines += [f"{name}:{rng.choice((' ', '', '  '))}{value}" for name, value in forwarded_headers]
        await self._write_request(lines, body)
        return request

    async def _write_request(self, lines: list[str], body: bytes) -> None:
        if not self._is_http10 and body and self._rng.random() < 0.3:
            wire = frame_body(body, Framing.CHUNKED)
            head = [*lines, "Transfer-Encoding: chunked", "", ""]
        else:
            wire, head = body, [*lines, f"Content-Length: {len(body)}", "", ""]
        data = "\r\n".join(head).encode("latin-1") + wire
        if self._rng.random() < (0.6 if len(body) >= LONG_BODY_BYTES // 2 else 0.2):
            at = self._rng.randrange(len(data))
            self._writer.write(data[:at])
            await self._writer.drain()
            await asyncio.sleep(self._rng.choice((0.0, 0.02, 0.2)))
            data = data[at:]
        self._writer.write(data)

    async def _await_response(self, request: SentRequest) -> bool:
        """Wait for the response, or disconnect; return whether the connection can be reused."""
        rng, loop = self._rng, self._schedule.harness.loop
        reading = asyncio.ensure_future(self._read(request))
        if rng.random() < 0.2:
            pause_s = rng.choice((0.0, 0.01, 0.03, 0.2, 0.7))
            done, _ = await asyncio.wait({reading}, timeout=pause_s)
            if not done:
                request.disconnected_at = loop.time()
                reading.cancel()
                self._disconnect(rng.choice(tuple(Disconnect)))
                await asyncio.sleep(1.0)
                return False
        return await reading

    def _disconnect(self, how: Disconnect) -> None:
        if how is Disconnect.CLOSE:
            self._writer.close()
        elif how is Disconnect.HALF_CLOSE:
            self._writer.write_eof()
        else:
            reset_connection(self._writer)

    async def _read(self, request: SentRequest) -> bool:
        """Read one response; return whether the connection can be reused."""
        loop = self._schedule.harness.loop
        try:
            text = CONTINUE
            while text == CONTINUE:
                text = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            request.response_ended_at = loop.time()
            return False
        first, *lines = text[:-4].split("\r\n")
        request.responded_at = loop.time()
        request.status = int(first.split(" ")[1])
        request.headers = [(name.lower(), value.strip()) for name, value in (line.split(":", 1) for line in lines)]
        try:
            is_kept_alive = await self._read_body(request)
            request.is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            is_kept_alive = False
        request.response_ended_at = loop.time()
        return is_kept_alive and request.header("connection") != "close"

    async def _read_body(self, request: SentRequest) -> bool:
        if request.header("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                request.received_body += await self._reader.readexactly(size)
                await self._reader.readline()
            await self._reader.readline()
            return True
        length = request.header("content-length")
        if length is not None:
            try:
                request.received_body = await self._reader.readexactly(int(length))
            except asyncio.IncompleteReadError as error:
                request.received_body = error.partial
                raise
            return True
        while data := await self._reader.read(65536):  # raises after a reset
            request.received_body += data
        return False

    async def _read_surplus(self) -> bytes:
        """Return bytes that arrive without a request."""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(0.3):
                return await self._reader.read(200)
        return b""


class Schedule:
    """One random schedule of a data plane, its servers and its clients."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.records = Records()
        self.seed = seed
        self.instances = {name: name for name in SERVERS}  # id of the server instance at each address
        self.harness: DataPlaneHarness
        self._entries: list[ServerEntry] = []
        self._strict_since: float | None = None
        self._listeners: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> Records:
        """Run the schedule."""
        rng = self.rng
        memory_mb = rng.choice((66, 260))  # with little memory, long bodies are forwarded as they arrive
        self.harness = harness = DataPlaneHarness(memory_mb=memory_mb, grace_s=GRACE_S)
        await harness.plane.start()
        harness.plane.apply_configuration(model_configuration(), 1)
        self._entries = [await self._listen(name) for name in SERVERS]
        self._apply_list(all_ready=True)
        clients = []
        for number in range(CLIENTS):
            clients.append(asyncio.ensure_future(ScheduledClient(self).send_requests()))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.01, 0.1)))
            if number % 5 == 4:
                rng.choice(
                    (self._apply_list, self._replace_server, self._suspend_process, self._change_configuration)
                )()
        if self.seed % 4 == 0:
            self._apply_list(all_ready=True)
            self.records.shutdown_at = harness.loop.time()
            await harness.plane.finish_shutdown()
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        if self._strict_since is not None:
            self.records.strict_periods.append((self._strict_since, harness.loop.time()))
        self._record_leftovers()
        self._close()
        return self.records

    def _apply_list(self, all_ready: bool = False) -> None:
        """Apply an endpoint list in which some servers are draining."""
        ready = [all_ready or self.rng.random() < 0.8 for _ in self._entries]
        self.harness.apply_list(
            *(
                replace(entry, id=self.instances[entry.id], ready=is_ready)
                for entry, is_ready in zip(self._entries, ready, strict=True)
            )
        )

    def _replace_server(self) -> None:
        """Replace the server instance at an address; the endpoint list reflects it now or with its next change."""
        name = self.rng.choice(SERVERS)
        self.instances[name] += "+"
        if self.rng.random() < 0.5:
            self._apply_list(all_ready=True)

    def _suspend_process(self) -> None:
        """Simulate a suspension of the process, during which timers become due."""
        suspension_s = self.rng.choice((0.1, 0.6, 1.5))
        self.harness.loop._virtual_selector.now += suspension_s  # type: ignore[attr-defined]
        self.records.suspended_s += suspension_s

    def _change_configuration(self) -> None:
        """Apply another configuration, which may forbid retries."""
        now, strict = self.harness.loop.time(), self.rng.random() < 0.3
        active = self.harness.plane._active_configuration
        assert active is not None
        self.harness.plane.apply_configuration(model_configuration(active.sequence + 1, strict), active.sequence + 1)
        if self._strict_since is not None:
            self.records.strict_periods.append((self._strict_since, now))
        self._strict_since = now if strict else None

    async def _listen(self, name: str) -> ServerEntry:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            with contextlib.suppress(asyncio.CancelledError):
                await ServerConnection(self, name, reader, writer).serve()
            writer.close()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
        self._listeners.append(listening)
        port = listening.sockets[0].getsockname()[1]
        return ServerEntry(name, f"127.0.0.1:{port}", "east", 8, True)

    def _record_leftovers(self) -> None:
        plane, router = self.harness.plane, self.harness.router
        held: dict[str, Any] = {
            "requests": len(plane.client_listener.requests),
            "calls": len(router._pending),
            "bytes": plane.budget.used,
        }
        for server in plane.pool._servers.values():
            held[f"links of {server.id}"] = server.open_count - len(server.idle)
        self.records.leftovers = [f"{count} {name}" for name, count in held.items() if count]

    def _close(self) -> None:
        for listening in self._listeners:
            listening.close()
        for task in self._tasks:
            task.cancel()
        self.harness.close()

"""Servers and clients that do to a data plane all that the network and a server in trouble can do, by seed.

Every step is drawn from one generator, so that a seed is one schedule. What servers ran and what clients got is kept
for the judges (`data_judges`). A run's answer names its request and the run: it tells where it came from.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from dataclasses import dataclass, field, replace
from typing import Any

from rosechute.configuration.operator import Configuration
from rosechute.routing.model import ServerEntry
from tests.fleet.data_site import KEY, Site, configuration, route
from tests.fleet.data_site import reset as reset_connection

CLIENTS = 24  # of one schedule; each sends up to MOST_ON_ONE requests on its connection
MOST_ON_ONE = 3
EVENTS = 6  # of one stream
SERVERS = ("s1", "s2", "s3")
VERSIONS = {"s1": 1, "s2": 1, "s3": 2}  # of the weights of each server
DEADLINES_MS = (300, 1500, 4000)
TROUBLED = 0.6  # part of the requests at which servers misbehave
LONG_BODY = 250_000  # passed on to the server as it comes
LONG_ANSWER = 90_000  # passed on to the client as it comes
GRACE_S = 6.0
PROMPT_PREFIXES = ("a1:3,b2:4", "a1:3 ,  b2:4", "", "a1:3;q=\xe9", "a1:3,a1:3")
NOMINATED = ("X-Rosechute-Model", "keep-alive, x-rosechute-prompt-prefix", "Host", "X-Rosechute-Request-Id, X-Other")


class Framing(enum.Enum):
    """How a server tells where its answer ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNFRAMED = "unframed"  # it ends with the connection


class Break(enum.Enum):
    """Where a server breaks off, and how."""

    NOT = "not"
    REQUEST_HALF_READ = "request half read"
    REQUEST_READ = "request read"
    INSIDE_HEAD = "inside the head"
    BEHIND_HEAD = "behind the head"
    INSIDE_BODY = "inside the body"  # of a stream: inside an event
    BETWEEN_EVENTS = "between events"
    BEFORE_LAST_CHUNK = "before the last chunk"


class Conduct(enum.Enum):
    """What a server does with a request."""

    ANSWERS = "answers"
    IS_SLOW = "is slow"
    IS_SILENT = "is silent"
    BREAKS_OFF = "breaks off"
    DECLINES = "declines"  # marked as not executed
    IS_ANOTHER = "is another"  # 421
    FAILS = "fails"  # 500, has run
    PROMISES_FALSELY = "promises falsely"  # 503 without the mark, has run
    MARKS_SUCCESS = "marks a success"  # as not executed
    IS_UNSTAMPED = "is unstamped"
    GARBLES = "garbles"
    ANSWERS_TWICE = "answers twice"
    ANSWERS_EARLIER_FIRST = "answers an earlier one first"
    ANSWERS_EARLIER_LATE = "answers an earlier one late"
    NAMES_ANOTHER = "names another"
    NAMES_NONE = "names none"
    NAMES_TWO = "names two"
    ANSWERS_EARLY = "answers early"  # before it has read the body, which it reads on later
    DECLINES_EARLY = "declines early"
    INTERIM_FIRST = "sends an interim answer first"
    CLOSES_AFTER = "closes after its answer"
    FALLS_SILENT = "falls silent within its answer"


TROUBLES = tuple(conduct for conduct in Conduct if conduct is not Conduct.ANSWERS)
EARLY = (Conduct.ANSWERS_EARLY, Conduct.DECLINES_EARLY)
BREAKS_SHARE = 0.25  # of the troubles: a break has many places and ways
EARLY_SHARE = 0.4  # of long requests that are answered before they are in


class Leave(enum.Enum):
    """How a client goes away."""

    CLOSE = "close"
    HALF_CLOSE = "half close"
    RESET = "reset"


@dataclass(eq=False)
class Run:
    """One time that a server ran a request, or may have."""

    server: str  # its incarnation
    stamp: str
    at: float
    body: bytes = b""  # of its whole answer; empty for a stream
    ended_whole: bool = False  # whether it sent its answer to its end
    reset: bool = False
    success: bool = False


@dataclass(eq=False)
class Arrival:
    """A request as a server has read it."""

    server: str
    at: float
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | None = None  # None where it was not read whole
    part: bytes = b""  # of a body whose connection ended before its end
    gone_at: float | None = None  # when the server saw its connection end while it was at work

    def value(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


@dataclass(eq=False)
class Asked:
    """One request of a client, and what came of it."""

    name: str
    path: str
    sent_at: float
    deadline_s: float
    body: bytes
    told: list[tuple[str, str]]  # headers that go on unchanged
    last_event_id: int = 0
    after_response: bool = False  # it was sent on a connection that has been used
    left_at: float | None = None
    answered_at: float | None = None  # when the head came
    ended_at: float | None = None
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    got: bytes = b""
    whole: bool = False  # whether the client takes the answer for whole
    surplus: bytes = b""  # what came behind the last answer

    def value(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)

    @property
    def repeatable(self) -> bool:
        return self.path in ("/again/1", "/resume/1")

    @property
    def streaming(self) -> bool:
        return self.path in ("/stream/1", "/resume/1")


class Records:
    """All that happened in one schedule."""

    def __init__(self) -> None:
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list[Run]] = {}
        self.arrivals: dict[str, list[Arrival]] = {}
        self.malformed: list[bytes] = []  # what a server could not read as a request
        self.conducts: dict[str, list[Conduct]] = {}
        self.shutdown_at: float | None = None
        self.stood_still_s = 0.0  # for how long the process did, in all
        self.strict: list[tuple[float, float]] = []  # from when to when nothing might be repeated, by configuration
        self.leftovers: list[str] = []  # what the data plane still holds once all is over


def model_configuration(version: int = 1, strict: bool = False) -> Configuration:
    """The routes; a strict configuration allows none of them to be repeated or resumed."""
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


def event_of(number: int, run: Run, version: int, told: bool) -> bytes:
    """One event of a run; where it is told, its first line names the version."""
    first = f"versions:{version}\n" if told else ""
    return f"{first}id: {number}\ndata: piece {number} of {run.stamp} by {version}\n\n".encode()


class ServerConnection:
    """One connection at a server: reads requests and answers as it is drawn."""

    def __init__(self, world: World, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._world, self._name = world, name
        self._draw, self._records = world.draw, world.records
        self._reader, self._writer = reader, writer
        self._earlier: str | None = None  # the request that was answered here before
        self._left = 0  # bytes of a body that are still to be read
        self._chunked = False

    async def serve(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            while True:
                arrival = await self._read_head()
                await self._take(arrival)
                self._earlier = arrival.value("x-rosechute-request-id")
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
        name = arrival.value("x-rosechute-request-id") or ""
        self._records.arrivals.setdefault(name, []).append(arrival)
        self._chunked = arrival.value("transfer-encoding") == "chunked"
        self._left = int(arrival.value("content-length") or 0)
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
                body = await self._reader.readexactly(self._left)
            except asyncio.IncompleteReadError as error:
                arrival.part = error.partial
                raise
        arrival.body = body

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- one request

    async def _take(self, arrival: Arrival) -> None:
        draw = self._draw
        conduct = self._conduct()
        name = arrival.value("x-rosechute-request-id") or ""
        self._records.conducts.setdefault(name, []).append(conduct)
        expected = arrival.value("expect-version")
        if arrival.value("x-rosechute-expect-instance") != self._world.instances[self._name]:
            await self._read_body(arrival)
            self._whole(421, name, b"", f"X-Rosechute-Instance-Id: {self._world.instances[self._name]}")
            return
        if conduct is Conduct.DECLINES_EARLY:
            await self._decline_early(arrival, name)
            return
        if conduct is Conduct.ANSWERS_EARLY:
            await self._answer_early(arrival, name)
            return
        place = draw.choice(tuple(Break)[1:]) if conduct is Conduct.BREAKS_OFF else Break.NOT
        if place is Break.REQUEST_HALF_READ:
            await self._reader.read(self._left // 2 or 1)
            self._note_run(arrival, name).reset = True
            self._break_off()
        await self._read_body(arrival)
        if expected is not None and int(expected) != VERSIONS[self._name]:
            self._whole(421, name, b"", "X-Rosechute-Not-Executed: 1", f"X-Rosechute-Instance-Id: {self._name}")
        elif conduct is Conduct.DECLINES:
            self._whole(draw.choice((429, 503)), name, b"", "X-Rosechute-Not-Executed: 1")
        elif conduct is Conduct.IS_ANOTHER:
            self._whole(421, name, b"", "X-Rosechute-Instance-Id: i-other")
        else:
            await self._run(arrival, name, conduct, place)

    def _conduct(self) -> Conduct:
        draw = self._draw
        long = self._chunked or self._left > LONG_BODY // 2
        if long and draw.random() < EARLY_SHARE:
            return draw.choice(EARLY)
        if draw.random() >= TROUBLED:
            return Conduct.ANSWERS
        return Conduct.BREAKS_OFF if draw.random() < BREAKS_SHARE else draw.choice(TROUBLES)

    def _note_run(self, arrival: Arrival, name: str) -> Run:
        runs = self._records.runs.setdefault(name, [])
        run = Run(self._world.instances[self._name], f"stamp-{self._name}-{name}-{len(runs)}", arrival.at)
        runs.append(run)
        return run

    async def _run(self, arrival: Arrival, name: str, conduct: Conduct, place: Break) -> None:
        run = self._note_run(arrival, name)
        draw = self._draw
        await self._work(arrival, draw.choice((0.0, 0.0, 0.03)))
        if conduct is Conduct.IS_SLOW:
            await self._work(arrival, draw.uniform(0.1, 2.5))
        elif conduct is Conduct.IS_SILENT:
            await self._work(arrival, 30.0)
        elif place is Break.REQUEST_READ:
            self._break_off()
        elif conduct in (Conduct.FAILS, Conduct.PROMISES_FALSELY):
            status = 500 if conduct is Conduct.FAILS else draw.choice((408, 429, 503))
            run.body = f"failure of {run.stamp}".encode()
            run.ended_whole = True
            self._whole(status, name, run.body, f"X-Rosechute-Server-Stamp: {run.stamp}")
            return
        elif conduct is Conduct.GARBLES:
            self._writer.write(b"\x00 no answer\r\n\r\n")
            return
        elif conduct is Conduct.INTERIM_FIRST:
            self._writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        elif conduct is Conduct.ANSWERS_EARLIER_FIRST and self._earlier is not None:
            self._whole(200, self._earlier, b"surplus", "X-Rosechute-Server-Stamp: surplus")
        await self._succeed(arrival, name, run, conduct, place)

    async def _succeed(self, arrival: Arrival, name: str, run: Run, conduct: Conduct, place: Break) -> None:
        draw = self._draw
        stamps = [] if conduct is Conduct.IS_UNSTAMPED else [f"X-Rosechute-Server-Stamp: {run.stamp}"]
        if conduct is Conduct.MARKS_SUCCESS:
            stamps.append("X-Rosechute-Not-Executed: 1")
        ids: tuple[str, ...] = (name,)
        if conduct is Conduct.NAMES_ANOTHER:
            ids = (f"x{name}",)
        elif conduct is Conduct.NAMES_NONE:
            ids = ()
        elif conduct is Conduct.NAMES_TWO:
            ids = draw.choice(((name, f"x{name}"), (f"x{name}", name)))
        run.success = conduct not in (
            Conduct.IS_UNSTAMPED,
            Conduct.MARKS_SUCCESS,
            Conduct.NAMES_ANOTHER,
            Conduct.NAMES_NONE,
            Conduct.NAMES_TWO,
        )
        framing = draw.choice((Framing.LENGTH, Framing.CHUNKED, Framing.CHUNKED, Framing.UNFRAMED))
        if arrival.target.startswith(("/stream", "/resume")):
            await self._stream(arrival, run, framing, ids, stamps, conduct, place)
        else:
            await self._plain(arrival, run, framing, ids, stamps, conduct, place)
        await self._writer.drain()
        run.ended_whole = True
        if framing is Framing.UNFRAMED:
            raise ConnectionError
        if conduct is Conduct.ANSWERS_TWICE:
            await asyncio.sleep(draw.choice((0.0, 0.01, 0.05)))
            self._whole(200, name, b"surplus", f"X-Rosechute-Server-Stamp: {run.stamp}")
        elif conduct is Conduct.ANSWERS_EARLIER_LATE and self._earlier is not None:
            await asyncio.sleep(draw.choice((0.0, 0.01, 0.05)))
            self._whole(200, self._earlier, b"surplus", "X-Rosechute-Server-Stamp: surplus")
        elif conduct is Conduct.CLOSES_AFTER:
            await asyncio.sleep(draw.choice((0.0, 0.01, 0.2)))
            self._break_off()

    async def _plain(
        self,
        arrival: Arrival,
        run: Run,
        framing: Framing,
        ids: tuple[str, ...],
        stamps: list[str],
        conduct: Conduct,
        place: Break,
    ) -> None:
        draw = self._draw
        words = f"whole answer of {run.stamp} to {arrival.value('x-rosechute-request-id')}. ".encode()
        run.body = words * (LONG_ANSWER // len(words) if draw.random() < 0.2 else 2)
        wire = framed(run.body, framing)
        head = self._head(200, ids, *stamps, *framing_lines(run.body, framing))
        await self._send_broken(arrival, run, head, wire, framing, conduct, place)

    async def _send_broken(
        self, arrival: Arrival, run: Run, head: bytes, wire: bytes, framing: Framing, conduct: Conduct, place: Break
    ) -> None:
        """Send an answer, or as much of it as is drawn."""
        if place is Break.INSIDE_HEAD:
            self._writer.write(head[: len(head) // 2])
        elif place is Break.BEHIND_HEAD:
            self._writer.write(head)
        elif place in (Break.INSIDE_BODY, Break.BETWEEN_EVENTS):
            self._writer.write(head + wire[: len(wire) // 2])
        elif place is Break.BEFORE_LAST_CHUNK:
            self._writer.write(head + wire[:-1])
        if place is not Break.NOT:
            await self._writer.drain()
            await self._work(arrival, self._draw.choice((0.0, 0.02)))
            run.reset = True
            self._break_off(reset=framing is Framing.UNFRAMED or self._draw.random() < 0.5)
        if conduct is Conduct.FALLS_SILENT:
            self._writer.write(head + wire[: len(wire) // 2])
            await self._work(arrival, 30.0)
        if self._draw.random() < 0.2:
            self._writer.write(head + wire[:7])
            await self._writer.drain()
            await self._work(arrival, self._draw.choice((0.0, 0.01, 0.2)))
            self._writer.write(wire[7:])
        else:
            self._writer.write(head + wire)

    async def _stream(
        self,
        arrival: Arrival,
        run: Run,
        framing: Framing,
        ids: tuple[str, ...],
        stamps: list[str],
        conduct: Conduct,
        place: Break,
    ) -> None:
        draw, version = self._draw, VERSIONS[self._name]
        framing = Framing.CHUNKED if framing is Framing.LENGTH else framing
        lines = ["Content-Type: text/event-stream", f"Versions: {version}", *framing_lines(b"", framing)]
        head = self._head(200, ids, *stamps, *lines)
        if place is Break.INSIDE_HEAD:
            self._writer.write(head[: len(head) // 2])
            await self._writer.drain()
            run.reset = True
            self._break_off(reset=True)
        self._writer.write(head)
        first = int(arrival.value("last-event-id") or 0) + 1
        breaks_at = draw.randint(first, max(first, EVENTS)) if place is not Break.NOT else 0
        silent_at = draw.randint(first, max(first, EVENTS)) if conduct is Conduct.FALLS_SILENT else 0
        for number in range(first, EVENTS + 1):
            await self._work(arrival, draw.choice((0.0, 0.0, 0.05)))
            told = draw.random() < 0.1
            event = event_of(number, run, version, told)
            if number == breaks_at and place in (Break.BEHIND_HEAD, Break.INSIDE_BODY, Break.BETWEEN_EVENTS):
                if place is Break.INSIDE_BODY:
                    self._piece(event[: draw.randint(1, len(event) - 1)], framing)
                await self._writer.drain()
                await self._work(arrival, draw.choice((0.0, 0.02)))
                run.reset = True
                self._break_off(reset=framing is Framing.UNFRAMED or draw.random() < 0.5)
            if number == silent_at:
                await self._work(arrival, 30.0)
            at = draw.randint(1, len(event) - 1) if draw.random() < 0.2 else 0
            if at:
                self._piece(event[:at], framing)
                await self._writer.drain()
                await self._work(arrival, draw.choice((0.0, 0.01)))
            self._piece(event[at:], framing)
            await self._writer.drain()
        if place is not Break.NOT:
            run.reset = True
            await self._work(arrival, 0.01)
            self._break_off(reset=framing is Framing.UNFRAMED or draw.random() < 0.5)
        if framing is Framing.CHUNKED:
            self._writer.write(b"0\r\n\r\n")

    # --- early answers

    async def _decline_early(self, arrival: Arrival, name: str) -> None:
        self._whole(503, name, b"", "X-Rosechute-Not-Executed: 1")
        await self._writer.drain()
        await asyncio.sleep(self._draw.choice((0.0, 0.05, 0.3)))
        await self._read_body(arrival)  # what comes in its place would be read as this

    async def _answer_early(self, arrival: Arrival, name: str) -> None:
        run = self._note_run(arrival, name)
        run.body = f"early answer of {run.stamp}".encode()
        run.ended_whole = run.success = True
        if arrival.target.startswith(("/stream", "/resume")):
            run.body, run.ended_whole = b"", False
            stamps = [f"X-Rosechute-Server-Stamp: {run.stamp}"]
            await self._stream(arrival, run, Framing.CHUNKED, (name,), stamps, Conduct.ANSWERS, Break.NOT)
            run.ended_whole = True
        else:
            self._whole(200, name, run.body, f"X-Rosechute-Server-Stamp: {run.stamp}")
        await self._writer.drain()
        await asyncio.sleep(self._draw.choice((0.0, 0.05, 0.3)))
        await self._read_body(arrival)

    # --- bytes

    def _head(self, status: int, ids: tuple[str, ...], *lines: str) -> bytes:
        named = [f"X-Rosechute-Request-Id: {one}" for one in ids]
        return "\r\n".join([f"HTTP/1.1 {status} X", *named, *lines, "", ""]).encode()

    def _whole(self, status: int, name: str, body: bytes, *lines: str) -> None:
        self._writer.write(self._head(status, (name,), *lines, f"Content-Length: {len(body)}") + body)

    def _piece(self, data: bytes, framing: Framing) -> None:
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framing is Framing.CHUNKED else data)

    def _break_off(self, reset: bool | None = None) -> None:
        """End the connection, by a reset or a close."""
        if reset if reset is not None else self._draw.random() < 0.5:
            reset_connection(self._writer)
        raise ConnectionError

    async def _work(self, arrival: Arrival, seconds: float) -> None:
        """Be at work for so long, or until the connection ends."""
        if not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                while not self._reader.at_eof():
                    await asyncio.sleep(0.05 if seconds < 3.0 else 0.2)
        except TimeoutError:
            return
        arrival.gone_at = self._now()
        raise ConnectionError


def framing_lines(body: bytes, framing: Framing) -> list[str]:
    if framing is Framing.LENGTH:
        return [f"Content-Length: {len(body)}"]
    return ["Transfer-Encoding: chunked"] if framing is Framing.CHUNKED else []


def framed(body: bytes, framing: Framing) -> bytes:
    if framing is not Framing.CHUNKED:
        return body
    at = len(body) // 3
    pieces = [body[:at], body[at:]]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


class ModelClient:
    """One client: some requests on one connection, read as a client reads them."""

    def __init__(self, world: World) -> None:
        self._world, self._draw = world, world.draw
        self._ten = world.draw.random() < 0.1  # speaks HTTP/1.0

    async def act(self) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._world.site.plane.port)
        except ConnectionError:
            return  # it is not listening any more
        self._reader, self._writer = reader, writer
        try:
            for number in range(self._draw.randint(1, MOST_ON_ONE)):
                asked = await self._send(number > 0)
                if not await self._wait(asked):
                    return
                await asyncio.sleep(self._draw.choice((0.0, 0.01, 0.1, 0.6)))
            asked.surplus = await self._rest()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _send(self, after_response: bool) -> Asked:
        draw = self._draw
        path = draw.choice(("/plain/1", "/again/1", "/stream/1", "/resume/1"))
        body = b"".join(b"%d," % number for number in range(draw.choice((0, 3, 4000))))
        if draw.random() < 0.15:
            body = ((b"long %d " % draw.randrange(1000)) * LONG_BODY)[:LONG_BODY]
        told = [
            ("X-Rosechute-Model", "m"),
            ("x-rosechute-token-count", f" {draw.randrange(99)},\t5 "),
            ("X-ROSECHUTE-Prompt-Prefix", draw.choice(PROMPT_PREFIXES)),
        ]
        if draw.random() < 0.2:
            told.append(("X-Rosechute-Model", "another line"))
        draw.shuffle(told)
        deadline_ms = draw.choice(DEADLINES_MS)
        name, now = f"r{len(self._world.records.asked)}", self._world.site.loop.time()
        asked = Asked(name, path, now, deadline_ms / 1e3, body, told, after_response=after_response)
        self._world.records.asked[asked.name] = asked
        lines = [
            f"POST {path} HTTP/1.{0 if self._ten else 1}",
            "Host: app.example",
            f"X-Rosechute-Request-Id: {asked.name}",
            f"X-Rosechute-Credential: {KEY}",
        ]
        if self._ten:
            lines.append("Connection: keep-alive")
        elif draw.random() < 0.1:
            lines.append(f"Connection: {draw.choice(NOMINATED)}")
        if draw.random() < 0.9:
            lines.append(f"X-Rosechute-Deadline-Ms: {deadline_ms}")
        else:
            asked.deadline_s = TIMEOUT_S
        if path == "/resume/1" and draw.random() < 0.3:
            asked.last_event_id = draw.randint(1, EVENTS - 1)
            lines.append(f"Last-Event-Id: {asked.last_event_id}")
        lines += [f"{name}:{draw.choice((' ', '', '  '))}{value}" for name, value in told]
        await self._write(lines, body)
        return asked

    async def _write(self, lines: list[str], body: bytes) -> None:
        if not self._ten and body and self._draw.random() < 0.3:
            wire = framed(body, Framing.CHUNKED)
            head = [*lines, "Transfer-Encoding: chunked", "", ""]
        else:
            wire, head = body, [*lines, f"Content-Length: {len(body)}", "", ""]
        data = "\r\n".join(head).encode("latin-1") + wire
        if self._draw.random() < (0.6 if len(body) >= LONG_BODY // 2 else 0.2):
            at = self._draw.randrange(len(data))
            self._writer.write(data[:at])
            await self._writer.drain()
            await asyncio.sleep(self._draw.choice((0.0, 0.02, 0.2)))
            data = data[at:]
        self._writer.write(data)

    async def _wait(self, asked: Asked) -> bool:
        """Wait for the answer, or leave; whether the connection goes on."""
        draw, loop = self._draw, self._world.site.loop
        reading = asyncio.ensure_future(self._read(asked))
        if draw.random() < 0.2:
            pause_s = draw.choice((0.0, 0.01, 0.03, 0.2, 0.7))
            done, _ = await asyncio.wait({reading}, timeout=pause_s)
            if not done:
                asked.left_at = loop.time()
                reading.cancel()
                self._leave(draw.choice(tuple(Leave)))
                await asyncio.sleep(1.0)
                return False
        return await reading

    def _leave(self, how: Leave) -> None:
        if how is Leave.CLOSE:
            self._writer.close()
        elif how is Leave.HALF_CLOSE:
            self._writer.write_eof()
        else:
            reset_connection(self._writer)

    async def _read(self, asked: Asked) -> bool:
        """Read one answer as a client reads it; whether the connection goes on."""
        loop = self._world.site.loop
        try:
            text = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            asked.ended_at = loop.time()
            return False
        first, *lines = text[:-4].split("\r\n")
        asked.answered_at = loop.time()
        asked.status = int(first.split(" ")[1])
        asked.headers = [(name.lower(), value.strip()) for name, value in (line.split(":", 1) for line in lines)]
        try:
            goes_on = await self._read_body(asked)
            asked.whole = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            goes_on = False
        asked.ended_at = loop.time()
        return goes_on and asked.value("connection") != "close"

    async def _read_body(self, asked: Asked) -> bool:
        if asked.value("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                asked.got += await self._reader.readexactly(size)
                await self._reader.readline()
            await self._reader.readline()
            return True
        length = asked.value("content-length")
        if length is not None:
            try:
                asked.got = await self._reader.readexactly(int(length))
            except asyncio.IncompleteReadError as error:
                asked.got = error.partial
                raise
            return True
        while data := await self._reader.read(65536):  # a reset raises
            asked.got += data
        return False

    async def _rest(self) -> bytes:
        """What comes although nothing is asked for."""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(0.3):
                return await self._reader.read(200)
        return b""


class World:
    """One data plane with its servers and clients, and what happened."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.records = Records()
        self.seed = seed
        self.instances = {name: name for name in SERVERS}  # the incarnation that stands at each address
        self.site: Site
        self._entries: list[ServerEntry] = []
        self._strict_since: float | None = None
        self._listening: list[asyncio.Server] = []
        self._serving: set[asyncio.Task[None]] = set()

    async def play(self) -> Records:
        """Play the whole schedule."""
        draw = self.draw
        memory_mb = draw.choice((66, 260))  # with little memory long bodies go out as they come in
        self.site = site = Site(memory_mb=memory_mb, grace_s=GRACE_S)
        await site.plane.start()
        site.plane.apply_configuration(model_configuration(), 1)
        self._entries = [await self._listen(name) for name in SERVERS]
        self._list(all_ready=True)
        clients = []
        for number in range(CLIENTS):
            clients.append(asyncio.ensure_future(ModelClient(self).act()))
            await asyncio.sleep(draw.choice((0.0, 0.0, 0.01, 0.1)))
            if number % 5 == 4:
                draw.choice((self._list, self._replace_server, self._stand_still, self._configure))()
        if self.seed % 4 == 0:
            self._list(all_ready=True)
            self.records.shutdown_at = site.loop.time()
            await site.plane.finish_shutdown()
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        if self._strict_since is not None:
            self.records.strict.append((self._strict_since, site.loop.time()))
        self._note_leftovers()
        self._close()
        return self.records

    def _list(self, all_ready: bool = False) -> None:
        """Another list: some servers drain."""
        ready = [all_ready or self.draw.random() < 0.8 for _ in self._entries]
        self.site.list(
            *(
                replace(entry, id=self.instances[entry.id], ready=is_ready)
                for entry, is_ready in zip(self._entries, ready, strict=True)
            )
        )

    def _replace_server(self) -> None:
        """Another incarnation stands at an address; the list tells so now, or with its next change."""
        name = self.draw.choice(SERVERS)
        self.instances[name] += "+"
        if self.draw.random() < 0.5:
            self._list(all_ready=True)

    def _stand_still(self) -> None:
        """The process stands still, while its timers come due."""
        still_s = self.draw.choice((0.1, 0.6, 1.5))
        self.site.loop._jump.now += still_s  # type: ignore[attr-defined]
        self.records.stood_still_s += still_s

    def _configure(self) -> None:
        """Another configuration, by which nothing or again something may be repeated."""
        now, strict = self.site.loop.time(), self.draw.random() < 0.3
        active = self.site.plane._active_configuration
        assert active is not None
        self.site.plane.apply_configuration(model_configuration(active.sequence + 1, strict), active.sequence + 1)
        if self._strict_since is not None:
            self.records.strict.append((self._strict_since, now))
        self._strict_since = now if strict else None

    async def _listen(self, name: str) -> ServerEntry:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._serving.add(task)
            with contextlib.suppress(asyncio.CancelledError):
                await ServerConnection(self, name, reader, writer).serve()
            writer.close()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
        self._listening.append(listening)
        port = listening.sockets[0].getsockname()[1]
        return ServerEntry(name, f"127.0.0.1:{port}", "east", 8, True)

    def _note_leftovers(self) -> None:
        plane, router = self.site.plane, self.site.router
        held: dict[str, Any] = {
            "requests": len(plane.front.requests),
            "calls": len(router._pending),
            "bytes": plane.budget.used,
        }
        for server in plane.pool._servers.values():
            held[f"links of {server.id}"] = server.open_count - len(server.idle)
        self.records.leftovers = [f"{count} {name}" for name, count in held.items() if count]

    def _close(self) -> None:
        for listening in self._listening:
            listening.close()
        for task in self._serving:
            task.cancel()
        self.site.close()

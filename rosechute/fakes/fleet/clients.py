"""Clients of a fleet: open-loop requests through the entry, retries as they are allowed, and what became of each."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.entry import Entry

LONGEST_TRIES = 4
PAUSE_S = 0.05
CONNECT_S = 1.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request, and how many of it come a second."""

    name: str
    host: str
    path: str
    per_s: float
    key: str = ""
    streaming: bool = False
    repeatable: bool = False
    deadline_s: float = 3.0
    input_tokens: int = 400
    output_tokens: int = 50
    subjects: int = 8
    """How many different shared parts of prompts there are."""


@dataclass(slots=True)
class Try:
    """One try of a request: `status` is 0 where no head of an answer came."""

    request_id: str
    status: int = 0
    whole: bool = False
    retry_after_s: float | None = None
    last_event: int = 0
    problem: str = ""


@dataclass(slots=True)
class Done:
    """What became of one request."""

    kind: Kind
    at: float
    tries: list[Try] = field(default_factory=list)
    took_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the client got its whole answer."""
        return bool(self.tries) and self.tries[-1].whole


class Clients:
    """Sends requests at drawn times, whatever becomes of those before."""

    def __init__(self, entry: Entry, zones: list[str], seed: int = 1) -> None:
        self.done: list[Done] = []
        self.open = 0
        self._entry, self._zones = entry, zones
        self._random = random.Random(seed)
        self._number = 0

    async def play(self, kinds: list[Kind], seconds: float) -> None:
        """Send for so long, and wait for all answers."""
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self._flow(group, kind, seconds))

    async def _flow(self, group: asyncio.TaskGroup, kind: Kind, seconds: float) -> None:
        """The requests of one kind."""
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + seconds
        while (at := at + self._random.expovariate(kind.per_s)) < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            group.create_task(self.request(kind))

    async def request(self, kind: Kind) -> Done:
        """One request with its tries."""
        loop = asyncio.get_running_loop()
        done = Done(kind, loop.time())
        zone = self._random.choice(self._zones)
        client = f"{zone}-{self._random.randrange(1 << 16)}"
        subject = self._random.randrange(kind.subjects)
        until, resume_at = done.at + kind.deadline_s, 0
        self.open += 1
        try:
            for attempt in range(LONGEST_TRIES):
                tried = await self._try(kind, self._entry.front(zone, client, attempt), subject, until, resume_at)
                done.tries.append(tried)
                if tried.whole or not self._may_repeat(kind, tried):
                    break
                resume_at = max(resume_at, tried.last_event)
                pause = max(PAUSE_S, tried.retry_after_s or 0.0)
                if loop.time() + pause >= until:
                    break
                await asyncio.sleep(pause)
        finally:
            self.open -= 1
            done.took_s = loop.time() - done.at
            self.done.append(done)
        return done

    @staticmethod
    def _may_repeat(kind: Kind, tried: Try) -> bool:
        """Whether another try is allowed after this one."""
        if tried.status in words.PROMISES or tried.problem == "connect":
            return True
        return kind.repeatable and tried.status in (0, 200, 500, 502, 504)

    async def _try(self, kind: Kind, front: str, subject: int, until: float, resume_at: int) -> Try:
        """One try on a connection of its own."""
        left = until - asyncio.get_running_loop().time()
        self._number += 1
        tried = Try(f"{self._number:016x}")
        headers = self._headers(kind, tried.request_id, subject, left, resume_at)
        timeout = aiohttp.ClientTimeout(total=max(0.05, left), sock_connect=CONNECT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
                session.post(f"http://{front}{kind.path}", headers=headers, data=b"x" * kind.input_tokens) as answer,
            ):
                await self._read(kind, tried, answer, resume_at)
        except aiohttp.ClientConnectorError:
            tried.problem = "connect"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            tried.problem = tried.problem or type(error).__name__
        return tried

    @staticmethod
    def _headers(kind: Kind, request_id: str, subject: int, left: float, resume_at: int) -> dict[str, str]:
        """The head of a request."""
        headers = {"Host": kind.host, words.REQUEST_ID: request_id, words.DEADLINE_MS: str(max(1, int(left * 1e3)))}
        if kind.key:
            headers[words.CREDENTIAL] = kind.key
        if kind.streaming:
            shared = kind.input_tokens // 2
            headers[words.MODEL] = "m"
            headers[words.TOKEN_COUNT] = f"{kind.input_tokens},{kind.output_tokens}"
            headers[words.PROMPT_PREFIX] = f"{subject:04x}:{shared},{request_id[-8:]}:{kind.input_tokens - shared}"
        if resume_at:
            headers[words.LAST_EVENT_ID] = str(resume_at)
        return headers

    @staticmethod
    async def _read(kind: Kind, tried: Try, answer: aiohttp.ClientResponse, resume_at: int) -> None:
        """Read an answer, and say whether it is whole and the one that was asked for."""
        tried.status = answer.status
        pause = answer.headers.get(words.RETRY_AFTER)
        tried.retry_after_s = float(pause) if pause else None
        if answer.status != 200:
            await answer.read()
            return
        if words.STAMP not in answer.headers:
            tried.problem = "an answer without a server's stamp"
        elif answer.headers.get(words.REQUEST_ID) != tried.request_id:
            tried.problem = "the answer to another request"
        elif not kind.streaming:
            whole = await answer.read() == words.plain_body(kind.path, b"x" * kind.input_tokens)
            tried.whole, tried.problem = whole, "" if whole else "a body that is not the server's"
        else:
            await _read_events(kind, tried, answer, resume_at)


async def _read_events(kind: Kind, tried: Try, answer: aiohttp.ClientResponse, resume_at: int) -> None:
    """Read a stream: events in order, none missing and none twice, up to the last."""
    count, expected, buffer = words.event_count(kind.output_tokens), resume_at + 1, b""
    async for data in answer.content.iter_any():
        buffer += data
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            if event + b"\n\n" != words.event(kind.path, expected, count):
                tried.problem = f"event {expected} is missing, repeated or changed"
                return
            tried.last_event = expected
            expected += 1
    tried.whole = not buffer and expected > count
    if not tried.whole:
        tried.problem = "a stream that ends as complete before its last event"

"""Clients of a fleet: open-loop requests through the entry, permitted retries, and the result of each request."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.entry import Entry

MAX_ATTEMPTS = 4
MIN_RETRY_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A type of request and its arrival rate."""

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
    prefixes: int = 8
    """Number of different prompt prefixes that requests share."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a request. `status` is 0 if no response header arrived."""

    request_id: str
    status: int = 0
    is_complete: bool = False
    retry_after_s: float | None = None
    last_event: int = 0
    failure: str = ""


@dataclass(slots=True)
class RequestResult:
    """The result of one request with all its attempts."""

    kind: RequestKind
    at: float
    attempts: list[Attempt] = field(default_factory=list)
    took_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the client received its complete response."""
        return bool(self.attempts) and self.attempts[-1].is_complete


class Clients:
    """Clients that send requests as Poisson processes without waiting for earlier responses."""

    def __init__(self, entry: Entry, zones: list[str], seed: int = 1) -> None:
        self.results: list[RequestResult] = []
        self.in_flight = 0
        self._entry, self._zones = entry, zones
        self._random = random.Random(seed)
        self._number = 0

    async def play(self, kinds: list[RequestKind], seconds: float) -> None:
        """Send each kind of request for `seconds`, then wait until all have finished."""
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self._generate(group, kind, seconds))

    async def _generate(self, group: asyncio.TaskGroup, kind: RequestKind, seconds: float) -> None:
        """Start the requests of one kind at their due times."""
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + seconds
        while (at := at + self._random.expovariate(kind.per_s)) < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            group.create_task(self.request(kind))

    async def request(self, kind: RequestKind) -> RequestResult:
        """Send one request with its retries and return its result."""
        loop = asyncio.get_running_loop()
        request_result = RequestResult(kind, loop.time())
        zone = self._random.choice(self._zones)
        client = f"{zone}-{self._random.randrange(1 << 16)}"
        prefix = self._random.randrange(kind.prefixes)
        deadline, resume_at = request_result.at + kind.deadline_s, 0
        self.in_flight += 1
        try:
            for attempt in range(MAX_ATTEMPTS):
                result = await self._send_attempt(
                    kind, self._entry.front(zone, client, attempt), prefix, deadline, resume_at
                )
                request_result.attempts.append(result)
                if result.is_complete or not self._can_retry(kind, result):
                    break
                resume_at = max(resume_at, result.last_event)
                retry_delay = max(MIN_RETRY_DELAY_S, result.retry_after_s or 0.0)
                if loop.time() + retry_delay >= deadline:
                    break
                await asyncio.sleep(retry_delay)
        finally:
            self.in_flight -= 1
            request_result.took_s = loop.time() - request_result.at
            self.results.append(request_result)
        return request_result

    @staticmethod
    def _can_retry(kind: RequestKind, result: Attempt) -> bool:
        """Return whether a retry is permitted after this attempt."""
        if result.status in words.NOT_RUN_STATUSES or result.failure == "connect":
            return True
        return kind.repeatable and result.status in (0, 200, 500, 502, 504)

    async def _send_attempt(
        self, kind: RequestKind, front: str, prefix: int, deadline: float, resume_at: int
    ) -> Attempt:
        """Send one attempt on a new connection."""
        left = deadline - asyncio.get_running_loop().time()
        self._number += 1
        result = Attempt(f"{self._number:016x}")
        headers = self._headers(kind, result.request_id, prefix, left, resume_at)
        timeout = aiohttp.ClientTimeout(total=max(0.05, left), sock_connect=CONNECT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
                session.post(
                    f"http://{front}{kind.path}", headers=headers, data=b"x" * kind.input_tokens
                ) as response,
            ):
                await self._read(kind, result, response, resume_at)
        except aiohttp.ClientConnectorError:
            result.failure = "connect"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result.failure = result.failure or type(error).__name__
        return result

    @staticmethod
    def _headers(kind: RequestKind, request_id: str, prefix: int, left: float, resume_at: int) -> dict[str, str]:
        """Return the headers of a request."""
        headers = {"Host": kind.host, words.REQUEST_ID: request_id, words.DEADLINE_MS: str(max(1, int(left * 1e3)))}
        if kind.key:
            headers[words.CREDENTIAL] = kind.key
        if kind.streaming:
            shared = kind.input_tokens // 2
            headers[words.MODEL] = "m"
            headers[words.TOKEN_COUNT] = f"{kind.input_tokens},{kind.output_tokens}"
            headers[words.PROMPT_PREFIX] = f"{prefix:04x}:{shared},{request_id[-8:]}:{kind.input_tokens - shared}"
        if resume_at:
            headers[words.LAST_EVENT_ID] = str(resume_at)
        return headers

    @staticmethod
    async def _read(kind: RequestKind, result: Attempt, response: aiohttp.ClientResponse, resume_at: int) -> None:
        """Read a response and record whether it is complete and belongs to the request."""
        result.status = response.status
        retry_delay = response.headers.get(words.RETRY_AFTER)
        result.retry_after_s = float(retry_delay) if retry_delay else None
        if response.status != 200:
            await response.read()
            return
        if words.STAMP not in response.headers:
            result.failure = "response lacks the server stamp"
        elif response.headers.get(words.REQUEST_ID) != result.request_id:
            result.failure = "response belongs to another request"
        elif not kind.streaming:
            is_complete = await response.read() == words.plain_body(kind.path, b"x" * kind.input_tokens)
            result.is_complete, result.failure = (
                is_complete,
                "" if is_complete else "response body differs from the server's",
            )
        else:
            await _read_events(kind, result, response, resume_at)


async def _read_events(kind: RequestKind, result: Attempt, response: aiohttp.ClientResponse, resume_at: int) -> None:
    """Read an event stream and check that every event arrives exactly once and in order."""
    count, expected, buffer = words.event_count(kind.output_tokens), resume_at + 1, b""
    async for data in response.content.iter_any():
        buffer += data
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            if event + b"\n\n" != words.event(kind.path, expected, count):
                result.failure = f"event {expected} is missing, repeated or altered"
                return
            result.last_event = expected
            expected += 1
    result.is_complete = not buffer and expected > count
    if not result.is_complete:
        result.failure = "stream ended before its last event"

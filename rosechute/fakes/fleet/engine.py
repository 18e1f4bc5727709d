"""A fake model server with slots, a queue, event streams and plain responses, which records its requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from aiohttp import web

from rosechute.fakes.fleet import words

MAX_CACHED_PARTS = 64
"""Maximum number of prompt parts in the prefix cache of a server."""


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """The times that a server takes in seconds: per prompt token, per event, and per plain request."""

    prompt_token: float = 2e-5
    event: float = 0.02
    plain: float = 0.02


@dataclass(slots=True)
class EngineRequest:
    """One request whose processing has begun."""

    request_id: str
    path: str
    tenant: str
    at: float
    resumed_at: int = 0


@dataclass(slots=True)
class EngineStats:
    """Counters and requests that a server has recorded."""

    started_requests: list[EngineRequest] = field(default_factory=list)
    rejected_full: int = 0
    rejected_instance: int = 0
    received_keys: int = 0
    """Requests that still carried a client's API key."""
    uncached_tokens: int = 0


class Engine:
    """A fake server at a loopback address, which answers with event streams if `streaming` is set."""

    def __init__(
        self, instance_id: str, streaming: bool, slots: int = 16, queue: int = 16, speed: ServiceTimes | None = None
    ) -> None:
        self.id, self.streaming, self.slots, self.queue = instance_id, streaming, slots, queue
        self.service_times = speed or ServiceTimes()
        self.stats = EngineStats()
        self.draining = False
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._cached_parts: OrderedDict[str, None] = OrderedDict()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, by default on any free port, and return the address."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_get("/health", self._health)
        application.router.add_route("*", "/{path:.*}", self._accept)
        self._runner = web.AppRunner(application, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.draining else 200, headers={words.INSTANCE_ID: self.id})

    async def _accept(self, request: web.Request) -> web.StreamResponse:
        """Reject a request for another server or beyond the queue limit; otherwise run it when a slot is free."""
        echoed_headers = {words.REQUEST_ID: request.headers.get(words.REQUEST_ID, "")}
        if request.headers.get(words.EXPECT_INSTANCE, self.id) != self.id:
            self.stats.rejected_instance += 1
            return web.Response(status=421, headers=echoed_headers | {words.INSTANCE_ID: self.id})
        if not echoed_headers[words.REQUEST_ID]:
            return web.Response(status=400, headers=echoed_headers | {words.NOT_EXECUTED: "1"})
        if self._free.locked() and self._waiting >= self.queue:
            self.stats.rejected_full += 1
            return web.Response(status=503, headers=echoed_headers | {words.NOT_EXECUTED: "1"})
        body = await request.read()
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._process(request, body, echoed_headers)
        finally:
            self._free.release()

    async def _process(self, request: web.Request, body: bytes, headers: dict[str, str]) -> web.StreamResponse:
        """Process a request and return its response."""
        resumed_at = int(request.headers.get(words.LAST_EVENT_ID, "0") or 0) if self.streaming else 0
        self.stats.started_requests.append(
            EngineRequest(
                headers[words.REQUEST_ID],
                request.path,
                request.headers.get(words.TENANT, ""),
                asyncio.get_running_loop().time(),
                resumed_at,
            )
        )
        self.stats.received_keys += words.CREDENTIAL in request.headers
        headers[words.STAMP] = f"{self.id}.{len(self.stats.started_requests)}"
        if not self.streaming:
            await asyncio.sleep(self.service_times.plain)
            return web.Response(body=words.plain_body(request.path, body), headers=headers)
        await asyncio.sleep(self._read_prompt(request) * self.service_times.prompt_token)
        response = web.StreamResponse(headers=headers | {"Content-Type": words.EVENT_STREAM})
        await response.prepare(request)
        _, _, output = request.headers.get(words.TOKEN_COUNT, "0,50").partition(",")
        count = words.event_count(int(output))
        for number in range(resumed_at + 1, count + 1):
            if number > resumed_at + 1:
                await asyncio.sleep(self.service_times.event)
            await response.write(words.event(request.path, number, count))
        await response.write_eof()
        return response

    def _read_prompt(self, request: web.Request) -> int:
        """Return the number of prompt tokens that are not cached: those from the first part that is not cached on."""
        parts = [part.partition(":") for part in request.headers.get(words.PROMPT_PREFIX, "").split(",") if part]
        uncached = 0
        for name, _, tokens in parts:
            if uncached or name not in self._cached_parts:
                uncached += int(tokens)
            self._cached_parts[name] = None
            self._cached_parts.move_to_end(name)
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)
        self.stats.uncached_tokens += uncached
        return uncached

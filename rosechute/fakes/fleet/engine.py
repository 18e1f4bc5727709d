"""A model server: slots and a queue, streams of events, plain answers, and all that a judge asks of it later."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from aiohttp import web

from rosechute.fakes.fleet import words

KEPT_PARTS = 64
"""How many parts of prompts a server keeps."""


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast a server works, in seconds."""

    token_read: float = 2e-5
    event: float = 0.02
    plain: float = 0.02


@dataclass(slots=True)
class Run:
    """One request that a server has begun to work on."""

    request_id: str
    path: str
    tenant: str
    at: float
    resumed_at: int = 0


@dataclass(slots=True)
class Seen:
    """What a server has seen."""

    runs: list[Run] = field(default_factory=list)
    full: int = 0
    wrong_instance: int = 0
    keys: int = 0
    """Requests that still carried a client's key."""
    tokens_read: int = 0


class Engine:
    """One server of a service at an address of loopback. `streaming` tells whether it answers with events."""

    def __init__(
        self, instance_id: str, streaming: bool, slots: int = 16, queue: int = 16, speed: Speed | None = None
    ) -> None:
        self.id, self.streaming, self.slots, self.queue = instance_id, streaming, slots, queue
        self.speed = speed or Speed()
        self.seen = Seen()
        self.draining = False
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._parts: OrderedDict[str, None] = OrderedDict()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        application = web.Application(client_max_size=1 << 24)
        application.router.add_get("/health", self._health)
        application.router.add_route("*", "/{path:.*}", self._take)
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

    async def _take(self, request: web.Request) -> web.StreamResponse:
        """Refuse a request that is not for this server or finds it full; else run it once there is a slot."""
        echo = {words.REQUEST_ID: request.headers.get(words.REQUEST_ID, "")}
        if request.headers.get(words.EXPECT_INSTANCE, self.id) != self.id:
            self.seen.wrong_instance += 1
            return web.Response(status=421, headers=echo | {words.INSTANCE_ID: self.id})
        if not echo[words.REQUEST_ID]:
            return web.Response(status=400, headers=echo | {words.NOT_EXECUTED: "1"})
        if self._free.locked() and self._waiting >= self.queue:
            self.seen.full += 1
            return web.Response(status=503, headers=echo | {words.NOT_EXECUTED: "1"})
        body = await request.read()
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, body, echo)
        finally:
            self._free.release()

    async def _run(self, request: web.Request, body: bytes, headers: dict[str, str]) -> web.StreamResponse:
        """Work on a request."""
        resumed_at = int(request.headers.get(words.LAST_EVENT_ID, "0") or 0) if self.streaming else 0
        self.seen.runs.append(
            Run(
                headers[words.REQUEST_ID],
                request.path,
                request.headers.get(words.TENANT, ""),
                asyncio.get_running_loop().time(),
                resumed_at,
            )
        )
        self.seen.keys += words.CREDENTIAL in request.headers
        headers[words.STAMP] = f"{self.id}.{len(self.seen.runs)}"
        if not self.streaming:
            await asyncio.sleep(self.speed.plain)
            return web.Response(body=words.plain_body(request.path, body), headers=headers)
        await asyncio.sleep(self._read_prompt(request) * self.speed.token_read)
        answer = web.StreamResponse(headers=headers | {"Content-Type": words.EVENT_STREAM})
        await answer.prepare(request)
        _, _, output = request.headers.get(words.TOKEN_COUNT, "0,50").partition(",")
        count = words.event_count(int(output))
        for number in range(resumed_at + 1, count + 1):
            if number > resumed_at + 1:
                await asyncio.sleep(self.speed.event)
            await answer.write(words.event(request.path, number, count))
        await answer.write_eof()
        return answer

    def _read_prompt(self, request: web.Request) -> int:
        """How many tokens of the prompt have to be read: those of the first part that is not kept, and all after."""
        parts = [part.partition(":") for part in request.headers.get(words.PROMPT_PREFIX, "").split(",") if part]
        read = 0
        for name, _, tokens in parts:
            if read or name not in self._parts:
                read += int(tokens)
            self._parts[name] = None
            self._parts.move_to_end(name)
        while len(self._parts) > KEPT_PARTS:
            self._parts.popitem(last=False)
        self.seen.tokens_read += read
        return read

"""Sidecars on a clock of their own: a real event loop whose time moves only when nothing is left to do at it.

Everything is real but time and the network: `Sidecar`, its module, `Discovery`, asyncio's tasks and time limits.
`Loop.create_connection` leads to a scripted `Place` or nowhere, so a run is a function of its inputs.
"""

from __future__ import annotations

import asyncio
import functools
import json
import selectors
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from backend import line, listing, settings

from rosechute.load_balancing import Settings
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.calls import Core
from rosechute.sidecar import sidecar as process
from rosechute.sidecar.config import Config

START = 1_000_000_000_000_000_000  # Unix time at the loop's 0, in nanoseconds
HOST = "10.9.0.1"  # no address of this machine: what isn't scripted can't come up
HOW = {"ask": "subscribe", "push": "automatic"}  # the settings' words
SPAN = 1e-6  # a timer is due from so long before its time on, as floating point can't tell


class Jump(selectors.DefaultSelector):
    """Waits by moving the clock on."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing will ever happen"
            self.now += max(0.0, timeout)
        return ready


class Loop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, with a scripted network."""

    def __init__(self) -> None:
        self._jump = Jump()
        super().__init__(self._jump)
        self._clock_resolution = SPAN
        self.places: dict[int, Place] = {}  # by port
        self.pair = socket.socketpair()  # what connections poll; nothing ever comes there
        self.open = 0

    def time(self) -> float:
        return self._jump.now

    def clock(self) -> int:
        return START + int(self._jump.now * 1e9)

    async def create_connection(self, made: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        place = self.places.get(port)
        if place is None:
            raise ConnectionRefusedError
        mood = await place.connect()
        protocol = made()
        wire = Wire(self, protocol, place, mood)
        protocol.connection_made(wire)
        return wire, protocol

    def close(self) -> None:
        for end in self.pair:
            end.close()
        super().close()


class Wire(asyncio.Transport):
    """A connection to a scripted place."""

    def __init__(self, loop: Loop, protocol: Any, place: Place, mood: str) -> None:
        super().__init__({"socket": loop.pair[0]})
        self._loop, self._protocol, self._place = loop, protocol, place
        self.mood: str | None = mood  # what becomes of its first call
        self._closing = False
        self.answering: asyncio.Task[None] | None = None
        loop.open += 1

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.answering = self._loop.create_task(self._place.call(self, data))

    def tell(self, status: int, body: bytes = b"") -> None:
        if not self._closing:
            self._protocol.data_received(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def abort(self) -> None:
        if not self._closing:
            self._closing = True
            self._loop.open -= 1
            if self.answering is not None:
                self.answering.cancel()
            self._loop.call_soon(self._protocol.connection_lost, None)

    reset = close = abort

    def is_closing(self) -> bool:
        return self._closing

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class Place:
    """A discovery. `mood(call)` says what becomes of each call; the list changes with `change`.

    - "up": answered as the protocol says, after `lag` seconds
    - "refused", "late": its connect is refused, or never comes up
    - "503", "reset", "silent": its connect comes up, and the call ends in that way, or in none
    """

    def __init__(self, loop: Loop, port: int, index: int = 1, lag: float = 0.001) -> None:
        self.loop, self.port, self.index, self.lag = loop, port, index, lag
        self.state = "SERVING"
        self.mood: Callable[[int], str] = lambda call: "up"
        self.calls: list[tuple[float, str]] = []  # when, and what became of it
        self.watching: set[Wire] = set()
        self._news = asyncio.Event()
        loop.places[port] = self

    def fail(self, kind: str) -> None:
        """All calls fail from now on, and the watches that are on."""
        self.mood = lambda call: kind
        if kind in ("refused", "503", "reset"):
            for wire in list(self.watching):
                wire.reset()
        for wire in list(self.watching):
            if wire.answering is not None:
                wire.answering.cancel()
        self.watching.clear()

    def change(self) -> None:
        """The server drains."""
        self.state, self.index = "DRAINING", self.index + 1
        news, self._news = self._news, asyncio.Event()
        news.set()

    def _next(self) -> str:
        mood = self.mood(len(self.calls))
        self.calls.append((self.loop.time(), mood))
        return mood

    async def connect(self) -> str:
        """Let one come up, or not; what becomes of the call that it is for."""
        mood = self._next()
        if mood in ("refused", "late"):
            await asyncio.sleep(3600 if mood == "late" else 0)
            raise ConnectionRefusedError
        return mood

    async def call(self, wire: Wire, data: bytes) -> None:
        mood, wire.mood = wire.mood or self._next(), None
        if mood == "503":
            wire.tell(503)
        elif mood in ("reset", "refused"):
            wire.reset()
        elif mood == "up":
            await self._answer(wire, parse_qs(urlsplit(data.split(b" ")[1].decode()).query))

    async def _answer(self, wire: Wire, asked: dict[str, list[str]]) -> None:
        await asyncio.sleep(self.lag)
        after, wait = int(asked.get("after", ["-1"])[0]), int(asked.get("wait_ms", ["0"])[0]) / 1e3
        if wait and after >= self.index:
            self.watching.add(wire)
            try:
                async with asyncio.timeout(wait):
                    await self._news.wait()
            except TimeoutError:
                pass
            finally:
                self.watching.discard(wire)
        lines = [line("s1", 1, status=self.state)] if after < self.index else []
        wire.tell(200, json.dumps(listing(*lines, index=self.index, snapshot=after < 0)).encode())


class Busy(Place):
    """Handles calls in turn, `per_s` of them, those that were given up as well; one that waited too long gets 503."""

    def __init__(self, loop: Loop, port: int, per_s: float, patience_s: float) -> None:
        super().__init__(loop, port)
        self._per_s, self._patience_s, self._free_at = per_s, patience_s, 0.0

    async def _answer(self, wire: Wire, asked: dict[str, list[str]]) -> None:
        now = self.loop.time()
        start = max(now, self._free_at)
        if start - now > self._patience_s:
            await asyncio.sleep(self._patience_s)
            wire.tell(503)
            return
        self._free_at = start + 1 / self._per_s
        await asyncio.sleep(self._free_at - now)
        await super()._answer(wire, asked)


def config(port: int, mode: str, seed: int = 1, **invariants: int) -> Config:
    """`mode` is one of HOW."""
    raw = settings(discovery=HOW[mode], invariants=invariants)
    return Config(
        "n0", Address("127.0.0.1", 0), Address(HOST, port), seed, 1024, listing(line("s1", 1)), Settings.parse(raw)
    )


def sidecar(loop: Loop, made: Config) -> process.Sidecar:
    """One that does not listen."""
    core, process.Core = process.Core, functools.partial(Core, clock=loop.clock, monotonic=loop.time)  # type: ignore
    try:
        return process.Sidecar(made, loop)
    finally:
        process.Core = core  # type: ignore[misc]


def told(made: process.Sidecar) -> bool:
    """Whether it knows of the change."""
    return made._lines["s1"].entry.lifecycle == "draining"


async def by(loop: Loop, until: float, state: Callable[[], object]) -> bool:
    """Look every 10 ms until `state()` is true or the time has come."""
    while not state() and loop.time() < until:
        await asyncio.sleep(0.01)
    return bool(state())


def play(scene: Callable[[Loop], Awaitable[Any]]) -> Any:
    """Run a scene in virtual time, from 0."""
    loop = Loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scene(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()

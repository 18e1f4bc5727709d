"""Sidecars in virtual time: a real event loop whose clock advances only when no callback is ready.

Only time and the network are simulated; `Sidecar`, its module, `Discovery` and asyncio's tasks and timeouts are real.
`VirtualLoop.create_connection` connects to a `ScriptedDiscovery` or fails, so a run depends only on its inputs.
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

START = 1_000_000_000_000_000_000  # Unix time at loop time 0, in nanoseconds
HOST = "10.9.0.1"  # not an address of this machine: unscripted connections fail
DISCOVERY_SETTINGS = {"ask": "subscribe", "push": "automatic"}  # values of the setting `discovery`
TIMER_RESOLUTION_S = 1e-6  # timers may fire this much early, because of floating-point rounding


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances the clock instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "deadlock: no timer is pending"
            self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time with a scripted network."""

    def __init__(self) -> None:
        self._virtual_selector = VirtualSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = TIMER_RESOLUTION_S
        self.discoveries: dict[int, ScriptedDiscovery] = {}  # by port
        self.pair = socket.socketpair()  # socket for the connections; it never receives data
        self.open = 0

    def time(self) -> float:
        return self._virtual_selector.now

    def clock(self) -> int:
        return START + int(self._virtual_selector.now * 1e9)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        scripted = self.discoveries.get(port)
        if scripted is None:
            raise ConnectionRefusedError
        outcome = await scripted.connect()
        protocol = protocol_factory()
        transport = ScriptedTransport(self, protocol, scripted, outcome)
        protocol.connection_made(transport)
        return transport, protocol

    def close(self) -> None:
        for end in self.pair:
            end.close()
        super().close()


class ScriptedTransport(asyncio.Transport):
    """Connection to a scripted discovery."""

    def __init__(self, loop: VirtualLoop, protocol: Any, scripted: ScriptedDiscovery, outcome: str) -> None:
        super().__init__({"socket": loop.pair[0]})
        self._loop, self._protocol, self._discovery = loop, protocol, scripted
        self.outcome: str | None = outcome  # outcome of its first call
        self._closing = False
        self.answering: asyncio.Task[None] | None = None
        loop.open += 1

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.answering = self._loop.create_task(self._discovery.call(self, data))

    def respond(self, status: int, body: bytes = b"") -> None:
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


class ScriptedDiscovery:
    """Discovery with scripted outcomes, which `outcome_of(call)` returns; `change` changes the list.

    - "up": answered according to the protocol, after `lag` seconds
    - "refused", "late": the connection is refused, or never established
    - "503", "reset", "silent": connected, then answered with 503, reset, or not answered
    """

    def __init__(self, loop: VirtualLoop, port: int, index: int = 1, lag: float = 0.001) -> None:
        self.loop, self.port, self.index, self.lag = loop, port, index, lag
        self.state = "SERVING"
        self.outcome_of: Callable[[int], str] = lambda call: "up"
        self.calls: list[tuple[float, str]] = []  # time and outcome
        self.watching: set[ScriptedTransport] = set()
        self._changed = asyncio.Event()
        loop.discoveries[port] = self

    def fail(self, kind: str) -> None:
        """Let all further calls and the running watches fail."""
        self.outcome_of = lambda call: kind
        if kind in ("refused", "503", "reset"):
            for transport in list(self.watching):
                transport.reset()
        for transport in list(self.watching):
            if transport.answering is not None:
                transport.answering.cancel()
        self.watching.clear()

    def change(self) -> None:
        """Change the list: the server drains."""
        self.state, self.index = "DRAINING", self.index + 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _next_outcome(self) -> str:
        outcome = self.outcome_of(len(self.calls))
        self.calls.append((self.loop.time(), outcome))
        return outcome

    async def connect(self) -> str:
        """Accept or refuse a connection; return the outcome of its first call."""
        outcome = self._next_outcome()
        if outcome in ("refused", "late"):
            await asyncio.sleep(3600 if outcome == "late" else 0)
            raise ConnectionRefusedError
        return outcome

    async def call(self, transport: ScriptedTransport, data: bytes) -> None:
        outcome, transport.outcome = transport.outcome or self._next_outcome(), None
        if outcome == "503":
            transport.respond(503)
        elif outcome in ("reset", "refused"):
            transport.reset()
        elif outcome == "up":
            await self._answer(transport, parse_qs(urlsplit(data.split(b" ")[1].decode()).query))

    async def _answer(self, transport: ScriptedTransport, query: dict[str, list[str]]) -> None:
        await asyncio.sleep(self.lag)
        after, wait = int(query.get("after", ["-1"])[0]), int(query.get("wait_ms", ["0"])[0]) / 1e3
        if wait and after >= self.index:
            self.watching.add(transport)
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass
            finally:
                self.watching.discard(transport)
        lines = [line("s1", 1, status=self.state)] if after < self.index else []
        transport.respond(200, json.dumps(listing(*lines, index=self.index, snapshot=after < 0)).encode())


class SerialDiscovery(ScriptedDiscovery):
    """Discovery that handles `per_s` calls per second in order, also cancelled ones; long waits end with 503."""

    def __init__(self, loop: VirtualLoop, port: int, per_s: float, patience_s: float) -> None:
        super().__init__(loop, port)
        self._per_s, self._patience_s, self._free_at = per_s, patience_s, 0.0

    async def _answer(self, transport: ScriptedTransport, query: dict[str, list[str]]) -> None:
        now = self.loop.time()
        start = max(now, self._free_at)
        if start - now > self._patience_s:
            await asyncio.sleep(self._patience_s)
            transport.respond(503)
            return
        self._free_at = start + 1 / self._per_s
        await asyncio.sleep(self._free_at - now)
        await super()._answer(transport, query)


def config(port: int, mode: str, seed: int = 1, **invariants: int) -> Config:
    """Return the configuration of a sidecar; `mode` is a key of DISCOVERY_SETTINGS."""
    raw = settings(discovery=DISCOVERY_SETTINGS[mode], invariants=invariants)
    return Config(
        "n0", Address("127.0.0.1", 0), Address(HOST, port), seed, 1024, listing(line("s1", 1)), Settings.parse(raw)
    )


def sidecar(loop: VirtualLoop, instance: Config) -> process.Sidecar:
    """Return a sidecar that does not listen."""
    core, process.Core = process.Core, functools.partial(Core, clock=loop.clock, monotonic=loop.time)  # type: ignore
    try:
        return process.Sidecar(instance, loop)
    finally:
        process.Core = core  # type: ignore[misc]


def has_change(instance: process.Sidecar) -> bool:
    """Return whether the sidecar has received the change."""
    return instance._lines["s1"].entry.lifecycle == "draining"


async def wait_until(loop: VirtualLoop, until: float, state: Callable[[], object]) -> bool:
    """Poll `state()` every 10 ms until it is true or loop time `until` is reached; return the last result."""
    while not state() and loop.time() < until:
        await asyncio.sleep(0.01)
    return bool(state())


def play(scenario: Callable[[VirtualLoop], Awaitable[Any]]) -> Any:
    """Run a scenario in virtual time, from 0."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()

"""Scripted peers that force an order of events over real connections: by barriers, never by sleeps and luck.

- `Gated`: a server that tells when a request has come, and answers each when it is let.
- `Slow`: a listening socket whose connections come up only when it is let.
- `Raw`: a client that leaves by a close or a reset, whatever it has sent or not read.
- `until`: wait for a state of the sidecar that nothing else tells of.
- `long_turn`: the loop stands still while things happen, and reads of them afterwards.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import struct
import time
from collections.abc import Callable

from backend import LIMIT_S, Call, Conversation, Server

NO_LINGER = struct.pack("ii", 1, 0)
NUMBERS = itertools.count(1)


async def until(state: Callable[[], object]) -> None:
    """Return once `state()` is true: looked at in each turn of the loop, which goes on meanwhile."""
    async with asyncio.timeout(LIMIT_S):
        while not state():
            await asyncio.sleep(0)


def request(cls: str = "free", timeout: float = 5, rid: str = "", body: bytes | None = None) -> bytes:
    """The bytes of one request; its id is new."""
    method = "GET" if cls == "free" else "POST"
    lines = [
        f"{method} /{cls} HTTP/1.1",
        "Host: app",
        f"X-Request-ID: {rid or f'peer-{next(NUMBERS)}'}",
        f"X-Timeout: {timeout}",
    ]
    if cls == "guarded":
        lines.append("Idempotency-Key: k")
    if method == "POST":
        lines.append(f"Content-Length: {len(body or b'')}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Gated(Server):
    """A server: `came` counts requests, each is answered with its own id once `let` allows one more."""

    def __init__(self) -> None:
        super().__init__(self._play)
        self.came, self.let = asyncio.Semaphore(0), asyncio.Semaphore(0)
        self.talks: list[tuple[Conversation, asyncio.Event]] = []  # one for each request

    async def _play(self, talk: Conversation, call: Call) -> None:
        self.came.release()
        answered = asyncio.Event()
        self.talks.append((talk, answered))
        ways = [asyncio.ensure_future(self.let.acquire()), asyncio.ensure_future(answered.wait())]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
        if not answered.is_set():
            await talk.answer(200, call.headers["x-request-id"].encode())

    def answer_now(self, at: int, status: int = 200, *headers: str, body: bytes = b"") -> None:
        """Answer the request that came in this place, with no turn of the loop in between."""
        head = "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers])
        talk, answered = self.talks[at]
        answered.set()
        os.write(talk.writer.get_extra_info("socket").fileno(), head.encode() + b"\r\n\r\n" + body)

    def ids(self) -> list[str]:
        """The ids of the requests that have come."""
        return [call.headers.get("x-request-id", "") for call in self.calls]


class Slow:
    """A server's address where connects stand still: its queue is full until `open_up`.

    Linux drops the first packet of a connection while the queue is full, and sends it again a second later, so
    a connect that has begun comes up after a barrier of the test's and not before.
    """

    def __init__(self) -> None:
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.port = self.listening.getsockname()[1]
        self.fill = socket.create_connection(("127.0.0.1", self.port))

    def open_now(self) -> socket.socket:
        """`open_up`, with no turn of the loop in between: up to a second."""
        self.listening.setblocking(True)
        self.listening.settimeout(LIMIT_S)
        self.listening.accept()[0].close()
        return self.listening.accept()[0]

    async def open_up(self) -> socket.socket:
        """Take the one that filled the queue, then the one that waited; that connection."""
        loop = asyncio.get_running_loop()
        self.listening.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            filler, _ = await loop.sock_accept(self.listening)
            filler.close()
            made, _ = await loop.sock_accept(self.listening)
        return made

    def close(self) -> None:
        self.fill.close()
        self.listening.close()


class Raw:
    """A client on a plain socket."""

    def __init__(self, port: int, receive: int = 0) -> None:
        self.sock = socket.socket()
        if receive:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        self.sock.setblocking(False)
        self.port = port

    async def connect(self) -> Raw:
        await asyncio.get_running_loop().sock_connect(self.sock, ("127.0.0.1", self.port))
        return self

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def ask(self, cls: str = "free", timeout: float = 5, rid: str = "") -> bytes:
        """Send one request; its answer, which has a short body."""
        await self.send(request(cls, timeout, rid))
        return await self.answer()

    async def answer(self) -> bytes:
        """One answer with a short body."""
        async with asyncio.timeout(LIMIT_S):
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)

    async def read(self) -> bytes:
        """All that comes until the other side ends; a reset counts as an end."""
        data = b""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(LIMIT_S):
            try:
                while piece := await loop.sock_recv(self.sock, 65536):
                    data += piece
            except ConnectionError:
                pass
        return data

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.sock.close()

    def leave(self, how: str) -> None:
        """`close` or `reset`."""
        getattr(self, how)()


async def long_turn(*steps: Callable[[], object], seconds: float = 0.15) -> None:
    """Take the steps in one turn of the loop, which then stands still for so long.

    What they bring about is read after it, in their order, and timers that are due by then go before all of it:
    the turn is one that reads from a socket.
    """
    loop = asyncio.get_running_loop()
    here, there = socket.socketpair()
    done = loop.create_future()

    def turn() -> None:
        loop.remove_reader(here)
        for step in steps:
            step()
        time.sleep(seconds)
        done.set_result(None)

    loop.add_reader(here, turn)
    there.send(b"x")
    await done
    here.close()
    there.close()

"""Scripted peers that force an order of events over real connections, by barriers instead of sleeps.

- `GatedServer`: a server that signals each request and responds when it is permitted.
- `SlowConnectServer`: a listening socket whose connections open only when it accepts them.
- `Raw`: a client that can close or reset its connection at any time.
- `until`: wait for a state of the sidecar that no event reports.
- `block_loop`: block the event loop while things happen that it reads afterwards.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NUMBERS = itertools.count(1)


async def until(state: Callable[[], object]) -> None:
    """Return once `state()` is true; it is polled in each turn of the event loop."""
    async with asyncio.timeout(LIMIT_S):
        while not state():
            await asyncio.sleep(0)


def request(cls: str = "free", timeout: float = 5, rid: str = "", body: bytes | None = None) -> bytes:
    """Return an encoded request, with a new id by default."""
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


class GatedServer(Server):
    """A server whose responses are gated.

    `arrivals` counts requests. Each is answered with its own id once `permits` allows one more response.
    """

    def __init__(self) -> None:
        super().__init__(self._respond)
        self.arrivals, self.permits = asyncio.Semaphore(0), asyncio.Semaphore(0)
        self.conversations: list[tuple[Conversation, asyncio.Event]] = []  # one for each request

    async def _respond(self, conversation: Conversation, call: Call) -> None:
        self.arrivals.release()
        answered = asyncio.Event()
        self.conversations.append((conversation, answered))
        waiters = [asyncio.ensure_future(self.permits.acquire()), asyncio.ensure_future(answered.wait())]
        try:
            await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in waiters:
                waiter.cancel()
        if not answered.is_set():
            await conversation.answer(200, call.headers["x-request-id"].encode())

    def answer_now(self, at: int, status: int = 200, *headers: str, body: bytes = b"") -> None:
        """Answer the request with this index at once, without a turn of the event loop in between."""
        head = "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers])
        conversation, answered = self.conversations[at]
        answered.set()
        os.write(conversation.writer.get_extra_info("socket").fileno(), head.encode() + b"\r\n\r\n" + body)

    def ids(self) -> list[str]:
        """Return the ids of the received requests."""
        return [call.headers.get("x-request-id", "") for call in self.calls]


class SlowConnectServer:
    """A server's address where connects block: its listen queue is full until `accept_waiting`.

    Linux drops the first packet of a connection while the queue is full, and retransmits it a second later. So a
    connect that has begun completes after a barrier of the test and not before.
    """

    def __init__(self) -> None:
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.port = self.listening.getsockname()[1]
        self.fill = socket.create_connection(("127.0.0.1", self.port))

    def accept_now(self) -> socket.socket:
        """Do the same as `accept_waiting` without a turn of the event loop in between; takes up to a second."""
        self.listening.setblocking(True)
        self.listening.settimeout(LIMIT_S)
        self.listening.accept()[0].close()
        return self.listening.accept()[0]

    async def accept_waiting(self) -> socket.socket:
        """Accept the connection that filled the queue, then the one that waited; return the latter."""
        loop = asyncio.get_running_loop()
        self.listening.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            filler, _ = await loop.sock_accept(self.listening)
            filler.close()
            connection, _ = await loop.sock_accept(self.listening)
        return connection

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
        """Send one request; return its response, which has a short body."""
        await self.send(request(cls, timeout, rid))
        return await self.answer()

    async def answer(self) -> bytes:
        """Return one response with a short body."""
        async with asyncio.timeout(LIMIT_S):
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)

    async def read(self) -> bytes:
        """Return all data until the other side closes; a reset counts as a close."""
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
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()

    def disconnect(self, how: str) -> None:
        """Disconnect by `close` or `reset`."""
        getattr(self, how)()


async def block_loop(*steps: Callable[[], object], seconds: float = 0.15) -> None:
    """Run the steps in one turn of the event loop, then block it for some seconds.

    The effects of the steps are read after that, in their order. Timers that are due by then run before that,
    because this turn is one that reads from a socket.
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

"""Clients that use one connection for as long as it is open, and the end of each of their requests."""

from __future__ import annotations

import asyncio
import enum
import random
from dataclasses import dataclass

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.scene import HOST, OTHER_KEY

DEADLINE_S = 8.0
CONNECT_TIMEOUT_S = 2.0
PAUSE_S = 0.1  # longest pause of a client between two requests
PATH = "/confirm/7"


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection ended before the answer was complete
    SILENT = "silent"  # there was no answer by the deadline


@dataclass(slots=True)
class SentRequest:
    """One request that was written whole. Times are the loop's."""

    request_id: str
    edge: str
    sent_at: float
    ended_at: float = 0.0
    ending: Ending = Ending.SILENT
    status: int = 0
    is_right: bool = True
    """Whether the answer is the server's, if it is a success."""


class KeptConnectionClient:
    """Sends requests to one edge, one after the other, on the same connection until it ends; then it connects again.

    Args:
        name: Prefix of its request ids.
        edge: Name of the edge.
        address: Host and port of the edge's front.
        seed: Seed of its pauses.
    """

    def __init__(self, name: str, edge: str, address: tuple[str, int], seed: int) -> None:
        self.sent: list[SentRequest] = []
        self._name, self._edge, self._address = name, edge, address
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                while await self._request(reader, writer):
                    await asyncio.sleep(self._random.random() * PAUSE_S)
            finally:
                writer.transport.abort()

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request; return whether the connection can be used again."""
        loop = asyncio.get_running_loop()
        body = b"x" * self._random.choice((10, 400, 100_000))
        request = SentRequest(f"{self._name}-{len(self.sent)}", self._edge, loop.time())
        lines = (
            f"POST {PATH} HTTP/1.1",
            f"Host: {HOST}",
            f"{words.REQUEST_ID}: {request.request_id}",
            f"{words.CREDENTIAL}: {OTHER_KEY}",
            f"{words.DEADLINE_MS}: {int(DEADLINE_S * 1e3)}",
            f"Content-Length: {len(body)}",
        )
        self.sent.append(request)
        try:
            async with asyncio.timeout(DEADLINE_S):
                writer.write("\r\n".join((*lines, "", "")).encode() + body)
                await writer.drain()
                return await self._read(reader, request, len(body))
        except (OSError, asyncio.IncompleteReadError) as error:
            request.ending = Ending.SILENT if isinstance(error, TimeoutError) else Ending.CLOSED
            return False
        finally:
            request.ended_at = loop.time()

    async def _read(self, reader: asyncio.StreamReader, request: SentRequest, body_bytes: int) -> bool:
        """Read the answer; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        request.status, request.ending = status, Ending.ANSWERED
        if status == 200:
            request.is_right = body == words.plain_body(PATH, b"x" * body_bytes)
        if fields.get(words.RETRY_AFTER.lower()):
            await asyncio.sleep(min(1.0, float(fields[words.RETRY_AFTER.lower()])))
        return fields.get("connection") != "close"

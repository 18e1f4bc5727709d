"""A crowd: clients that send a script each, keep their connections open, and come back when they are closed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Sequence

CONNECT_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 3  # connections that a client makes one after the other
RETURN_DELAY_S = 0.1
QUIET_S = 1.0  # a crowd has settled when none of its clients has sent a byte for this long
SETTLE_TIMEOUT_S = 5.0
SEND_BYTES = 64 * 1024
POLL_S = 0.05

Script = Sequence[bytes]


class Crowd:
    """Clients that all send the same script.

    Args:
        address: Host and port.
        script: Pieces, sent one after the other.
        size: Number of clients.
        reads: Whether the clients read what they are sent.
    """

    def __init__(self, address: tuple[str, int], script: Script, size: int, reads: bool = True) -> None:
        self._address, self._script, self._size, self._reads = address, script, size, reads
        self._sent_bytes = 0
        self._clients: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Crowd:
        """Start the clients; return once they have sent what they could."""
        self._clients = [asyncio.create_task(self._run()) for _ in range(self._size)]
        loop = asyncio.get_running_loop()
        end = loop.time() + SETTLE_TIMEOUT_S
        seen, quiet_since = -1, loop.time()
        while loop.time() < min(end, quiet_since + QUIET_S):
            await asyncio.sleep(POLL_S)
            if self._sent_bytes != seen:
                seen, quiet_since = self._sent_bytes, loop.time()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close every connection."""
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)

    async def _run(self) -> None:
        for _ in range(MAX_CONNECTIONS):
            with socket.socket() as client, contextlib.suppress(OSError):
                await self._connect_and_send(client)
            await asyncio.sleep(RETURN_DELAY_S)

    async def _connect_and_send(self, client: socket.socket) -> None:
        """Send the script, then keep the connection open until the other side closes it."""
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(client, self._address)
        async with asyncio.TaskGroup() as group:
            sending = group.create_task(self._send(client))
            if self._reads:
                while await loop.sock_recv(client, SEND_BYTES):
                    pass
                sending.cancel()
            else:
                await asyncio.Event().wait()

    async def _send(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            for piece in self._script:
                view = memoryview(piece)
                while view:
                    await loop.sock_sendall(client, view[:SEND_BYTES])
                    self._sent_bytes += min(SEND_BYTES, len(view))
                    view = view[SEND_BYTES:]

"""A fake discovery service that serves a server list as snapshots and as changes by long polling."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

MAX_WAIT_S = 60.0
LISTEN_BACKLOG = 4096  # holds the connections of all clients that reconnect at the same time
SNAPSHOT = -1  # key of the snapshot among the cached responses; the others are keyed by client version


class FakeDiscovery:
    """A discovery service with one server list.

    `on_request` is called for each accepted request, and `on_response` with the entries of each response and whether
    they are a snapshot. While `is_refusing` returns true, requests are not answered and their connections are closed.

    A response is encoded once for all clients at the same version and lists only the changed entries, so that
    thousands of clients can watch the list.
    """

    def __init__(self) -> None:
        self.index = 1
        self._lines: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # name to version of its last change, oldest first
        self._responses: dict[int, tuple[list[dict[str, Any]], bytes]] = {}  # cached for the current version
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._waiting: dict[_Connection, int] = {}  # long polls and the versions their clients have
        self._is_notify_scheduled = False
        self.calls = self.bytes_in = self.bytes_out = 0
        self.port = 0
        self.on_request: Callable[[], None] = lambda: None
        self.on_response: Callable[[list[dict[str, Any]], bool], None] = lambda lines, is_snapshot: None
        self.is_refusing: Callable[[], bool] = lambda: False

    async def start(self, port: int = 0) -> int:
        """Listen on loopback, by default on any free port, and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port, backlog=LISTEN_BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def put(self, name: str, port: int, status: str = "SERVING", since_ms: int | None = None, **more: Any) -> None:
        """Add or update a server.

        `since_ms` is its start time in milliseconds since the Unix epoch; 0 means that it started long ago.
        """
        before = self._lines.get(name, {})
        self.index += 1
        self._lines[name] = {
            "name": name,
            "zone": "a",
            "type": "m",
            "group": 0,
            "weight": 1.0,
            **before,
            "address": f"127.0.0.1:{port}",
            "status": status,
            "since_ms": since_ms if since_ms is not None else before.get("since_ms", 0),
            **more,
        }
        self._changed.pop(name, None)
        self._changed[name] = self.index
        self._responses.clear()
        if self._waiting and not self._is_notify_scheduled:
            self._is_notify_scheduled = True
            asyncio.get_running_loop().call_soon(self._notify_waiting)

    def renumber(self) -> None:
        """Reset the version of the list and of every entry to 1.

        This imitates a restarted service that loads the list from elsewhere and has seen no change yet.
        """
        self.index = 1
        self._changed = dict.fromkeys(self._changed, 1)
        self._responses.clear()

    def started_now(self) -> int:
        """Return the `since_ms` of a server that starts now, in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def snapshot(self) -> dict[str, Any]:
        """Return a snapshot of the list, without deleted servers."""
        lines = [line for line in self._lines.values() if line["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": lines}

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def _notify_waiting(self) -> None:
        self._is_notify_scheduled = False
        for connection, after in list(self._waiting.items()):
            if self.index > after:
                connection.answer(self._response_after(after))

    def _response_after(self, after: int) -> bytes:
        """Return the encoded response for a client at version `after`, or the snapshot for `WHOLE`."""
        response = self._responses.get(after)
        if response is None:
            if after == SNAPSHOT:
                answer = self.snapshot()
            else:
                lines = []
                for name, index in reversed(self._changed.items()):
                    if index <= after:
                        break
                    lines.append(self._lines[name])
                lines.reverse()
                answer = {"index": self.index, "snapshot": False, "endpoints": lines}
            body = json.dumps(answer, separators=(",", ":")).encode()
            response = answer["endpoints"], b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            self._responses[after] = response
        self.on_response(response[0], after == SNAPSHOT)
        self.bytes_out += len(response[1])
        return response[1]

    def _handle_request(self, connection: _Connection, head: bytes) -> None:
        self.calls += 1
        if self.is_refusing():
            connection.close()
            return
        self.on_request()
        query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode("latin-1")).query)
        if "after" not in query:
            connection.answer(self._response_after(SNAPSHOT))
            return
        after = int(query["after"][0])
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", ["0"])[0]) / 1e3)
        if self.index > after or wait_s <= 0.0:
            connection.answer(self._response_after(after))
        else:
            self._waiting[connection] = after
            connection.timer = asyncio.get_running_loop().call_later(
                wait_s, lambda: connection.answer(self._response_after(after))
            )


class _Connection(asyncio.Protocol):
    """One client connection. Pipelined requests are answered in order; a long poll blocks those behind it."""

    def __init__(self, discovery: FakeDiscovery) -> None:
        self._discovery = discovery
        self._data = b""
        self._is_busy = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._discovery._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery._connections.discard(self)
        self._cancel_wait()

    def data_received(self, data: bytes) -> None:
        self._discovery.bytes_in += len(data)
        self._data += data
        self._process_next()

    def _process_next(self) -> None:
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if end and not self._is_busy and not self._transport.is_closing():
            self._data, self._is_busy = rest, True
            self._discovery._handle_request(self, head)

    def answer(self, data: bytes) -> None:
        """Answer the current request and process the next one."""
        self._cancel_wait()
        self._transport.write(data)
        self._is_busy = False
        if self._data:
            self._process_next()

    def close(self) -> None:
        """Close the connection without answering the current request."""
        self._cancel_wait()
        self._transport.close()

    def _cancel_wait(self) -> None:
        self._discovery._waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

"""Discovery: the list of servers, whole or as changes that a watch waits for."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

MOST_WAIT_S = 60.0


class StandInDiscovery:
    """One list, told to whoever asks.

    `asked` is called at each call, and `told` with the lines of each answer and whether they are the whole list;
    while `refuses` says so, calls are not answered and their connection is closed.
    """

    def __init__(self) -> None:
        self.index = 1
        self._lines: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.calls = 0
        self.port = 0
        self.asked: Callable[[], None] = lambda: None
        self.told: Callable[[list[dict[str, Any]], bool], None] = lambda lines, whole: None
        self.refuses: Callable[[], bool] = lambda: False

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Answer nobody any more."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def put(self, name: str, port: int, status: str = "SERVING", since_ms: int | None = None, **more: Any) -> None:
        """Add a server, or change one. `since_ms` is when it started, 0 for long ago."""
        before = self._lines.get(name, {})
        self.index += 1
        self._lines[name] = {
            "name": name, "zone": "a", "type": "m", "group": 0, "weight": 1.0,
            **before, "address": f"127.0.0.1:{port}", "status": status,
            "since_ms": since_ms if since_ms is not None else before.get("since_ms", 0), **more,
        }
        self._changed[name] = self.index
        self._news.set()
        self._news = asyncio.Event()

    def started_now(self) -> int:
        """What `since_ms` is of a server that starts at this moment."""
        return time.time_ns() // 1_000_000

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        lines = [line for line in self._lines.values() if line["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": lines}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self.refuses():
                    break
                self.asked()
                target = head.split(b" ", 2)[1].decode("latin-1")
                answer = await self._answer(target)
                body = json.dumps(answer).encode()
                self.told(answer["endpoints"], answer["snapshot"])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()
        self._tasks.discard(task)

    async def _answer(self, target: str) -> dict[str, Any]:
        asked = parse_qs(urlsplit(target).query)
        if "after" not in asked:
            return self.whole()
        after = int(asked["after"][0])
        wait_s = min(MOST_WAIT_S, int(asked.get("wait_ms", ["0"])[0]) / 1e3)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.index <= after:
                    await self._news.wait()
        lines = [self._lines[name] for name, index in self._changed.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": lines}

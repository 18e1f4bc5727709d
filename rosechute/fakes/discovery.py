"""Discovery: the list of servers, whole or as changes that a watch waits for."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

MOST_WAIT_S = 60.0
BACKLOG = 4096  # a crowd that comes back at once must not be lost in the listen queue
WHOLE = -1  # stands for the whole list among answers, which else go by the version they come after


class StandInDiscovery:
    """One list, told to whoever asks.

    `asked` is called at each call, and `told` with the lines of each answer and whether they are the whole list;
    while `refuses` says so, calls are not answered and their connection is closed. An answer is made once for all
    that ask for the same, and a change costs nothing for lines that did not change: thousands may watch.
    """

    def __init__(self) -> None:
        self.index = 1
        self._lines: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}  # the version of each line's last change, in the order of changes
        self._answers: dict[int, tuple[list[dict[str, Any]], bytes]] = {}  # at this version
        self._server: asyncio.Server | None = None
        self._open: set[_Call] = set()
        self._waiting: dict[_Call, int] = {}  # and the version they know
        self._news = False  # those that wait will be answered
        self.calls = self.bytes_in = self.bytes_out = 0
        self.port = 0
        self.asked: Callable[[], None] = lambda: None
        self.told: Callable[[list[dict[str, Any]], bool], None] = lambda lines, whole: None
        self.refuses: Callable[[], bool] = lambda: False

    async def start(self, port: int = 0) -> int:
        """Listen, at any port where none is named; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Call(self), "127.0.0.1", port, backlog=BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Answer nobody any more."""
        if self._server is not None:
            self._server.close()
        for call in list(self._open):
            call.close()

    def put(self, name: str, port: int, status: str = "SERVING", since_ms: int | None = None, **more: Any) -> None:
        """Add a server, or change one. `since_ms` is when it started, 0 for long ago."""
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
        self._answers.clear()
        if self._waiting and not self._news:
            self._news = True
            asyncio.get_running_loop().call_soon(self._tell)

    def renumber(self) -> None:
        """Number as one does that knows the list from elsewhere and has not seen a change: all at version 1."""
        self.index = 1
        self._changed = dict.fromkeys(self._changed, 1)
        self._answers.clear()

    def started_now(self) -> int:
        """What `since_ms` is of a server that starts at this moment."""
        return time.time_ns() // 1_000_000

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        lines = [line for line in self._lines.values() if line["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": lines}

    def watching(self) -> int:
        """How many connections there are."""
        return len(self._open)

    def _tell(self) -> None:
        self._news = False
        for call, after in list(self._waiting.items()):
            if self.index > after:
                call.answer(self._made(after))

    def _made(self, after: int) -> bytes:
        """The answer to one that knows this version."""
        made = self._answers.get(after)
        if made is None:
            if after == WHOLE:
                answer = self.whole()
            else:
                lines = []
                for name, index in reversed(self._changed.items()):
                    if index <= after:
                        break
                    lines.append(self._lines[name])
                lines.reverse()
                answer = {"index": self.index, "snapshot": False, "endpoints": lines}
            body = json.dumps(answer, separators=(",", ":")).encode()
            made = answer["endpoints"], b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            self._answers[after] = made
        self.told(made[0], after == WHOLE)
        self.bytes_out += len(made[1])
        return made[1]

    def _heard(self, call: _Call, head: bytes) -> None:
        self.calls += 1
        if self.refuses():
            call.close()
            return
        self.asked()
        asked = parse_qs(urlsplit(head.split(b" ", 2)[1].decode("latin-1")).query)
        if "after" not in asked:
            call.answer(self._made(WHOLE))
            return
        after = int(asked["after"][0])
        wait_s = min(MOST_WAIT_S, int(asked.get("wait_ms", ["0"])[0]) / 1e3)
        if self.index > after or wait_s <= 0.0:
            call.answer(self._made(after))
        else:
            self._waiting[call] = after
            call.timer = asyncio.get_running_loop().call_later(wait_s, lambda: call.answer(self._made(after)))


class _Call(asyncio.Protocol):
    """One connection: calls in turn, of which the last may wait."""

    def __init__(self, discovery: StandInDiscovery) -> None:
        self._discovery = discovery
        self._data = b""
        self._busy = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._discovery._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery._open.discard(self)
        self._over()

    def data_received(self, data: bytes) -> None:
        self._discovery.bytes_in += len(data)
        self._data += data
        self._next()

    def _next(self) -> None:
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if end and not self._busy and not self._transport.is_closing():
            self._data, self._busy = rest, True
            self._discovery._heard(self, head)

    def answer(self, data: bytes) -> None:
        """Answer the call that waits, and go on with the next."""
        self._over()
        self._transport.write(data)
        self._busy = False
        if self._data:
            self._next()

    def close(self) -> None:
        """Answer no more."""
        self._over()
        self._transport.close()

    def _over(self) -> None:
        self._discovery._waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

"""Two processes that are one sidecar for a while: the link between the old one and the new.

The one that serves listens on a Unix socket in `$TMPDIR`; a new one calls there before it takes clients.
Frames are a length and JSON. An end that can't be read, or stays silent, means a cold start and no more.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import struct
from typing import Any, Protocol, cast

from rosechute.load_balancing.interface import Entry
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.log import LOG
from rosechute.sidecar.discovery import Line, Listing

VERSION = 1
NAME = "takeover.sock"
HELLO_S = 1.0  # how long an old process may take to greet; past that, the start is a cold one
UNASKED_S = 1.0  # how long after its first yes a new one leaves the clients to an old one that says nothing
MAX_FRAME = 16 << 20
LENGTH = struct.Struct(">I")
Frame = dict[str, Any]


def packed(listing: Listing) -> Frame:
    """A list for the other process."""
    return {"index": listing.version, "lines": [[*entry, *address] for entry, address in listing.lines]}


def unpacked(frame: Frame) -> Listing:
    """A list from the other process; ValueError where it is none."""
    lines = []
    try:
        for *entry, host, port in frame["lines"]:
            name, zone, kind, cell, lifecycle, weight, started = entry
            lines.append(
                Line(
                    Entry(str(name), int(zone), int(kind), int(cell), str(lifecycle), float(weight), int(started)),
                    Address(str(host), int(port)),
                )
            )
        return Listing(int(frame["index"]), True, tuple(lines))
    except (KeyError, TypeError) as error:
        raise ValueError(f"no list: {error!r}") from None


class Half(Protocol):
    """What the takeover needs of the sidecar in its process."""

    def state(self) -> Frame: ...

    def adopt(self, state: Frame) -> None: ...

    def hear(self, frame: Frame) -> None: ...

    def share(self, processes: int) -> None: ...

    def open_up(self) -> None: ...


class Takeover:
    """One process's end: first as the new one, perhaps, and as the old one later on."""

    def __init__(self, half: Half, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        self.half, self._loop = half, loop
        self._path = os.path.join(folder, NAME)
        self._links: set[Link] = set()
        self._before: Link | None = None  # to the process that this one takes over from
        self._greeted: asyncio.Future[bool] = loop.create_future()
        self._waiting = False  # the old process still takes the clients
        self._said = False  # yes
        self._ceded = False
        self._server: asyncio.AbstractServer | None = None

    # --- the new process

    async def find(self) -> bool:
        """Look for a process to take over from; whether there is one that takes the clients for now."""
        try:
            async with asyncio.timeout(HELLO_S):
                _, self._before = await self._loop.create_unix_connection(lambda: Link(self), self._path)
                self._waiting = await self._greeted
        except OSError as error:
            # FileNotFoundError at every first start; TimeoutError where the old one stands still.
            if not isinstance(error, FileNotFoundError):
                LOG.warning("takeover.cold_start", reason=str(error) or "no greeting")
            if self._before is not None:
                self._before.close()
                self._before = None
        return self._waiting

    def said_yes(self) -> None:
        """The platform has heard that this process is ready: from now on the old one's word is due."""
        if self._waiting and not self._said:
            self._said = True
            self._loop.call_later(UNASKED_S, self._go_on)

    def _go_on(self) -> None:
        """Take the clients."""
        if self._waiting:
            self._waiting = False
            self.half.open_up()

    # --- the old process

    async def serve(self) -> None:
        """Let the next process find this one, from now on in the place of the one before."""
        fresh = f"{self._path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(fresh)
            self._server = await self._loop.create_unix_server(lambda: Link(self, True), fresh)
            os.replace(fresh, self._path)
        except OSError as error:
            LOG.warning("takeover.next_start_cold", reason=error)

    def cede(self) -> bool:
        """Leave the clients to the new process; whether there is one."""
        self._ceded = True
        self.tell("yours", **self.half.state())
        return bool(self._links)

    def linked(self) -> bool:
        """Whether another process is there."""
        return bool(self._links)

    # --- both

    def tell(self, kind: str, **more: Any) -> None:
        """Send a frame to the other process, if there is one."""
        for link in list(self._links):
            link.send({"kind": kind, **more})

    def close(self) -> None:
        """End the link: this process exits next."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()

    def made(self, link: Link) -> None:
        self._links.add(link)
        self.half.share(1 + len(self._links))
        if link.called:
            LOG.info("takeover.called")
            link.send({"kind": "hello", "v": VERSION, **self.half.state()})
            if self._ceded:
                link.send({"kind": "yours", **self.half.state()})

    def lost(self, link: Link) -> None:
        self._links.discard(link)
        self.half.share(1 + len(self._links))
        if not link.called:
            self._before = None
            if not self._greeted.done():
                self._greeted.set_result(False)
            self._go_on()  # it has died, or is done: no word will come

    def got(self, link: Link, frame: Frame) -> None:
        kind = frame.get("kind")
        if kind == "hello" and not link.called:
            usable = frame.get("v") == VERSION
            if usable:
                self.half.adopt(frame)
            else:
                LOG.warning("takeover.left_aside", part="state", reason="of another version")
            if not self._greeted.done():
                self._greeted.set_result(True)
        elif kind == "yours" and not link.called:
            self.half.adopt(frame)
            self._go_on()
        else:
            self.half.hear(frame)


class Link(asyncio.Protocol):
    """The connection between the two processes, at either end."""

    def __init__(self, takeover: Takeover, called: bool = False) -> None:
        self._takeover = takeover
        self.called = called  # by the new process: this is the old one's end
        self._transport: asyncio.Transport | None = None
        self._read = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._takeover.made(self)

    def data_received(self, data: bytes) -> None:
        self._read += data
        while len(self._read) >= LENGTH.size:
            size = LENGTH.unpack_from(self._read)[0]
            if size > MAX_FRAME:
                self.close()
                return
            if len(self._read) < LENGTH.size + size:
                return
            text, self._read = self._read[LENGTH.size : LENGTH.size + size], self._read[LENGTH.size + size :]
            try:
                frame = json.loads(text)
                if not isinstance(frame, dict):
                    raise ValueError("not an object")
                self._takeover.got(self, frame)
            except (ValueError, RecursionError) as error:
                LOG.warning("takeover.unreadable", reason=error)
                self.close()
                return

    def connection_lost(self, exc: Exception | None) -> None:
        self._takeover.lost(self)

    def send(self, frame: Frame) -> None:
        """Write a frame, unless the other end does not read: it is not worth memory then."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        text = json.dumps(frame).encode()
        if transport.get_write_buffer_size() + len(text) > MAX_FRAME:
            self.close()
            return
        transport.write(LENGTH.pack(len(text)) + text)

    def close(self) -> None:
        """Close once what was sent is written."""
        if self._transport is not None:
            self._transport.close()

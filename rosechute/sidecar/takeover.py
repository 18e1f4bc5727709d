"""Takeover of a running sidecar by a new process.

The serving process listens on a Unix socket in `$TMPDIR`; a new process connects to it before it accepts clients.
Frames are a length prefix and JSON. If the other process does not answer or sends invalid frames, the new one starts
without its state.
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

STATE_VERSION = 1
SOCKET_NAME = "takeover.sock"
HELLO_TIMEOUT_S = 1.0  # timeout for the predecessor's hello frame; after that the start is a cold one
CEDE_TIMEOUT_S = 1.0  # after its first positive health check, a new process waits this long for the clients
MAX_FRAME = 16 << 20
LENGTH_PREFIX = struct.Struct(">I")
Frame = dict[str, Any]


def pack_list(listing: Listing) -> Frame:
    """Encode a server list for the other process."""
    return {"index": listing.version, "lines": [[*entry, *address] for entry, address in listing.lines]}


def unpack_list(frame: Frame) -> Listing:
    """Decode a server list from the other process; raise ValueError if it is invalid."""
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
        raise ValueError(f"invalid server list: {error!r}") from None


class LocalSidecar(Protocol):
    """Interface of the sidecar in this process for the takeover."""

    def state(self) -> Frame:
        """Return the state for the other process."""
        ...

    def adopt(self, state: Frame) -> None:
        """Continue from the state of the predecessor."""
        ...

    def receive_frame(self, frame: Frame) -> None:
        """Handle any other frame from the other process."""
        ...

    def set_process_count(self, processes: int) -> None:
        """Divide the limits by the number of processes."""
        ...

    def open_to_clients(self) -> None:
        """Accept clients."""
        ...


class Takeover:
    """The takeover in one process, which may be the successor first and the predecessor later."""

    def __init__(self, sidecar: LocalSidecar, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        self.sidecar, self._loop = sidecar, loop
        self._path = os.path.join(folder, SOCKET_NAME)
        self._links: set[Link] = set()
        self._predecessor: Link | None = None  # link to the predecessor
        self._hello_received: asyncio.Future[bool] = loop.create_future()
        self._is_waiting = False  # the predecessor still accepts the clients
        self._has_reported_ready = False  # the platform has seen this process as ready
        self._has_ceded = False
        self._server: asyncio.AbstractServer | None = None

    # --- New process

    async def find_predecessor(self) -> bool:
        """Connect to a predecessor; return whether there is one that still accepts the clients."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                _, self._predecessor = await self._loop.create_unix_connection(lambda: Link(self), self._path)
                self._is_waiting = await self._hello_received
        except OSError as error:
            # FileNotFoundError at every first start; TimeoutError if the predecessor does not respond.
            if not isinstance(error, FileNotFoundError):
                LOG.warning("takeover.cold_start", reason=str(error) or "timed out")
            if self._predecessor is not None:
                self._predecessor.close()
                self._predecessor = None
        return self._is_waiting

    def reported_ready(self) -> None:
        """Note that the platform saw this process as ready. The predecessor should hand over the clients soon."""
        if self._is_waiting and not self._has_reported_ready:
            self._has_reported_ready = True
            self._loop.call_later(CEDE_TIMEOUT_S, self._take_clients)

    def _take_clients(self) -> None:
        """Accept the clients, unless this was done already."""
        if self._is_waiting:
            self._is_waiting = False
            self.sidecar.open_to_clients()

    # --- Old process

    async def serve(self) -> None:
        """Listen for the successor, replacing the socket of the predecessor."""
        new_path = f"{self._path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(new_path)
            self._server = await self._loop.create_unix_server(lambda: Link(self, True), new_path)
            os.replace(new_path, self._path)
        except OSError as error:
            LOG.warning("takeover.next_start_cold", reason=error)

    def cede(self) -> bool:
        """Hand over the clients to the new process; return whether there is one."""
        self._has_ceded = True
        self.send("yours", **self.sidecar.state())
        return bool(self._links)

    def is_linked(self) -> bool:
        """Return whether another process is connected."""
        return bool(self._links)

    # --- Both processes

    def send(self, kind: str, **fields: Any) -> None:
        """Send a frame to the other process, if there is one."""
        for link in list(self._links):
            link.send({"kind": kind, **fields})

    def close(self) -> None:
        """Close the link: this process exits next."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()

    def link_made(self, link: Link) -> None:
        """Register a link, and send the state if the other process is the successor."""
        self._links.add(link)
        self.sidecar.set_process_count(1 + len(self._links))
        if link.is_accepted:
            LOG.info("takeover.called")
            link.send({"kind": "hello", "v": STATE_VERSION, **self.sidecar.state()})
            if self._has_ceded:
                link.send({"kind": "yours", **self.sidecar.state()})

    def link_lost(self, link: Link) -> None:
        """Unregister a link, and accept the clients if the predecessor has exited."""
        self._links.discard(link)
        self.sidecar.set_process_count(1 + len(self._links))
        if not link.is_accepted:
            self._predecessor = None
            if not self._hello_received.done():
                self._hello_received.set_result(False)
            self._take_clients()  # the predecessor has exited and will not hand over

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Handle a frame from the other process."""
        kind = frame.get("kind")
        if kind == "hello" and not link.is_accepted:
            usable = frame.get("v") == STATE_VERSION
            if usable:
                self.sidecar.adopt(frame)
            else:
                LOG.warning("takeover.left_aside", part="state", reason="unsupported version")
            if not self._hello_received.done():
                self._hello_received.set_result(True)
        elif kind == "yours" and not link.is_accepted:
            self.sidecar.adopt(frame)
            self._take_clients()
        else:
            self.sidecar.receive_frame(frame)


class Link(asyncio.Protocol):
    """Connection to the other process."""

    def __init__(self, takeover: Takeover, is_accepted: bool = False) -> None:
        self._takeover = takeover
        self.is_accepted = is_accepted  # the successor has connected to this process
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the link."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._takeover.link_made(self)

    def data_received(self, data: bytes) -> None:
        """Split received data into frames; close the link after an invalid one."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_PREFIX.size:
            size = LENGTH_PREFIX.unpack_from(self._buffer)[0]
            if size > MAX_FRAME:
                self.close()
                return
            if len(self._buffer) < LENGTH_PREFIX.size + size:
                return
            text, self._buffer = (
                self._buffer[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size],
                self._buffer[LENGTH_PREFIX.size + size :],
            )
            try:
                frame = json.loads(text)
                if not isinstance(frame, dict):
                    raise ValueError("not an object")
                self._takeover.frame_received(self, frame)
            except (ValueError, RecursionError) as error:
                LOG.warning("takeover.unreadable", reason=error)
                self.close()
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the link."""
        self._takeover.link_lost(self)

    def send(self, frame: Frame) -> None:
        """Write a frame. If the other process does not read, close the link instead of buffering without limit."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        text = json.dumps(frame).encode()
        if transport.get_write_buffer_size() + len(text) > MAX_FRAME:
            self.close()
            return
        transport.write(LENGTH_PREFIX.pack(len(text)) + text)

    def close(self) -> None:
        """Close the link after the buffered data is written."""
        if self._transport is not None:
            self._transport.close()

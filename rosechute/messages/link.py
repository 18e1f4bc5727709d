"""TCP links of the internal protocol: a server, and a pool that keeps one link to each address.

Delivery is not promised: what can't be sent is dropped, oldest first, and every sender repeats what matters.
An answer goes back on the connection on which the message came.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from rosechute.messages.framing import FrameError, FrameReader, MessageKind, encode_frame

CONNECT_TIMEOUT_S = 0.5  # after which messages that wait are dropped and their owner is told
ATTEMPT_LIMIT_S = 3.0  # an attempt goes on for so long, beside later ones
ATTEMPTS_AT_ONCE = 4
BACKOFF_FIRST_S = 0.05
BACKOFF_LIMIT_S = 0.5
USER_TIMEOUT_MS = 2000  # unacknowledged bytes close a link after this
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
PENDING_LIMIT_BYTES = 2 * 1024 * 1024  # of frames that wait for a link; one frame alone may be larger
TRANSPORT_HIGH_BYTES = 256 * 1024
BACKLOG = 256


@dataclass(frozen=True, slots=True)
class LinkError:
    """A link that could not be opened, or has ended: at which step, to whom, why."""

    step: str  # "connect" or "open"
    peer: str  # host:port
    reason: str


OnMessage = Callable[["LinkConnection", MessageKind, bytes], None]


class _PendingFrames:
    """Frames that wait, bounded in bytes; the oldest are dropped first."""

    __slots__ = ("_frames", "_size")

    def __init__(self) -> None:
        self._frames: deque[bytes] = deque()
        self._size = 0

    def __len__(self) -> int:
        return len(self._frames)

    def push(self, frame: bytes) -> None:
        self._frames.append(frame)
        self._size += len(frame)
        while self._size > PENDING_LIMIT_BYTES and len(self._frames) > 1:
            self.pop()

    def pop(self) -> bytes:
        frame = self._frames.popleft()
        self._size -= len(frame)
        return frame

    def clear(self) -> None:
        self._frames.clear()
        self._size = 0


class LinkConnection(asyncio.Protocol):
    """One open connection, of a server or of a pool."""

    def __init__(self, address: str, on_message: OnMessage, on_closed: Callable[[LinkConnection, str], None]) -> None:
        self.address = address  # of the peer; for a connection that was accepted, the peer's own port
        self._on_message = on_message
        self._on_closed = on_closed
        self._reader = FrameReader()
        self._pending = _PendingFrames()
        self._transport: asyncio.Transport | None = None
        self._paused = False

    @property
    def open(self) -> bool:
        """Whether bytes may still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, kind: MessageKind, data: bytes) -> bool:
        """Send a message; False where the connection has closed or the message is over the bound."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        try:
            frame = encode_frame(kind, data)
        except FrameError as error:
            logger.error("link {}: {}", self.address, error)
            return False
        self.send_frame(frame)
        return True

    def send_frame(self, frame: bytes) -> None:
        """Send a frame that is encoded already."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._paused:
            self._pending.push(frame)
        else:
            self._transport.write(frame)

    def close(self) -> None:
        """Close at once; what waits is dropped."""
        self._pending.clear()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=TRANSPORT_HIGH_BYTES)
        if not self.address:
            peer = transport.get_extra_info("peername") or ("", 0)
            self.address = f"{peer[0]}:{peer[1]}"
        opened = transport.get_extra_info("socket")
        if opened is not None:
            _set_options(opened)

    def data_received(self, data: bytes) -> None:
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            logger.warning("link {}: {}", self.address, error)
            self.close()
            return
        for kind, message in frames:
            try:
                self._on_message(self, kind, message)
            except Exception:  # a message that can't be handled costs itself only
                logger.exception("link {}: message of kind {}", self.address, kind.name)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        while self._pending and not self._paused and self._transport is not None:
            self._transport.write(self._pending.pop())

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._pending.clear()
        self._on_closed(self, str(error) if error else "closed")


class LinkServer:
    """Accepts links at one address of this machine."""

    def __init__(
        self,
        address: str,
        on_message: OnMessage,
        on_closed: Callable[[LinkConnection], None] | None = None,
    ) -> None:
        self._address = address
        self._on_message = on_message
        self._on_closed = on_closed
        self._connections: set[LinkConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; OSError where the address is taken."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=BACKLOG, reuse_address=True)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> LinkConnection:
        connection = LinkConnection("", self._on_message, self._closed)
        self._connections.add(connection)
        return connection

    def _closed(self, connection: LinkConnection, reason: str) -> None:
        self._connections.discard(connection)
        if self._on_closed is not None:
            self._on_closed(connection)


class LinkState(enum.Enum):
    """Of one link of a pool."""

    IDLE = "idle"
    CONNECTING = "connecting"
    OPEN = "open"
    BACKOFF = "backoff"


class _Link:
    """The link to one address; connects when there is something to send.

    An attempt that takes longer than the time-out counts as failed, but goes on beside later ones for a while: over a
    crowded link it may take that long, and the first that comes up is used.
    """

    def __init__(self, pool: LinkPool, address: str) -> None:
        self._pool = pool
        self.address = address
        self.state = LinkState.IDLE
        self._connection: LinkConnection | None = None
        self._attempts: set[asyncio.Task[None]] = set()
        self._newest: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # of the time-out, or of the backoff
        self._backoff_s = BACKOFF_FIRST_S
        self._pending = _PendingFrames()

    def send(self, frame: bytes) -> None:
        if self.state is LinkState.OPEN and self._connection is not None and self._connection.open:
            self._connection.send_frame(frame)
            return
        self._pending.push(frame)
        if self.state is LinkState.IDLE:
            self._to_connecting()

    def close(self) -> None:
        """End the link without a word to the owner."""
        self._pending.clear()
        self._cancel_waits()
        connection, self._connection = self._connection, None
        self.state = LinkState.IDLE
        if connection is not None:
            connection.close()

    def _to_connecting(self) -> None:
        self.state = LinkState.CONNECTING
        loop = asyncio.get_running_loop()
        if len(self._attempts) < ATTEMPTS_AT_ONCE:
            self._newest = loop.create_task(self._attempt())
            self._attempts.add(self._newest)
        self._timer = loop.call_later(CONNECT_TIMEOUT_S, self._timed_out)

    def _to_open(self, connection: LinkConnection) -> None:
        self._cancel_waits()
        self.state = LinkState.OPEN
        self._connection = connection
        self._backoff_s = BACKOFF_FIRST_S
        while self._pending:
            connection.send_frame(self._pending.pop())

    def _to_backoff(self, error: LinkError) -> None:
        """What waited is dropped: its senders repeat it."""
        self.state = LinkState.BACKOFF
        self._pending.clear()
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(self._backoff_s, self._backoff_over)
        self._backoff_s = min(self._backoff_s * 2.0, BACKOFF_LIMIT_S)
        self._pool.link_closed(error)

    def _to_idle(self) -> None:
        self.state = LinkState.IDLE
        self._timer = None

    def _backoff_over(self) -> None:
        if self._pending:
            self._to_connecting()
        else:
            self._to_idle()

    def _timed_out(self) -> None:
        self._to_backoff(LinkError("connect", self.address, "timed out"))

    async def _attempt(self) -> None:
        task = asyncio.current_task()
        try:
            connection = await self._connect()
        except (OSError, TimeoutError, ValueError) as error:
            connection = None
            reason = str(error) or type(error).__name__
        else:
            reason = "closed"
        if task is not None:
            self._attempts.discard(task)
        if connection is not None and connection.open:
            if self.state is LinkState.OPEN:
                connection.close()
            else:
                self._to_open(connection)
        elif self.state is LinkState.CONNECTING and task is self._newest:
            self._to_backoff(LinkError("connect", self.address, reason))

    async def _connect(self) -> LinkConnection:
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setblocking(False)
            _set_options(opened)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(ATTEMPT_LIMIT_S):
                await loop.sock_connect(opened, split_address(self.address))
            _, connection = await loop.create_connection(self._protocol, sock=opened)
        except BaseException:
            opened.close()
            raise
        return connection

    def _protocol(self) -> LinkConnection:
        return LinkConnection(self.address, self._pool.on_message, self._closed)

    def _closed(self, connection: LinkConnection, reason: str) -> None:
        if connection is self._connection:
            self._to_backoff(LinkError("open", self.address, reason))

    def _cancel_waits(self) -> None:
        current = asyncio.current_task() if self._attempts else None
        for task in self._attempts:
            if task is not current:
                task.cancel()
        self._attempts.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class LinkPool:
    """One link to each address, opened by the first message to it and opened again under a short backoff."""

    def __init__(self, on_message: OnMessage, on_closed: Callable[[LinkError], None] | None = None) -> None:
        self.on_message = on_message
        self._on_closed = on_closed
        self._links: dict[str, _Link] = {}

    def send(self, address: str, kind: MessageKind, data: bytes) -> None:
        """Send a message, or drop it where the address can't be reached."""
        try:
            frame = encode_frame(kind, data)
        except FrameError as error:
            logger.error("link {}: {}", address, error)
            return
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(self, address)
        link.send(frame)

    def addresses(self) -> list[str]:
        """Every address that has a link, open or not."""
        return list(self._links)

    def forget(self, address: str) -> None:
        """Close the link to an address that is not needed any more; `on_closed` is not called."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close every link."""
        for address in list(self._links):
            self.forget(address)

    def link_closed(self, error: LinkError) -> None:
        """Called by a link that has ended or could not be opened."""
        if self._on_closed is not None:
            self._on_closed(error)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of host:port; ValueError where it is none."""
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"no address: {address!r}")
    return host, int(port)


def _set_options(opened: socket.socket) -> None:
    """Short time-outs, so that a peer that is cut off is noticed; where an option is not to be had, it is left."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, name, value in options:
        with contextlib.suppress(OSError):
            opened.setsockopt(level, name, value)

"""One open TCP connection of a link: frames in both directions, for the client and the server side alike."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from rosechute.listening.connections import STALLED_S, ConnectionTable
from rosechute.messages.errors import FrameError
from rosechute.messages.frame_queue import FrameQueue
from rosechute.messages.framing import Frame, FrameReader, MessageKind, encode_frame
from rosechute.messages.socket_options import set_link_options
from rosechute.proxy.core.shedding import Standing

WRITE_BUFFER_HIGH_BYTES = 256 * 1024  # limit of the transport; further frames wait in a queue that drops the oldest
MAX_MESSAGES_PER_TURN = 64  # messages of one read that are handled in one turn of the event loop
MESSAGE_OVERHEAD_BYTES = 150  # memory of a message that waits, besides its bytes
MEMBER_SILENCE_S = 10.0  # a member of the fleet sends more often than this

OnMessage = Callable[["LinkConnection", MessageKind, bytes], None]
"""Called with the connection, the kind and the data of each message that arrives."""
OnClosed = Callable[["LinkConnection", str], None]
"""Called once with the connection and the reason for its end."""


class LinkConnection(asyncio.Protocol):
    """An open connection. Delivery is not guaranteed: frames that cannot be sent are dropped, the oldest first."""

    def __init__(
        self, address: str, on_message: OnMessage, on_closed: OnClosed, table: ConnectionTable | None = None
    ) -> None:
        """Create the protocol of a connection that is about to open.

        Args:
            address: Address of the peer, `host:port`; empty for an accepted connection, whose peer is then looked up.
            on_message: Called with each message.
            on_closed: Called when the connection has ended.
            table: The connections of the listener that accepted it; None for a connection that this side opened.
        """
        self._table = table
        self._last_received_at = 0.0  # loop time
        self._has_received = False  # a complete message has arrived
        self.address = address
        self._on_message = on_message
        self._on_closed = on_closed
        self._reader = FrameReader()
        self._queue = FrameQueue()
        self._received: deque[Frame] = deque()  # messages that wait for their turn
        self._received_bytes = 0  # memory of them
        self._is_reading = True
        self._transport: asyncio.Transport | None = None
        self._is_paused = False

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, kind: MessageKind, data: bytes) -> bool:
        """Send a message; return whether the connection is open and the message within the size limit."""
        if not self.is_open:
            return False
        try:
            frame = encode_frame(kind, data)
        except FrameError as error:
            logger.error("link message not sent peer={} error={}", self.address, error)
            return False
        self.send_frame(frame)
        return True

    def send_frame(self, frame: bytes) -> None:
        """Send a frame that is already encoded; drop it if the connection is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused:
            self._queue.push(frame)
        else:
            self._transport.write(frame)

    def close(self) -> None:
        """Close the connection at once and drop the frames in the queue."""
        self._queue.clear()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up an opened connection; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        if not self.address:
            peer = transport.get_extra_info("peername") or ("", 0)
            self.address = f"{peer[0]}:{peer[1]}"
        link_socket = transport.get_extra_info("socket")
        if link_socket is not None:
            set_link_options(link_socket)
        if self._table is not None:
            self._last_received_at = asyncio.get_running_loop().time()
            if not self._table.add(self):
                transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass the complete messages to the handler; called by asyncio."""
        if self._table is not None:
            self._last_received_at = asyncio.get_running_loop().time()
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            logger.warning("link closed after an invalid frame peer={} error={}", self.address, error)
            self.close()
            return
        self._has_received = self._has_received or bool(messages)
        self._received.extend(messages)
        self._received_bytes += sum(len(one.message) + MESSAGE_OVERHEAD_BYTES for one in messages)
        self._handle_received()
        if self._table is not None and self._reader.held_bytes:
            self._table.relieve()

    def pause_writing(self) -> None:
        """Start to queue frames, as the peer reads slower than this side sends; called by asyncio."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send the frames in the queue; called by asyncio."""
        self._is_paused = False
        while self._queue and not self._is_paused and self._transport is not None:
            self._transport.write(self._queue.pop())

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection; called by asyncio."""
        self._transport = None
        self._queue.clear()
        self._received.clear()
        self._received_bytes = 0
        if self._table is not None:
            self._table.remove(self)
        self._on_closed(self, str(error) if error else "closed")

    # --- GuardedConnection

    def standing(self, now: float) -> Standing:
        """Return why this connection holds memory and a descriptor. A member of the fleet sends every few seconds."""
        silent_s = now - self._last_received_at
        if self._reader.held_bytes:
            if silent_s < STALLED_S:
                return Standing.ARRIVING_FORWARDED if self._has_received else Standing.ARRIVING
            return Standing.STALLED_FORWARDED if self._has_received else Standing.STALLED
        if not self._has_received:
            return Standing.SILENT
        return Standing.IDLE if silent_s >= MEMBER_SILENCE_S else Standing.KEPT

    def held_bytes(self) -> int:
        """Return the memory that is free once this connection is closed."""
        return self._reader.held_bytes + self._received_bytes + self._queue.size_bytes

    def last_active_at(self) -> float:
        """Return the loop time at which the peer last sent anything."""
        return self._last_received_at

    def shed(self) -> None:
        """Close the connection: it gives way to others."""
        logger.debug("link gave way to others peer={}", self.address)
        self.close()

    def _handle_received(self) -> None:
        """Handle messages in order, up to a number in one turn; reading is paused while others wait."""
        for _ in range(min(MAX_MESSAGES_PER_TURN, len(self._received))):
            frame = self._received.popleft()
            self._received_bytes -= len(frame.message) + MESSAGE_OVERHEAD_BYTES
            self._handle(frame.kind, frame.message)
        if self._transport is None:
            return
        self._set_reading(self._transport, not self._received)
        if self._received:
            asyncio.get_running_loop().call_soon(self._handle_received)

    def _set_reading(self, transport: asyncio.Transport, is_reading: bool) -> None:
        if is_reading == self._is_reading or transport.is_closing():
            return
        self._is_reading = is_reading
        if is_reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _handle(self, kind: MessageKind, message: bytes) -> None:
        try:
            self._on_message(self, kind, message)
        except Exception:  # the connection and the next messages must survive any failure of the handler
            logger.exception("link message handler failed peer={} kind={}", self.address, kind.name)

"""The client side of a link: a persistent connection to one address, opened again under exponential backoff.

IDLE --send--> CONNECTING --connected--> OPEN --closed--> BACKOFF
               CONNECTING --failed, timed out--> BACKOFF
BACKOFF --delay over, frames queued--> CONNECTING
BACKOFF --delay over, nothing queued--> IDLE
BACKOFF --a late attempt connected--> OPEN
"""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable

from rosechute.messages.address import split_address
from rosechute.messages.backoff import ExponentialBackoff
from rosechute.messages.errors import LinkError
from rosechute.messages.frame_queue import FrameQueue
from rosechute.messages.link_connection import LinkConnection, OnMessage
from rosechute.messages.socket_options import set_link_options

CONNECT_TIMEOUT_S = 0.5  # time until the queued frames are dropped and the owner is notified
ATTEMPT_LIMIT_S = 3.0  # a timed-out attempt goes on beside later ones up to this time
MAX_CONCURRENT_ATTEMPTS = 4  # bounds the sockets that an unreachable address can cost


class LinkState(enum.Enum):
    """State of a client link."""

    IDLE = "idle"
    CONNECTING = "connecting"
    OPEN = "open"
    BACKOFF = "backoff"


class ClientLink:
    """The link to one address. It connects when there is something to send.

    An attempt that takes longer than `CONNECT_TIMEOUT_S` counts as failed but goes on in the background, since over a
    congested network it may take that long; the first attempt that connects is used.
    """

    def __init__(self, address: str, on_message: OnMessage, on_closed: Callable[[LinkError], None]) -> None:
        """Create a link that is not open.

        Args:
            address: Address of the peer, `host:port`.
            on_message: Called with each message that arrives.
            on_closed: Called when the link has ended or could not be opened.
        """
        self.address = address
        self.state = LinkState.IDLE
        self._on_message = on_message
        self._on_closed = on_closed
        self._connection: LinkConnection | None = None
        self._attempts: set[asyncio.Task[None]] = set()
        self._newest_attempt: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # timer of the connect time-out or of the backoff
        self._backoff = ExponentialBackoff()
        self._queue = FrameQueue()

    def send(self, frame: bytes) -> None:
        """Send a frame now, or queue it until the link is open."""
        if self.state is LinkState.OPEN and self._connection is not None and self._connection.is_open:
            self._connection.send_frame(frame)
            return
        self._queue.push(frame)
        if self.state is LinkState.IDLE:
            self._enter_connecting()

    def close(self) -> None:
        """Close the link without calling `on_closed`."""
        self._queue.clear()
        self._cancel_attempts_and_timer()
        connection, self._connection = self._connection, None
        self.state = LinkState.IDLE
        if connection is not None:
            connection.close()

    def _enter_connecting(self) -> None:
        self.state = LinkState.CONNECTING
        loop = asyncio.get_running_loop()
        if len(self._attempts) < MAX_CONCURRENT_ATTEMPTS:
            self._newest_attempt = loop.create_task(self._attempt())
            self._attempts.add(self._newest_attempt)
        self._timer = loop.call_later(CONNECT_TIMEOUT_S, self._connect_timed_out)

    def _enter_open(self, connection: LinkConnection) -> None:
        self._cancel_attempts_and_timer()
        self.state = LinkState.OPEN
        self._connection = connection
        self._backoff.reset()
        while self._queue:
            connection.send_frame(self._queue.pop())

    def _enter_backoff(self, error: LinkError) -> None:
        """Drop the queued frames (their senders repeat what matters) and wait before the next attempt."""
        self.state = LinkState.BACKOFF
        self._queue.clear()
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(self._backoff.next_delay_s(), self._backoff_over)
        self._on_closed(error)

    def _enter_idle(self) -> None:
        self.state = LinkState.IDLE
        self._timer = None

    def _backoff_over(self) -> None:
        if self._queue:
            self._enter_connecting()
        else:
            self._enter_idle()

    def _connect_timed_out(self) -> None:
        self._enter_backoff(LinkError("connect", self.address, "timed out"))

    async def _attempt(self) -> None:
        """Try to connect once; runs as a task of its own."""
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
        if connection is not None and connection.is_open:
            self._connected(connection)
        elif self.state is LinkState.CONNECTING and task is self._newest_attempt:
            self._enter_backoff(LinkError("connect", self.address, reason))

    def _connected(self, connection: LinkConnection) -> None:
        """Use a new connection, unless another attempt connected before."""
        if self.state is LinkState.OPEN:
            connection.close()
        else:
            self._enter_open(connection)

    async def _connect(self) -> LinkConnection:
        """Open a connection.

        Raises:
            OSError: The peer refused the connection, or is unreachable.
            TimeoutError: The attempt took longer than `ATTEMPT_LIMIT_S`.
            ValueError: The address is malformed.
        """
        link_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            link_socket.setblocking(False)
            set_link_options(link_socket)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(ATTEMPT_LIMIT_S):
                await loop.sock_connect(link_socket, split_address(self.address))
            _, connection = await loop.create_connection(self._new_connection, sock=link_socket)
        except BaseException:  # a cancelled attempt must not leak its socket either
            link_socket.close()
            raise
        return connection

    def _new_connection(self) -> LinkConnection:
        return LinkConnection(self.address, self._on_message, self._connection_closed)

    def _connection_closed(self, connection: LinkConnection, reason: str) -> None:
        if connection is self._connection:
            self._enter_backoff(LinkError("open", self.address, reason))

    def _cancel_attempts_and_timer(self) -> None:
        """Cancel the timer and every attempt except the calling one."""
        current = asyncio.current_task() if self._attempts else None
        for task in self._attempts:
            if task is not current:
                task.cancel()
        self._attempts.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

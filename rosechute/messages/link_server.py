"""The server side of links: accepts connections at one address of this machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rosechute.listening.connections import ConnectionTable
from rosechute.listening.limits import ListenerLimits, core_link_limits
from rosechute.listening.sockets import listen
from rosechute.messages.address import split_address
from rosechute.messages.link_connection import LinkConnection, OnMessage

DEFAULT_LIMITS = core_link_limits(memory_mb=256, max_fds=1024)


class LinkServer:
    """A listening socket and the connections that it accepted."""

    def __init__(
        self,
        address: str,
        on_message: OnMessage,
        on_closed: Callable[[LinkConnection], None] | None = None,
        limits: ListenerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            address: Where to listen, `host:port`.
            on_message: Called with each message and its connection, on which a reply is sent.
            on_closed: Called with each accepted connection that has ended.
            limits: Limits of the connections that are accepted.
        """
        self.connections = ConnectionTable("links", limits)
        self._limits = limits
        self._address = address
        self._on_message = on_message
        self._on_closed = on_closed
        self._connections: set[LinkConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        address = split_address(self._address)
        self._server = await listen(self._accept, address, self._limits.receive_buffer_bytes)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.connections.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> LinkConnection:
        connection = LinkConnection("", self._on_message, self._connection_closed, self.connections)
        self._connections.add(connection)
        return connection

    def _connection_closed(self, connection: LinkConnection, reason: str) -> None:
        self._connections.discard(connection)
        if self._on_closed is not None:
            self._on_closed(connection)

"""The server side of links: accepts connections at one address of this machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rosechute.messages.address import split_address
from rosechute.messages.link_connection import LinkConnection, OnMessage

LISTEN_BACKLOG = 256  # limit of pending connections; after a restart all peers connect at once


class LinkServer:
    """A listening socket and the connections that it accepted."""

    def __init__(
        self,
        address: str,
        on_message: OnMessage,
        on_closed: Callable[[LinkConnection], None] | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            address: Where to listen, `host:port`.
            on_message: Called with each message and its connection, on which a reply is sent.
            on_closed: Called with each accepted connection that has ended.
        """
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
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG, reuse_address=True)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> LinkConnection:
        connection = LinkConnection("", self._on_message, self._connection_closed)
        self._connections.add(connection)
        return connection

    def _connection_closed(self, connection: LinkConnection, reason: str) -> None:
        self._connections.discard(connection)
        if self._on_closed is not None:
            self._on_closed(connection)

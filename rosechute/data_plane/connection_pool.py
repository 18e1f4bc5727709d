"""Connections to model servers: idle ones by server, new ones, and when a connection is kept or closed."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Sequence

from rosechute.configuration.process import split_address
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.http1.connection import Connection, Reply
from rosechute.routing.model import ServerEntry

CONNECT_TIMEOUT_S = 0.3  # a server that is up accepts within milliseconds
DEFAULT_IDLE_TIMEOUT_S = 4.0  # of a connection to a server that does not announce its own
IDLE_MARGIN_S = 1.0  # an idle connection is closed so long before the server's time-out; at most half of that
SWEEP_INTERVAL_S = 0.25  # between searches for connections that have been idle for too long
UNACKNOWLEDGED_TIMEOUT_MS = 1500  # bytes that are not acknowledged for so long end a connection (TCP_USER_TIMEOUT)
KEEPALIVE_PROBE_INTERVAL_S = 1  # between the kernel's probes of a connection on which nothing arrives
KEEPALIVE_PROBES = 2
ANY_SUCCESS = range(200, 300)
MAX_ERROR_RESPONSE_BYTES = 4 << 20  # of a response that is no success
_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,; ])timeout *= *\"?([0-9]{1,6})", re.IGNORECASE)


class PooledConnection:
    """One connection to one server.

    Attributes:
        wire: The HTTP/1.1 connection.
        server: The server at its other end.
        retire_at: Steady time in seconds from which an idle connection is not used any more.
        is_used: Whether a request has been answered on it.
    """

    __slots__ = ("wire", "server", "retire_at", "is_used")

    def __init__(self, wire: Connection, server: ServerConnections) -> None:
        self.wire, self.server = wire, server
        self.retire_at = 0.0
        self.is_used = False


class ServerConnections:
    """One server of the endpoint list and the connections to it.

    Attributes:
        ready: Whether it takes new requests: it is on the list and does not drain.
        idle: Idle connections; the one that has been idle for longest comes first.
        open_count: Connections that are open or being established.
        idle_timeout_s: For how long an idle connection is kept.
    """

    __slots__ = ("id", "service", "address", "ready", "idle", "open_count", "idle_timeout_s")

    def __init__(self, service: str, entry: ServerEntry) -> None:
        self.id, self.service, self.address, self.ready = entry.id, service, entry.address, entry.ready
        self.idle: deque[PooledConnection] = deque()
        self.open_count = 0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S


class ConnectionPool:
    """All servers of the endpoint lists, and the connections to them.

    Args:
        loop: The event loop; its clock is the steady time.
        budget: Memory for bodies.
        max_connections: To all servers together.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, budget: Budget, max_connections: int) -> None:
        self._loop, self._budget = loop, budget
        self.max_connections = max_connections
        self._servers: dict[str, ServerConnections] = {}
        self._limits: dict[str, int] = {}  # connections to each server, by service
        self._open_count = 0
        self._sweep_timer: asyncio.TimerHandle | None = None

    # --- the endpoint list

    def apply(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Take over the complete endpoint list of one service."""
        listed = {entry.id for entry in entries}
        for server in [s for s in self._servers.values() if s.service == service and s.id not in listed]:
            self._remove(server)
        for entry in entries:
            known = self._servers.get(entry.id)
            if known is not None and (known.address != entry.address or known.service != service):
                self._remove(known)
                known = None
            if known is None:
                self._servers[entry.id] = ServerConnections(service, entry)
            else:
                known.ready = entry.ready
                if not entry.ready:
                    self._close_idle(known)

    def forget_service(self, service: str) -> None:
        """Remove the servers of a service that has left the configuration."""
        self.apply(service, ())

    def set_server_limit(self, service: str, max_connections: int) -> None:
        """Limit the connections to each server of this service; idle ones beyond the limit are closed."""
        self._limits[service] = max_connections
        for server in self._servers.values():
            while server.service == service and server.idle and server.open_count > max_connections:
                self._close_longest_idle(server)

    def resize(self, max_connections: int) -> None:
        """Limit the connections to all servers together; idle ones beyond the limit are closed."""
        self.max_connections = max_connections
        while self._open_count > max_connections and self._close_longest_idle_of_all():
            pass

    def find(self, server_id: str) -> ServerConnections | None:
        """Return the server with this id; None where no list has it."""
        return self._servers.get(server_id)

    def has_ready_server(self, service: str) -> bool:
        """Return whether a server of this service takes requests."""
        return any(server.service == service and server.ready for server in self._servers.values())

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(server_id)
        if server is not None:
            self._close_idle(server)

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        for server in self._servers.values():
            self._close_idle(server)

    def _remove(self, server: ServerConnections) -> None:
        server.ready = False
        self._close_idle(server)
        if self._servers.get(server.id) is server:
            del self._servers[server.id]

    def _close_idle(self, server: ServerConnections) -> None:
        while server.idle:
            self._close_longest_idle(server)

    def _close_longest_idle(self, server: ServerConnections) -> None:
        """Close the connection that has been idle for longest. It counts no more, though its end takes a turn."""
        connection = server.idle.popleft()
        self._uncount(connection)
        connection.wire.close()

    # --- connections

    def acquire_idle(self, server: ServerConnections) -> PooledConnection | None:
        """Return the connection that has been idle for longest and is still usable; None for none.

        Usable means that nothing is unread on it: neither the server's close nor a stray byte.
        """
        now = self._loop.time()
        while server.idle:
            connection = server.idle.popleft()
            if connection.retire_at > now and connection.wire.silent():
                return connection
            self._uncount(connection)
            connection.wire.close()
        return None

    async def connect(self, server: ServerConnections) -> PooledConnection:
        """Return a new connection.

        Raises:
            OSError: no descriptor is left, the server refuses, or does not accept within `CONNECT_TIMEOUT_S`.
        """
        if not self._may_open():
            raise OSError("no descriptor is left for servers")
        host, port = split_address(server.address)
        connection = PooledConnection(
            Connection(
                self._on_connection_lost,
                MAX_ERROR_RESPONSE_BYTES,
                budget=self._budget,
                successes=ANY_SUCCESS,
            ),
            server,
        )
        connection.wire.owner = connection
        self._open_count += 1
        server.open_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(lambda: connection.wire, host, port)
        except BaseException:
            # A cancelled connect, too, must be counted no longer.
            connection.wire.abort()
            self._uncount(connection)
            raise
        if connection.wire.lost:
            self._uncount(connection)
            raise ConnectionResetError("closed as soon as it was up")
        _detect_dead_peer(transport.get_extra_info("socket"))
        return connection

    def release(self, connection: PooledConnection, reply: Reply | None) -> None:
        """Keep a connection for later requests, or close it where it or its server takes none.

        Args:
            connection: The connection.
            reply: The response that was received on it; None for none.
        """
        server = connection.server
        if reply is not None:
            connection.is_used = True
            self._apply_keep_alive(server, reply)
        over_limit = server.open_count > self._limits.get(server.service, server.open_count)
        if not server.ready or not connection.wire.reusable or over_limit:
            connection.wire.close()
            return
        connection.retire_at = self._loop.time() + server.idle_timeout_s
        server.idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _apply_keep_alive(self, server: ServerConnections, reply: Reply) -> None:
        """Take over the idle time-out that a server announces in `Keep-Alive`."""
        text = reply.header(b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(text) if text is not None else None
        if found is not None:
            announced_s = float(found[1])
            server.idle_timeout_s = max(announced_s / 2, announced_s - IDLE_MARGIN_S)

    def _may_open(self) -> bool:
        """Return whether one more connection may be opened, closing the longest idle one where that is needed."""
        return self._open_count < self.max_connections or self._close_longest_idle_of_all()

    def _close_longest_idle_of_all(self) -> bool:
        """Close the connection that has been idle for longest of all; return whether there was one."""
        with_idle = [server for server in self._servers.values() if server.idle]
        if not with_idle:
            return False
        self._close_longest_idle(min(with_idle, key=lambda server: server.idle[0].retire_at))
        return True

    def _on_connection_lost(self, wire: Connection) -> None:
        connection = wire.owner
        if not isinstance(connection, PooledConnection):
            return
        server = connection.server
        if connection in server.idle:
            server.idle.remove(connection)
            self._learn_idle_timeout(server, connection)
        self._uncount(connection)

    def _learn_idle_timeout(self, server: ServerConnections, connection: PooledConnection) -> None:
        """Shorten the idle time-out: the server has closed a connection that was idle for less."""
        idle_for_s = self._loop.time() - (connection.retire_at - server.idle_timeout_s)
        if connection.is_used and server.ready and IDLE_MARGIN_S / 2 < idle_for_s < server.idle_timeout_s:
            server.idle_timeout_s = max(idle_for_s / 2, idle_for_s - IDLE_MARGIN_S)

    def _uncount(self, connection: PooledConnection) -> None:
        if connection.wire.owner is connection:
            connection.wire.owner = None
            self._open_count -= 1
            connection.server.open_count -= 1

    def _sweep(self) -> None:
        """Close what has been idle for too long, safely before the server does.

        A request that crosses the server's close may have been executed, and must then not be repeated.
        """
        now, idle_left = self._loop.time(), False
        for server in self._servers.values():
            idle = server.idle
            while idle and idle[0].retire_at <= now:
                self._close_longest_idle(server)
            idle_left = idle_left or bool(idle)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep) if idle_left else None


def _detect_dead_peer(connected: socket.socket) -> None:
    """Have the kernel end a connection whose peer is gone without closing it."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

"""Pool of connections to model servers: reuse, establishment, keep-alive and limits."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import Counter, deque
from collections.abc import Sequence

from rosechute.configuration.process import split_address
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.turns import TurnQueue
from rosechute.proxy.http1.connection import Connection, Refusal, Reply
from rosechute.routing.counts import Counts
from rosechute.routing.model import ServerEntry

CONNECT_TIMEOUT_S = 0.3  # a healthy server accepts within milliseconds
DEFAULT_IDLE_TIMEOUT_S = 4.0  # for servers that do not send `Keep-Alive: timeout`
IDLE_MARGIN_S = 1.0  # an idle connection is closed this long before the server's time-out, but not before half of it
SWEEP_INTERVAL_S = 0.25  # interval between checks for connections that have been idle for too long
UNACKNOWLEDGED_TIMEOUT_MS = 1500  # TCP_USER_TIMEOUT: limit for unacknowledged bytes
KEEPALIVE_PROBE_INTERVAL_S = 1  # TCP_KEEPIDLE and TCP_KEEPINTVL
KEEPALIVE_PROBES = 2  # TCP_KEEPCNT
ANY_SUCCESS = range(200, 300)
HARMFUL_RESPONSES = "harmful_responses"  # counter name
RESERVED_PLACES_DIVISOR = 8  # this fraction of the connections is for services that have less than it
COSTLY = "costly"  # kind of a response whose reads take several turns of the event loop
MAX_COUNTED_SERVERS = 50
OTHER_SERVERS = "others"
MAX_ERROR_RESPONSE_BYTES = 4 << 20  # body of a response that is not a success
_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,; ])timeout *= *\"?([0-9]{1,6})", re.IGNORECASE)


class PooledConnection:
    """One connection to one server.

    Attributes:
        wire: The HTTP/1.1 connection.
        server: The server that it is connected to.
        retire_at: Steady time in seconds after which the connection, while idle, is not reused.
        is_used: Whether a response has been received on it.
    """

    __slots__ = ("wire", "server", "retire_at", "is_used")

    def __init__(self, wire: Connection, server: ServerConnections) -> None:
        self.wire, self.server = wire, server
        self.retire_at = 0.0
        self.is_used = False


class ServerConnections:
    """One server of the endpoint list and the connections to it.

    Attributes:
        ready: Whether it accepts new requests: it is on the list and is not draining.
        idle: Idle connections, longest idle first.
        open_count: Number of connections that are open or being established.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    __slots__ = ("id", "service", "address", "ready", "idle", "open_count", "idle_timeout_s")

    def __init__(self, service: str, entry: ServerEntry) -> None:
        self.id, self.service, self.address, self.ready = entry.id, service, entry.address, entry.ready
        self.idle: deque[PooledConnection] = deque()
        self.open_count = 0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S


class ConnectionPool:
    """Connections to all servers of the endpoint lists.

    Args:
        loop: The event loop; its clock is the steady time.
        budget: Memory budget for bodies.
        max_connections: Limit of connections to all servers together.

    Attributes:
        budget: Memory budget for bodies.
        counts: Number of harmful responses by server and kind.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, budget: Budget, max_connections: int) -> None:
        self._loop, self.budget = loop, budget
        self.counts = Counts()
        self._harmful_servers: set[str] = set()
        self._turns = TurnQueue()
        self.max_connections = max_connections
        self._servers: dict[str, ServerConnections] = {}
        self._limits: dict[str, int] = {}  # maximum number of connections to each server, by service
        self._open_count = 0
        self._open_by_service: Counter[str] = Counter()
        self._sweep_timer: asyncio.TimerHandle | None = None

    # --- the endpoint list

    def apply(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Apply the complete endpoint list of one service."""
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
        """Remove the servers of a service that is no longer configured."""
        self.apply(service, ())

    def set_server_limit(self, service: str, max_connections: int) -> None:
        """Limit the connections to each server of a service; close idle connections beyond the limit."""
        self._limits[service] = max_connections
        for server in self._servers.values():
            while server.service == service and server.idle and server.open_count > max_connections:
                self._close_longest_idle(server)

    def resize(self, max_connections: int) -> None:
        """Limit the connections to all servers together; close idle connections beyond the limit."""
        self.max_connections = max_connections
        while self._open_count > max_connections and self._close_longest_idle_of_all():
            pass

    def find(self, server_id: str) -> ServerConnections | None:
        """Return the server with this id; None if no endpoint list has it."""
        return self._servers.get(server_id)

    def has_ready_server(self, service: str) -> bool:
        """Return whether a server of this service accepts requests."""
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
        """Close the longest idle connection. It is uncounted at once, though its close takes one loop iteration."""
        connection = server.idle.popleft()
        self._uncount(connection)
        connection.wire.close()

    # --- connections

    def acquire_idle(self, server: ServerConnections) -> PooledConnection | None:
        """Return the longest idle connection that is still usable; None if there is none.

        A connection is usable if nothing is unread on it: neither the server's close nor an unsolicited byte.
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
            OSError: no file descriptor is available, or the server refuses the connection or does not accept it
                within `CONNECT_TIMEOUT_S`.
        """
        if not self._may_open(server.service):
            raise OSError("no file descriptor is available for a connection to a server")
        host, port = split_address(server.address)
        connection = PooledConnection(
            Connection(
                self._on_connection_lost,
                MAX_ERROR_RESPONSE_BYTES,
                budget=self.budget,
                successes=ANY_SUCCESS,
                turns=self._turns,
                observer=self,
            ),
            server,
        )
        connection.wire.owner = connection
        self._open_count += 1
        self._open_by_service[server.service] += 1
        server.open_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(lambda: connection.wire, host, port)
        except BaseException:
            # A cancelled connect must be uncounted, too.
            connection.wire.abort()
            self._uncount(connection)
            raise
        if connection.wire.lost:
            self._uncount(connection)
            raise ConnectionResetError("the server closed the connection as soon as it was established")
        _detect_dead_peer(transport.get_extra_info("socket"))
        return connection

    def release(self, connection: PooledConnection, reply: Reply | None) -> None:
        """Return a connection to the pool, or close it if it is not reusable or its server accepts no requests.

        Args:
            connection: The connection.
            reply: The response that was received on it; None if there was none.
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
        """Apply the idle time-out that a server announces in `Keep-Alive`."""
        text = reply.header(b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(text) if text is not None else None
        if found is not None:
            announced_s = float(found[1])
            server.idle_timeout_s = max(announced_s / 2, announced_s - IDLE_MARGIN_S)

    def _may_open(self, service: str) -> bool:
        """Return whether one more connection may be opened, after closing the longest idle one if necessary.

        The last places are for services that have few, so that the requests of one service do not take all.
        """
        reserved = self.max_connections // RESERVED_PLACES_DIVISOR
        own = self._open_by_service[service]
        limit = self.max_connections if own < reserved else self.max_connections - reserved
        return self._open_count < limit or self._close_longest_idle_of_all()

    def _close_longest_idle_of_all(self) -> bool:
        """Close the longest idle connection of all servers; return whether there was one."""
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

    # --- ResponseObserver

    def on_response_refused(self, wire: Connection, refusal: Refusal) -> None:
        """See `ResponseObserver`."""
        server = _server_id(wire)
        self._count_harmful(server, refusal.value)
        LOG.warning("servers.response_refused", server=server, reason=refusal.value)

    def on_response_costly(self, wire: Connection) -> None:
        """See `ResponseObserver`."""
        server = _server_id(wire)
        self._count_harmful(server, COSTLY)
        LOG.warning("servers.response_costly", server=server)

    def _count_harmful(self, server: str, kind: str) -> None:
        """Count a harmful response; servers beyond a number share one count, as lists name new ones all the time."""
        is_known = server in self._harmful_servers or len(self._harmful_servers) < MAX_COUNTED_SERVERS
        counted = server if is_known else OTHER_SERVERS
        self._harmful_servers.add(counted)
        self.counts.add(HARMFUL_RESPONSES, f"{counted} {kind}")

    def _learn_idle_timeout(self, server: ServerConnections, connection: PooledConnection) -> None:
        """Shorten the idle time-out after the server has closed a connection that was idle for less."""
        idle_for_s = self._loop.time() - (connection.retire_at - server.idle_timeout_s)
        if connection.is_used and server.ready and IDLE_MARGIN_S / 2 < idle_for_s < server.idle_timeout_s:
            server.idle_timeout_s = max(idle_for_s / 2, idle_for_s - IDLE_MARGIN_S)

    def _uncount(self, connection: PooledConnection) -> None:
        if connection.wire.owner is connection:
            connection.wire.owner = None
            self._open_count -= 1
            self._open_by_service[connection.server.service] -= 1
            connection.server.open_count -= 1

    def _sweep(self) -> None:
        """Close connections that have been idle for too long, well before the server does.

        A request that is sent while the server closes the connection may have been executed, so that it may not be
        retried.
        """
        now, idle_left = self._loop.time(), False
        for server in self._servers.values():
            idle = server.idle
            while idle and idle[0].retire_at <= now:
                self._close_longest_idle(server)
            idle_left = idle_left or bool(idle)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep) if idle_left else None


def _detect_dead_peer(connected: socket.socket) -> None:
    """Have the kernel end a connection whose peer has disappeared without closing it."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _server_id(wire: Connection) -> str:
    """Return the id of the server of a connection; empty if the connection is no longer counted."""
    return wire.owner.server.id if isinstance(wire.owner, PooledConnection) else ""

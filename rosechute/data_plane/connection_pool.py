"""Connections to servers: the idle ones of each, new ones, and when one is left alone or closed."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Sequence

from hollyport.core.flow import Budget
from hollyport.http1.connection import Connection, Reply
from rosechute.configuration.process import split_address
from rosechute.routing.model import ServerEntry

CONNECT_S = 0.3  # within which a connection must come up; a server that is up takes milliseconds
IDLE_S = 4.0  # for how long an idle connection is kept where the server does not say how long it keeps it
IDLE_MARGIN_S = 1.0  # before the end of that time; half of it where it is shorter than twice this
SWEEP_S = 0.25
SILENT_PEER_MS = 1500  # what is written and not acknowledged for so long ends the connection
PROBE_S = 1  # between the kernel's probes of a connection on which nothing comes
PROBES = 2
ANY_SUCCESS = range(200, 300)
MOST_ANSWER = 4 << 20  # bytes of an answer that is no success
_TIMEOUT = re.compile(rb"(?:^|[,; ])timeout *= *\"?([0-9]{1,6})", re.IGNORECASE)


class Link:
    """One connection to one server."""

    __slots__ = ("wire", "server", "retire_at", "used")

    def __init__(self, wire: Connection, server: Server) -> None:
        self.wire, self.server = wire, server
        self.retire_at = 0.0  # steady time from which an idle one is not used any more
        self.used = False  # whether a request has been answered on it


class Server:
    """One server and the connections to it."""

    __slots__ = ("id", "service", "address", "ready", "idle", "links", "idle_s")

    def __init__(self, service: str, entry: ServerEntry) -> None:
        self.id, self.service, self.address, self.ready = entry.id, service, entry.address, entry.ready
        self.idle: deque[Link] = deque()  # the one that has rested longest first
        self.links = 0  # connections that are open or coming up
        self.idle_s = IDLE_S


class Servers:
    """All servers of the list, and the connections to them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, budget: Budget, most: int) -> None:
        self._loop, self._budget = loop, budget
        self.most = most  # connections to all servers together
        self._servers: dict[str, Server] = {}
        self._shares: dict[str, int] = {}  # connections to each server of a service
        self._open = 0
        self._sweeping: asyncio.TimerHandle | None = None

    # --- the list

    def apply(self, service: str, entries: Sequence[ServerEntry]) -> None:
        """Take over the whole list of one service."""
        named = {entry.id for entry in entries}
        for server in [s for s in self._servers.values() if s.service == service and s.id not in named]:
            self._forget(server)
        for entry in entries:
            known = self._servers.get(entry.id)
            if known is not None and (known.address != entry.address or known.service != service):
                self._forget(known)
                known = None
            if known is None:
                self._servers[entry.id] = Server(service, entry)
            else:
                known.ready = entry.ready
                if not entry.ready:
                    self._close_idle(known)

    def forget_service(self, service: str) -> None:
        """A service has left the configuration."""
        self.apply(service, ())

    def share(self, service: str, most: int) -> None:
        """So many connections may be open to each server of this service."""
        self._shares[service] = most
        for server in self._servers.values():
            while server.service == service and server.idle and server.links > most:
                self._retire(server)

    def resize(self, most: int) -> None:
        """So many connections may be open to all servers together; those that rest give way."""
        self.most = most
        while self._open > most and self._rest_ends():
            pass

    def find(self, server_id: str) -> Server | None:
        """The server with this id, if the list has it."""
        return self._servers.get(server_id)

    def any_of(self, service: str) -> bool:
        """Whether the list has a server of this service that takes requests."""
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

    def _forget(self, server: Server) -> None:
        server.ready = False
        self._close_idle(server)
        if self._servers.get(server.id) is server:
            del self._servers[server.id]

    def _close_idle(self, server: Server) -> None:
        while server.idle:
            self._retire(server)

    def _retire(self, server: Server) -> None:
        """Close the connection that has rested longest. It counts no more, though its end takes a turn."""
        link = server.idle.popleft()
        self._uncount(link)
        link.wire.close()

    # --- connections

    def take(self, server: Server) -> Link | None:
        """The idle connection that has rested longest, of those that are still good: nothing unread on it, neither
        an end nor a stray byte."""
        now = self._loop.time()
        while server.idle:
            link = server.idle.popleft()
            if link.retire_at > now and link.wire.silent():
                return link
            self._uncount(link)
            link.wire.close()
        return None

    async def connect(self, server: Server) -> Link:
        """A new connection; raises OSError where none comes up in time."""
        if not self._has_room():
            raise OSError("no descriptor is left for servers")
        host, port = split_address(server.address)
        link = Link(
            Connection(
                self._lost,
                MOST_ANSWER,
                budget=self._budget,
                successes=ANY_SUCCESS,
            ),
            server,
        )
        link.wire.owner = link
        self._open += 1
        server.links += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                transport, _ = await self._loop.create_connection(lambda: link.wire, host, port)
        except BaseException:
            link.wire.abort()
            self._uncount(link)
            raise
        if link.wire.lost:
            self._uncount(link)
            raise ConnectionResetError("closed as soon as it was up")
        _watch_peer(transport.get_extra_info("socket"))
        return link

    def release(self, link: Link, reply: Reply | None) -> None:
        """Keep a connection for later, unless it or its server is done with; `reply` is what was answered on it."""
        server = link.server
        if reply is not None:
            link.used = True
            self._heed(server, reply)
        too_many = server.links > self._shares.get(server.service, server.links)
        if not server.ready or not link.wire.reusable or too_many:
            link.wire.close()
            return
        link.retire_at = self._loop.time() + server.idle_s
        server.idle.append(link)
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    def _heed(self, server: Server, reply: Reply) -> None:
        """How long the server keeps a connection that rests."""
        text = reply.header(b"keep-alive")
        found = _TIMEOUT.search(text) if text is not None else None
        if found is not None:
            kept = float(found[1])
            server.idle_s = max(kept / 2, kept - IDLE_MARGIN_S)

    def _has_room(self) -> bool:
        """Whether one more connection may be opened; the one that has rested longest gives way to it."""
        return self._open < self.most or self._rest_ends()

    def _rest_ends(self) -> bool:
        """Close the connection that has rested longest of all; whether there is one."""
        resting = [server for server in self._servers.values() if server.idle]
        if not resting:
            return False
        self._retire(min(resting, key=lambda server: server.idle[0].retire_at))
        return True

    def _lost(self, wire: Connection) -> None:
        link = wire.owner
        if not isinstance(link, Link):
            return
        server = link.server
        if link in server.idle:
            server.idle.remove(link)
            self._learn(server, link)
        self._uncount(link)

    def _learn(self, server: Server, link: Link) -> None:
        """The server has closed an idle connection: it keeps them for no longer than this one had rested."""
        rested = self._loop.time() - (link.retire_at - server.idle_s)
        if link.used and server.ready and IDLE_MARGIN_S / 2 < rested < server.idle_s:
            server.idle_s = max(rested / 2, rested - IDLE_MARGIN_S)

    def _uncount(self, link: Link) -> None:
        if link.wire.owner is link:
            link.wire.owner = None
            self._open -= 1
            link.server.links -= 1

    def _sweep(self) -> None:
        """Close what has rested for long, safely before the server does: a request that crosses the server's close
        may have run."""
        now, left = self._loop.time(), False
        for server in self._servers.values():
            idle = server.idle
            while idle and idle[0].retire_at <= now:
                self._retire(server)
            left = left or bool(idle)
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep) if left else None


def _watch_peer(made: socket.socket) -> None:
    """Have the kernel end a connection whose peer is gone without a word."""
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)

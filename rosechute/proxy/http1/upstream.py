"""Connection pools to the servers, and exchanges of requests and responses over them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rosechute.load_balancing.interface import How
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.flow import Body, Budget, Sink
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.turns import TurnQueue
from rosechute.proxy.http1.connection import Begin, Connection, Refusal, Reply, Wrote
from rosechute.proxy.http1.pool import Demand, PreconnectTerms

OK = How.OK
# Errors of a connect that are caused by a lack of local resources, not by the server.
LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
SWEEP_INTERVAL_S = 1.0  # interval of the checks for expired idle connections
# Share of the connection limit up to which connections are opened ahead; the rest is for calls.
PRECONNECT_SHARE = 0.5
# Share of the servers' idle timeout after which a connection is closed, as a burst leaves many idle ones.
IDLE_SHARE = 0.4


class ServerPool:
    """Pool of connections to one process of one server.

    Attributes:
        address: The server's address.
        started_ns: Start time of the process, which identifies it.
        up: Whether the server takes requests.
        idle: Idle connections, the most recently used one last.
        quiet_count: Number of connections at the front of `idle` whose quiet time had passed at the last check.
        open_count: Number of open connections, idle or not.
        opening: Number of connections being opened.
        preconnect_task: The task that opens a connection ahead of calls.
        demand: Recent calls to this process.
    """

    __slots__ = (
        "address",
        "started_ns",
        "up",
        "idle",
        "quiet_count",
        "open_count",
        "opening",
        "preconnect_task",
        "demand",
    )

    def __init__(self, address: Address, started_ns: int, up: bool) -> None:
        self.address, self.started_ns, self.up = address, started_ns, up
        self.idle: list[Connection] = []
        self.quiet_count = 0
        self.open_count = 0
        self.opening = 0
        self.preconnect_task: asyncio.Task[None] | None = None
        self.demand = Demand()


Ended = Callable[[How, "Reply | None"], None]  # called with the outcome and the response of an exchange
# Quiet time of a connection after a response: a faulty second response may arrive some milliseconds late.
QUIET_TIME_S = 0.01
PROGRESS_CHECK_S = 2.0  # interval of the checks whether a streamed body makes progress
STALL_TIMEOUT_S = 10.0  # time without any progress after which a streamed body is given up; peers may take seconds


@dataclass(slots=True)
class StreamCallbacks:
    """Streamed body and callbacks of an exchange whose request or response may be streamed."""

    body: Body | None  # streamed body of the request
    begin: Begin  # returns the sink for a streamed response
    is_wanted: Callable[[], bool]  # returns, before the first byte is written, whether the request is still wanted
    on_written: Wrote  # called once the last byte is written
    on_quiet_time: Callable[[], None]  # called if the exchange has waited for the quiet time of its connection
    remaining_s: Callable[[], float]  # returns the seconds until the exchange is given up, once all is written


class Exchange:
    """One request to one server.

    It is written at most once, on one connection, and `on_ended` is called exactly once.

    Args:
        upstream: The pools of connections.
        pool: The pool of the server.
        encode: Returns the encoded request, without a streamed body.
        limit_s: Seconds until the exchange is given up; with a streamed body, until it has a connection.
        on_ended: Called with the outcome and the response.
        callbacks: Streamed body and callbacks.
    """

    def __init__(
        self,
        upstream: Upstream,
        pool: ServerPool,
        encode: Callable[[], bytes],
        limit_s: float,
        on_ended: Ended,
        callbacks: StreamCallbacks | None = None,
    ) -> None:
        self._upstream, self._pool, self._encode, self._on_ended = upstream, pool, encode, on_ended
        self._callbacks = callbacks
        self._is_streaming = False
        self._loop = upstream.loop
        self._deadline = self._loop.time() + limit_s
        self._connection: Connection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._quiet_connection: Connection | None = None  # taken from the pool; its quiet time has not passed
        self._written_at = 0.0  # when the request was written
        self._is_ended = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Write to an idle connection once its quiet time has passed, or to a new one once it is open."""
        if self._deadline <= self._loop.time():
            self._end(How.MOOT)
            return
        connection = self._upstream.take_idle(self._pool)
        if connection is None:
            self._open_connection()
            return
        quiet_s = connection.idle_since + QUIET_TIME_S - self._loop.time()
        if quiet_s <= 0.0:
            self._write(connection)
        else:
            self._quiet_connection = connection
            self._timer = self._loop.call_later(quiet_s, self._on_quiet_time_over)

    def _on_quiet_time_over(self) -> None:
        """Use the connection if nothing arrived on it in its quiet time; otherwise open another one."""
        connection, self._quiet_connection = self._quiet_connection, None
        assert connection is not None
        if not self._pool.up or self._loop.time() >= self._deadline:
            self._upstream.return_unused(self._pool, connection)
            self._end(How.MOOT)
        elif connection.silent():
            if self._callbacks is not None:
                self._callbacks.on_quiet_time()
            self._write(connection)
        else:
            connection.close()
            self._open_connection()

    def _open_connection(self) -> None:
        """Open a new connection, if the limit allows it."""
        if not self._upstream.make_room():
            self._end(How.MOOT)  # a lack of descriptors here says nothing about the server
        else:
            # A connection that opens after the deadline of its call still goes to the pool: its cost is spent.
            self._timer = self._loop.call_later(self._deadline - self._loop.time(), self._end, How.MOOT)
            self._connecting = self._loop.create_task(self._connect())

    def cancel(self) -> None:
        """Stop waiting for the response; a request that was fully written may have been executed."""
        ran = self._connection is not None and self._connection.written
        self._end(How.CANCELLED if ran else How.MOOT)

    def withdraw(self) -> None:
        """End the exchange unless its request is fully written.

        A connection being opened still goes to the pool, as its cost is already spent.
        """
        if self._connection is None or not self._connection.written:
            self._end(How.MOOT)

    def pause(self) -> None:
        """Pause the streamed response."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Resume the streamed response."""
        if self._connection is not None:
            self._connection.resume()

    async def _connect(self) -> None:
        """Open a connection and write the request to it."""
        pool, address = self._pool, self._pool.address
        pool.opening += 1
        try:
            connection = await self._upstream.connect(address)
            self._upstream.register(pool, connection)
        except OSError as error:
            # A lack of local descriptors, ports or memory says nothing about the server.
            self._end(How.MOOT if error.errno in LOCAL_RESOURCE_ERRNOS else How.CONNECT_FAILED)
            return
        except Exception:
            # Whatever went wrong, the attempt needs an outcome, or its request would wait for it forever.
            LOG.error("servers.connect_broken", exc_info=True)
            self._end(How.CONNECT_FAILED)
            return
        finally:
            pool.opening -= 1
        if self._is_ended:
            self._upstream.add_idle(pool, connection)
        elif not pool.up or pool.address != address or self._loop.time() >= self._deadline:
            # While the connection was being opened, the server may have begun to drain or the deadline may have
            # passed. Check again before the first byte, from which on the request counts as sent.
            self._upstream.add_idle(pool, connection)
            self._end(How.MOOT)
        elif not connection.silent():
            connection.close()  # unsolicited data could be taken for the response
            self._end(How.CONNECT_FAILED)
        else:
            self._write(connection)

    def _write(self, connection: Connection) -> None:
        """Write the request, if it is still wanted, and start its timeout."""
        if self._timer is not None:
            self._timer.cancel()
        callbacks = self._callbacks
        if callbacks is not None and not callbacks.is_wanted():
            self._upstream.return_unused(self._pool, connection)
            self._end(How.MOOT)
            return
        self._connection = connection
        self._written_at = self._loop.time()
        if callbacks is None:
            connection.send(self._encode(), self._on_reply)
        else:
            connection.send(self._encode(), self._on_reply, self._on_written, callbacks.body, self._on_response_begun)
        if not self._is_ended and (callbacks is None or callbacks.body is None):
            self._timer = self._loop.call_later(self._deadline - self._loop.time(), self._on_timeout)
        elif not self._is_ended and not connection.written:
            self._check_progress(connection, -1, 0.0)

    def _on_written(self) -> None:
        """Start the timeout of the response once a streamed body is fully written."""
        callbacks = self._callbacks
        assert callbacks is not None
        callbacks.on_written()
        if callbacks.body is not None and not self._is_streaming:
            # The client's deadline counts from the last byte of its request, however long the body took.
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_later(max(0.0, callbacks.remaining_s()), self._on_timeout)

    def _on_response_begun(self, reply: Reply, length: int | None) -> Sink | None:
        """Start streaming the response, which from here on only has to make progress."""
        assert self._callbacks is not None and self._connection is not None
        if not self._connection.written:
            return None  # a response ahead of the end of its request is not trusted enough to stream it
        self._is_streaming = True
        sink = self._callbacks.begin(reply, length)
        if sink is not None:
            self._check_progress(self._connection, -1, 0.0)
        return sink

    def _check_progress(self, connection: Connection, previous_progress: int, changed_at: float) -> None:
        """End the exchange if its streamed body makes no progress, whichever side is the cause."""
        if self._is_ended or connection is not self._connection:
            return
        now, moved = self._loop.time(), connection.progress
        if moved == previous_progress and now - changed_at >= STALL_TIMEOUT_S:
            self._on_timeout()
            return
        if moved != previous_progress:
            changed_at = now
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(PROGRESS_CHECK_S, self._check_progress, connection, moved, changed_at)

    def _on_timeout(self) -> None:
        """End the exchange because its time is over."""
        # A request that was not fully written can't have been executed: servers begin after its last byte.
        assert self._connection is not None
        self._end(How.TIMEOUT if self._connection.written else How.CONNECT_FAILED)

    def _on_reply(self, reply: Reply | None) -> None:
        """End the exchange with the outcome of a response or a failed connection."""
        connection, self._connection = self._connection, None
        assert connection is not None
        if not connection.answered and (reply is None or outcome(reply) is How.FULL):
            self._pool.demand.record_failure(self._loop.time())
        if reply is None:
            if not connection.written:
                self._end(How.CONNECT_FAILED)
            else:
                # Unlike a reset, an invalid response says nothing about the server's health. It counts as a
                # cancellation on this side of a request that has been executed.
                self._end(How.CANCELLED if connection.is_response_invalid else How.RESET)
            return
        how = outcome(reply)
        if connection.written:
            self._upstream.return_answered(self._pool, connection, self._written_at)
        else:
            # Answered before the request was fully written; the rest of it would follow on the connection. Servers
            # begin after the last byte, so nothing has been executed, and a successful response can only belong to
            # another request.
            connection.abort()
            if how is not How.FULL:
                self._end(How.CONNECT_FAILED)
                return
        self._end(how, reply)

    def _end(self, how: How, reply: Reply | None = None) -> None:
        """End the exchange, unless it has ended already."""
        if self._is_ended:
            return
        self._is_ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._quiet_connection is not None:
            self._upstream.return_unused(self._pool, self._quiet_connection)
            self._quiet_connection = None
        if self._connection is not None:
            self._connection.forget()
            self._connection.abort()
            self._connection = None
        self._on_ended(how, reply)


def outcome(reply: Reply) -> How:
    """Return the outcome of an attempt by its response.

    Only an explicit `X-Not-Processed` header means that the request was not executed.
    """
    if reply.status == 200:
        return OK
    if reply.status in (503, 504) and reply.header(b"x-not-processed") == b"1":
        return How.FULL
    return How.ERROR


class Upstream:
    """The pools of connections to all listed servers.

    Args:
        loop: The event loop.
        connect_timeout_ns: Limit of the time to open a connection.
        idle_ns: The servers' idle timeout.
        max_connections: Limit of the number of connections.
        stall_s: Seconds for which a response may pause; 0 for no limit.
        budget: Memory budget for bodies.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ns: int,
        idle_ns: int,
        max_connections: int,
        stall_s: float = 0.0,
        budget: Budget | None = None,
    ) -> None:
        self.loop = loop
        self._budget = budget
        self._turns = TurnQueue()
        self.max_connections = max_connections
        self.adjust(connect_timeout_ns, idle_ns, stall_s)
        self._connections: set[Connection] = set()
        self._opening = 0
        self._pools: dict[str, ServerPool] = {}
        self._preconnect_terms = PreconnectTerms.of({})
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def adjust(self, connect_timeout_ns: int, idle_ns: int, stall_s: float) -> None:
        """Change the limits; open connections keep the former ones."""
        self.connect_timeout_s = connect_timeout_ns / 1e9
        self._idle_s = idle_ns / 1e9 * IDLE_SHARE
        self._stall_s = stall_s

    def set_prices(self, prices: Mapping[str, float]) -> None:
        """Set the deployment's prices, by which connections are opened ahead."""
        self._preconnect_terms = PreconnectTerms.of(prices)

    def resize(self, max_connections: int) -> None:
        """Change the connection limit; close surplus idle connections."""
        self.max_connections = max_connections
        for pool in self._pools.values():
            while pool.idle and len(self._connections) > max_connections:
                connection = pool.idle.pop(0)
                self._connections.discard(connection)
                connection.close()

    # --- the list

    def update(self, name: str, address: Address, started_ns: int, up: bool) -> None:
        """Apply one entry of the server list. A new process or address gets a new pool."""
        pool = self._pools.get(name)
        if pool is None:
            self._pools[name] = ServerPool(address, started_ns, up)
        elif pool.address != address or pool.started_ns != started_ns:
            self._retire(pool)
            self._pools[name] = ServerPool(address, started_ns, up)
        else:
            pool.up = up
            if not up:
                self._retire(pool)

    def keep_only(self, names: set[str]) -> None:
        """Remove the servers that are not in a complete list."""
        for name in self._pools.keys() - names:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Remove a server and its pool; deployments introduce new names all the time."""
        pool = self._pools.pop(name, None)
        if pool is not None:
            self._retire(pool)

    def any_up(self) -> bool:
        """Return whether any listed server takes requests."""
        return any(pool.up for pool in self._pools.values())

    def _retire(self, pool: ServerPool) -> None:
        """Mark a pool as down and close its idle connections."""
        pool.up = False
        self._close_idle(pool)

    @staticmethod
    def _close_idle(pool: ServerPool) -> None:
        """Close the idle connections of a pool."""
        while pool.idle:
            pool.idle.pop().close()

    # --- exchanges

    def exchange(
        self,
        name: str,
        encode: Callable[[], bytes],
        limit_s: float,
        on_ended: Ended,
        callbacks: StreamCallbacks | None = None,
    ) -> Exchange | None:
        """Create an exchange, which the caller starts; return `None` if the server is not listed.

        The arguments are those of `Exchange`.
        """
        pool = self._pools.get(name)
        return Exchange(self, pool, encode, limit_s, on_ended, callbacks) if pool is not None else None

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server."""
        pool = self._pools.get(name)
        if pool is not None:
            self._close_idle(pool)

    # --- connections

    def take_idle(self, pool: ServerPool) -> Connection | None:
        """Take an idle connection from the pool; return `None` if there is no usable one.

        Of those whose quiet time has passed, the most recently used one is taken, so that the others can expire.
        Otherwise it is the one whose quiet time ends first.

        The quiet time protects requests from the responses to earlier ones. Late data on an idle connection closes
        it. Once the next request is written, late data could not be distinguished from its response.
        """
        now = self.loop.time()
        pool.demand.record_call(now)
        idle = pool.idle
        while idle:
            # Ordered by the start of the quiet time. The boundary is updated, as any connection may have been
            # removed since the last call.
            quiet_count, size = pool.quiet_count, len(idle)
            while quiet_count < size and idle[quiet_count].idle_since + QUIET_TIME_S <= now:
                quiet_count += 1
            while quiet_count > 0 and (quiet_count > size or idle[quiet_count - 1].idle_since + QUIET_TIME_S > now):
                quiet_count -= 1
            pool.quiet_count = at = max(0, quiet_count - 1)
            connection = idle.pop(at)
            if connection.idle_since > now - self._idle_s and connection.silent():
                if not at:
                    self._maybe_preconnect(pool, now)
                return connection
            connection.close()
        return None

    def return_answered(self, pool: ServerPool, connection: Connection, written_at: float) -> None:
        """Return a connection to the pool whose request was written at `written_at` and has been answered now."""
        pool.demand.record_duration(self.loop.time() - written_at)
        connection.answered = True
        self.add_idle(pool, connection)

    def add_idle(self, pool: ServerPool, connection: Connection) -> None:
        """Add a connection to the pool, or close it if it can't be used again or its server is down.

        A new connection gets a quiet time, too: a server at its connection limit accepts and closes, and a request
        that crosses this close may count as executed.
        """
        if pool.up and connection.reusable:
            connection.idle_since = self.loop.time()
            pool.idle.append(connection)
        else:
            connection.close()

    def return_unused(self, pool: ServerPool, connection: Connection) -> None:
        """Return an unused connection to its former place in the pool; its quiet time goes on.

        The quiet time of a new connection starts.
        """
        if not connection.idle_since or not pool.up or not connection.reusable:
            self.add_idle(pool, connection)
            return
        at = len(pool.idle)
        while at > 0 and pool.idle[at - 1].idle_since > connection.idle_since:
            at -= 1
        pool.idle.insert(at, connection)

    def _maybe_preconnect(self, pool: ServerPool, now: float) -> None:
        """Open a connection ahead if the rate of calls justifies it: the last one past its quiet time was taken.

        Only one is opened at a time, and no other connection is closed to make room for it.
        """
        open_count = pool.open_count + pool.opening
        if (
            pool.preconnect_task is None
            and len(self._connections) + self._opening < self.max_connections * PRECONNECT_SHARE
            and (pool.demand.should_open(now, pool.up, open_count, QUIET_TIME_S, self._preconnect_terms))
        ):
            pool.preconnect_task = self.loop.create_task(self._preconnect(pool))

    async def _preconnect(self, pool: ServerPool) -> None:
        """Open a connection ahead of calls."""
        pool.opening += 1
        try:
            connection = await self.connect(pool.address)
            self.register(pool, connection)
        except OSError:
            # Does not count as a failure of the server, as no call needed this connection.
            pool.demand.record_failure(self.loop.time())
            return
        except Exception:
            LOG.error("servers.connect_broken", exc_info=True)
            pool.demand.record_failure(self.loop.time())
            return
        finally:
            pool.opening -= 1
            pool.preconnect_task = None
        self.add_idle(pool, connection)

    def make_room(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close the longest idle one for it."""
        if len(self._connections) + self._opening < self.max_connections:
            return True
        idle = [(c.idle_since, t) for t in self._pools.values() for c in t.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda pair: pair[0])[1].idle.pop(0).abort()
        return True

    def register(self, pool: ServerPool, connection: Connection) -> None:
        """Count an open connection to a process."""
        if not connection.lost:
            connection.owner = pool
            pool.open_count += 1

    async def connect(self, address: Address) -> Connection:
        """Open a connection within the connect timeout.

        Raises:
            OSError: The connection could not be opened in time.
        """
        connection = Connection(
            self._on_lost, stall_s=self._stall_s, budget=self._budget, turns=self._turns, observer=self
        )
        self._opening += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, address.host, address.port)
        except BaseException:
            connection.abort()  # it may have been opened at the moment of the timeout
            raise
        finally:
            self._opening -= 1
        if not connection.lost:  # `_on_lost` was already called for a lost one, which would stay in the set forever
            self._connections.add(connection)
        return connection

    def _on_lost(self, connection: Connection) -> None:
        """Remove a lost connection from its pool."""
        self._connections.discard(connection)
        pool = connection.owner
        if not isinstance(pool, ServerPool):
            return
        connection.owner = None
        pool.open_count -= 1
        if connection in pool.idle:
            pool.idle.remove(connection)
            if not connection.answered:
                pool.demand.record_failure(self.loop.time())

    # --- ResponseObserver

    def on_response_refused(self, connection: Connection, refusal: Refusal) -> None:
        """See `ResponseObserver`."""
        LOG.warning("servers.response_refused", server=_server_address(connection), reason=refusal.value)

    def on_response_costly(self, connection: Connection) -> None:
        """See `ResponseObserver`."""
        LOG.warning("servers.response_costly", server=_server_address(connection))

    def _sweep(self) -> None:
        """Close connections that have been idle for long, well before the server does.

        A request that crosses the server's close ends with a reset, and may have been executed.
        """
        oldest = self.loop.time() - self._idle_s
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since <= oldest:
                pool.idle.pop(0).close()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def _server_address(connection: Connection) -> str:
    """Return the address of the server of a connection; empty if it is no longer in a pool."""
    pool = connection.owner
    return f"{pool.address.host}:{pool.address.port}" if isinstance(pool, ServerPool) else ""

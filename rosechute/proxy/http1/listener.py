"""The listening socket: acceptance of connections, and rules for closing them."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rosechute.proxy.core.address import Address
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.process_memory import unread_bytes
from rosechute.proxy.core.receive_buffers import MIN_RECEIVE_BUFFER_BYTES
from rosechute.proxy.core.shedding import Holding, who_gives_way, who_makes_room
from rosechute.proxy.core.turns import TurnQueue
from rosechute.proxy.http1.client import ClientConnection, ConnectionLimits, Queue, Service

BACKLOG = 1024  # connections in the kernel's listen queue
ACCEPT_BATCH = 64  # connections accepted per turn of the event loop, so that a flood does not block other work
SWEEP_INTERVAL_S = 0.2  # interval of the checks for expired connections
ACCEPT_PAUSE_S = 0.02  # pause before the next accept when the connection limit is reached
MAX_CLOSING = 4  # connections that may be closing at a time to make room; their descriptors are not free yet
RESERVED_DESCRIPTORS = 8  # descriptors left to others after an accept failed because none was free
REDUCED_LIMIT_S = 1.0  # for how long they are left to others, who retry within this time
FIRST_BYTE_TIMEOUT_S = 2.1  # how long a new connection may send nothing; 2 s are guaranteed
KEEP_ALIVE_TIMEOUT_S = 30.0  # keep-alive timeout between requests
LINGER_TIMEOUT_S = 2.0  # how long input is still read after the last response on a connection
DISCONNECT_POLL_S = 0.05  # interval of the polls for disconnects of clients from which reading is paused
# From the start of a drain to the first close of idle connections; new connections stop after about 0.3 s.
DRAIN_DELAY_S = 0.4
DRAIN_INTERVAL_S = 0.05  # interval at which idle connections are closed after that
EVICT_IDLE_S = 2.0  # idle time after which a connection may be closed to make room
# When the connection limit is reached, a connection that has sent nothing may be closed after a much shorter time:
# an ordinary client sends as soon as it is connected, so that its data would have arrived by then.
EVICT_SILENT_S = 0.1
EVICT_IDLE_LAST_RESORT_S = 0.5  # the same for an idle connection, if no other connection can be closed
EVICT_STALLED_S = 0.3  # the same for a connection that has stopped in the middle of a request
# The same, if nothing else can be closed, for one whose request is being forwarded or that does not read.
EVICT_FORWARDED_S = 1.0
MAX_DEFERRED = 32  # finely chunked bodies that may wait for a turn; further ones are refused
STREAMED_BODIES_DIVISOR = 4  # bodies that are forwarded while they arrive may use this fraction of the connections


@dataclass(slots=True)
class ListenerTimeouts:
    """Timeouts of connections on which no response is due. The defaults are the sidecar's.

    Attributes:
        first_byte_s: Seconds for which a new connection may send nothing.
        keep_alive_s: Seconds for which a connection is kept open between requests.
        drain_delay_s: Seconds from the start of a drain to the first close of idle connections.
        head_timeout_from_connect: Whether the time limit of the first request's head starts at the connect instead of
            the first byte.
    """

    first_byte_s: float = field(default_factory=lambda: FIRST_BYTE_TIMEOUT_S)
    keep_alive_s: float = field(default_factory=lambda: KEEP_ALIVE_TIMEOUT_S)
    drain_delay_s: float = field(default_factory=lambda: DRAIN_DELAY_S)
    head_timeout_from_connect: bool = True


class Listener:
    """The listening socket and all connections accepted from it.

    A connection is in at most one of the queues, which are ordered by time of entry, and in none while a response
    is due.

    Args:
        service: Handler of the requests.
        max_connections: Limit of the number of connections.
        keep_alive_limit: Number of connections above which connections close after a response.
        budget: Memory budget for bodies.
        limits: Limits on requests; the sidecar's by default.
        times: Timeouts of idle connections; the sidecar's by default.
    """

    def __init__(
        self,
        service: Service,
        max_connections: int,
        keep_alive_limit: int,
        budget: Budget,
        limits: ConnectionLimits | None = None,
        times: ListenerTimeouts | None = None,
    ) -> None:
        self.service = service
        self.limits = limits or ConnectionLimits()
        self.times = times or ListenerTimeouts()
        self.budget = budget
        self.max_connections = self._configured_limit = max_connections
        self._keep_alive_limit = keep_alive_limit
        self._evicted: set[ClientConnection] = set()  # closing to make room
        self._turns = TurnQueue()
        self.shed_total = 0  # connections that gave way since the start
        self._is_accept_paused = False
        self._restore_timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.draining = False
        self.accepting = False
        self.connections: set[ClientConnection] = set()
        self.new: Queue = {}  # nothing received yet
        self.receiving: Queue = {}  # receiving a request
        self.idle: Queue = {}  # idle between requests
        self.readiness_only: Queue = {}  # idle, and only readiness has been requested
        self.lingering: Queue = {}  # closing after the last response
        self.paused: set[ClientConnection] = set()  # reading is paused
        self.forwarding: set[ClientConnection] = set()  # forwarding a body that is still arriving
        self._is_polling = False  # the poll for disconnects of these is scheduled
        self._opening: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def listen(self, loop: asyncio.AbstractEventLoop, address: Address, inherited: int | None) -> int:
        """Use the inherited listening socket, or else bind one; return the port. Does not accept connections yet.

        Args:
            loop: The event loop.
            address: Host and port to bind.
            inherited: File descriptor of a listening socket that the platform has passed to the process.
        """
        self._loop = loop
        if inherited is not None:
            self._socket = socket.socket(fileno=inherited)
        else:
            family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
            self._socket = socket.create_server(tuple(address), family=family, backlog=BACKLOG)
        # Connections inherit this size, and those in the listen queue receive, too.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return int(self._socket.getsockname()[1])

    def start_accepting(self) -> None:
        """Start to accept connections."""
        if self._socket is not None and self._loop is not None and not self.accepting:
            self.accepting = True
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def stop_accepting(self) -> None:
        """Stop accepting connections and close this process's descriptor of the socket.

        Queued connections are left to other processes that hold the socket. It is not shut down, as that would
        affect all of them.
        """
        if self._socket is not None and self._loop is not None:
            self.accepting = False
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def resize(self, max_connections: int, keep_alive_limit: int) -> None:
        """Change the limits on connections; close surplus connections, as far as that is possible.

        Args:
            max_connections: Limit of the number of connections.
            keep_alive_limit: Number of connections above which connections close after a response.
        """
        self.max_connections, self._configured_limit, self._keep_alive_limit = (
            max_connections,
            max_connections,
            keep_alive_limit,
        )
        while self._loop is not None and len(self.connections) > max_connections and self._evict():
            pass

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.stopping = True

    def drain(self, enabled: bool) -> None:
        """Start or end a drain: close connections after their next response, and close idle connections.

        Has no effect if the drain is already in the requested state.
        """
        assert self._loop is not None
        if enabled and not self.draining:
            self._loop.call_later(self.times.drain_delay_s, self._close_idle)
        self.draining = enabled

    def _close_idle(self) -> None:
        """Close idle connections repeatedly: clients open new ones until they learn that this process drains."""
        if not self.draining or self._loop is None:
            return
        now = self._loop.time()
        for queue in (self.new, self.readiness_only, self.idle):
            for connection in _entered_before(queue, now - EVICT_SILENT_S):
                if connection.has_no_unread_data():
                    connection.close()
        self._loop.call_later(DRAIN_INTERVAL_S, self._close_idle)

    def is_keep_alive_disabled(self) -> bool:
        """Return whether each response is the last one on its connection."""
        return self.stopping or self.draining

    def close(self) -> None:
        """Stop listening and close idle connections.

        Connections in the kernel's listen queue are accepted first. If the limit does not allow that for all of
        them, this has to be called again.
        """
        while self.accepting and self._ensure_room():
            taken = self._accept_one()
            if taken is False:
                self.stop_accepting()  # only with an empty queue: a close of the socket resets queued connections
            if not taken:
                break
        assert self._loop is not None
        # A new connection is about to send a request, which would fail if the connection closed without a response.
        for connection in [
            *_entered_before(self.new, self._loop.time() - EVICT_SILENT_S),
            *self.readiness_only,
            *self.idle,
        ]:
            if connection.has_no_unread_data():
                connection.close()

    def busy(self) -> bool:
        """Return whether a response is due or not fully sent, or a request may be unread."""
        if self.accepting or self._opening or len(self.connections) > len(self.lingering):
            return True
        return self.sending()

    def sending(self) -> bool:
        """Return whether a response is not fully sent because its client reads slowly."""
        return any(connection.sending() for connection in self.connections)

    def unread_bytes(self) -> int:
        """Return the bytes that clients have sent and this process has not read."""
        return unread_bytes(connection.descriptor() for connection in self.connections)

    # --- accepting

    def _accept(self) -> None:
        """Accept queued connections, up to the limit and at most one batch."""
        for _ in range(ACCEPT_BATCH):
            if not self._ensure_room():
                # Otherwise descriptors become free with the loop's next turn, in which this is called again.
                if len(self._evicted) < MAX_CLOSING:
                    self._pause_accepting()
                return
            if not self._accept_one():
                return

    def _is_below_limit(self) -> bool:
        """Return whether the number of connections is below the limit."""
        return len(self.connections) + len(self._opening) < self.max_connections

    def _ensure_room(self) -> bool:
        """Make room for one more connection; return `False` if none can be closed for it in this turn.

        A closed connection's descriptor becomes free only in the loop's next turn. Until then both count, so that
        enough descriptors are left for everything else.
        """
        while not self._is_below_limit():
            if len(self._evicted) >= MAX_CLOSING or not self._evict():
                return False
        return True

    def _accept_one(self) -> bool | None:
        """Accept one connection; return `False` if there is none, `None` if no descriptor is available for it."""
        assert self._socket is not None and self._loop is not None
        try:
            client_socket, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                # The listening socket stays readable, so that without a pause this would be called in a busy loop.
                self._reduce_limit()
                self._pause_accepting()
                return None
            return True  # this client has already disconnected
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._widen_receive_buffer(client_socket)
        task = self._loop.create_task(self._create_connection(client_socket))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    def _widen_receive_buffer(self, client_socket: socket.socket) -> None:
        """Let a connection hold more unread than those in the listen queue, by the number of those that are open.

        A buffer is never made smaller: a client that has been promised more nearly stops.
        """
        size = self.budget.receive_buffer(len(self.connections) + len(self._opening))
        if size > MIN_RECEIVE_BUFFER_BYTES:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    async def _create_connection(self, client_socket: socket.socket) -> None:
        """Create the transport and protocol of an accepted socket."""
        assert self._loop is not None
        loop = self._loop
        try:
            client_socket.setblocking(False)
            await loop.connect_accepted_socket(lambda: ClientConnection(self, loop), client_socket)
        except OSError:
            client_socket.close()  # the client has disconnected, or no descriptor is available

    def _reduce_limit(self) -> None:
        """Lower the connection limit for a while: no descriptor was available for a new connection.

        Discovery, the control interface, connections to servers and a successor process need descriptors only now
        and then. Clients connect all the time and would take each one that becomes free.
        """
        assert self._loop is not None
        # At least half of the limit is kept: with less, new clients fill it faster than connections can be closed.
        self.max_connections = max(
            1, self._configured_limit // 2, min(self.max_connections, len(self.connections)) - RESERVED_DESCRIPTORS
        )
        for _ in range(RESERVED_DESCRIPTORS):
            if self._is_below_limit() or not self._evict():
                break
        if self._restore_timer is not None:
            self._restore_timer.cancel()
        else:
            LOG.warning("clients.no_descriptor", connections=len(self.connections), most=self.max_connections)
        self._restore_timer = self._loop.call_later(REDUCED_LIMIT_S, self._restore_limit)

    def _restore_limit(self) -> None:
        """Restore the connection limit."""
        self._restore_timer = None
        self.max_connections = self._configured_limit

    def _pause_accepting(self) -> None:
        """Pause accepting for a short time."""
        if self.accepting and not self._is_accept_paused and self._socket is not None and self._loop is not None:
            self._is_accept_paused = True
            self._loop.remove_reader(self._socket.fileno())
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        """Resume accepting."""
        self._is_accept_paused = False
        if self.accepting and self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket.fileno(), self._accept)
            self._accept()

    def _evict(self) -> bool:
        """Close the least useful connection; return `False` if none may be closed.

        Otherwise an ordinary client would wait in the listen queue behind hundreds of connections that only check
        readiness, or send nothing, and stay open. Those are closed first. Idle connections are closed after 2 s,
        and sooner only if nothing else can be closed.
        """
        assert self._loop is not None
        now = self._loop.time()
        for queue, age in (
            (self.lingering, EVICT_SILENT_S),
            (self.readiness_only, EVICT_SILENT_S),
            (self.new, EVICT_SILENT_S),
            (self.idle, EVICT_IDLE_S),
            (self.idle, EVICT_IDLE_LAST_RESORT_S),
        ):
            for connection, since in list(queue.items()) if queue else ():
                if now - since < age:
                    break
                # A client that is still receiving its last response is spared.
                if not connection.unsent_bytes() if queue is self.lingering else connection.has_no_unread_data():
                    self._close_evicted(connection)
                    return True
        # A client that is still sending is an ordinary one, however slow. A flood of clients sends parts and stops.
        stalled = [
            c for c in self.receiving if now - c.last_read_at >= EVICT_STALLED_S and not c.is_forwarding_or_paused()
        ]
        for connection in sorted(stalled, key=lambda c: c.last_read_at):
            if connection.has_no_unread_data():
                connection.time_out()
                self._close_evicted(connection)
                return True
        for connection in _entered_before(self.lingering, now - EVICT_STALLED_S):
            self._close_evicted(connection)
            return True
        forwarded = who_makes_room(self._holdings(self.connections), EVICT_FORWARDED_S) or self._longest_deferred(now)
        if forwarded is None:
            return False
        self._shed(forwarded)
        self._close_evicted(forwarded)
        return True

    def _longest_deferred(self, now: float) -> ClientConnection | None:
        """Return the connection that has been sending a finely chunked body for longest, if that is long enough."""
        for connection in _entered_before(self.receiving, now - EVICT_FORWARDED_S):
            if connection.is_deferred():
                return connection
        return None

    def _holdings(self, connections: Iterable[ClientConnection]) -> list[Holding[ClientConnection]]:
        """Return what each of these connections holds."""
        assert self._loop is not None
        now = self._loop.time()
        return [
            Holding(c, c.standing(now), c.held_bytes(), now - max(c.last_read_at, c.last_written_at))
            for c in connections
        ]

    def _shed(self, connection: ClientConnection) -> None:
        """Have a connection give way, and count it."""
        self.shed_total += 1
        connection.shed()

    def _close_evicted(self, connection: ClientConnection) -> None:
        """Close a connection to make room."""
        self.on_disconnected(connection)
        self._evicted.add(connection)
        connection.close()

    # --- for the connections

    def relieve(self) -> None:
        """Have connections give way until the budget is no longer spent."""
        closed = who_gives_way(self._holdings(self.connections), self.budget.excess)
        for connection in closed:
            self._shed(connection)
        if closed:
            LOG.warning("clients.memory_spent", shed=len(closed), used=self.budget.used, total=self.budget.total)

    def defer(self, callback: Callable[[], None]) -> bool:
        """Run a callback after those of other connections, in a turn of its own; return False if too many wait.

        The client's kernel may hold as much again as was read, and delivers it even after the client has left.
        """
        if len(self._turns) >= MAX_DEFERRED:
            self.shed_total += 1
            return False
        self._turns.add(callback)
        return True

    def may_stream(self) -> bool:
        """Return whether one more body may be forwarded while it arrives, after making room for it if necessary.

        Each holds a connection to a server. Those of clients that have stalled give way.
        """
        if len(self.forwarding) < max(1, self.max_connections // STREAMED_BODIES_DIVISOR):
            return True
        stalled = who_makes_room(self._holdings(self.forwarding), EVICT_STALLED_S)
        if stalled is None:
            return False
        self._shed(stalled)
        return True

    def exceeds_keep_alive_limit(self) -> bool:
        """Return whether connections should close after a response."""
        return len(self.connections) > self._keep_alive_limit

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        self.connections.add(connection)
        self.move(connection, self.new)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Poll a connection for a disconnect while reading from it is paused.

        Without reading, a disconnect goes unnoticed. Requests of a client that has disconnected would still be sent
        to servers and delay those of other clients.
        """
        self.paused.add(connection)
        if not self._is_polling and self._loop is not None:
            self._is_polling = True
            self._loop.call_later(DISCONNECT_POLL_S, self._poll_disconnects)

    def check_paused(self) -> None:
        """Cancel the requests of clients that have disconnected while reading was paused, with a single poll."""
        poll, watched = select.poll(), {}
        for connection in self.paused:
            descriptor = connection.descriptor()
            if descriptor >= 0:
                poll.register(descriptor, select.POLLRDHUP)
                watched[descriptor] = connection
        for descriptor, _ in poll.poll(0):
            watched[descriptor].check_disconnected()

    def _poll_disconnects(self) -> None:
        """Poll for disconnects periodically while reading from any connection is paused."""
        assert self._loop is not None
        self.check_paused()
        self._is_polling = bool(self.paused)
        if self._is_polling:
            self._loop.call_later(DISCONNECT_POLL_S, self._poll_disconnects)

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._evicted.discard(connection)
        self.move(connection, None)

    def move(self, connection: ClientConnection, queue: Queue | None) -> None:
        """Move a connection to the end of a queue, or to none. A request being received keeps its time of entry."""
        assert self._loop is not None
        current = connection.current_queue
        if current is queue and queue is self.receiving:
            return
        if current is not None:
            current.pop(connection, None)
        connection.current_queue = queue
        if queue is not None:
            has_no_request = (
                queue is self.receiving and connection.has_no_request() and self.times.head_timeout_from_connect
            )
            queue[connection] = connection.accepted if has_no_request else self._loop.time()

    # --- time limits

    def _sweep(self) -> None:
        """Close connections whose timeouts have expired; schedule the next sweep first, in case this one raises."""
        assert self._loop is not None
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        times = self.times
        queue_timeouts = (
            (self.new, times.first_byte_s),
            (self.idle, times.keep_alive_s),
            (self.readiness_only, times.keep_alive_s),
        )
        for queue, age in queue_timeouts:
            for connection in _entered_before(queue, now - age):
                if connection.has_no_unread_data():
                    connection.close()
        for connection in _entered_before(self.lingering, now - LINGER_TIMEOUT_S):
            if connection.has_stalled(now, LINGER_TIMEOUT_S):
                connection.abort()
        for connection, since in list(self.receiving.items()):
            if connection.is_overdue(now, since) and connection.has_no_unread_data():
                connection.time_out()
        for connection in [c for c in self.connections if c.has_charged_unsent()]:
            connection.charge_unsent()


def _entered_before(queue: Queue, than: float) -> list[ClientConnection]:
    """Return the connections that entered a queue at `than` or before."""
    found = []
    for connection, since in queue.items():
        if since > than:
            break
        found.append(connection)
    return found

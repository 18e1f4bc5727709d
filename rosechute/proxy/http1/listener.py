"""The listening socket: who is let in, who has to go, and when."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from dataclasses import dataclass, field

from rosechute.proxy.core.address import Address
from rosechute.proxy.core.flow import RECEIVE, Budget
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.client import ClientConnection, ClientTerms, Queue, Service

BACKLOG = 1024
BATCH = 64  # connections taken in one go, so that a flood does not keep the loop from its other work
SWEEP_S = 0.2
PAUSE_S = 0.02  # between looks at the listen queue while there is no room
OVERDRAFT = 4  # connections that were ended to make room, and whose descriptors are yet to be free
SPARE = 8  # descriptors that are left to others once there was none for a connection that came
RELAX_S = 1.0  # and for how long; a descriptor that is asked for in vain is asked for again by then
SILENT_S = 2.1  # how long a connection may say nothing; 2 s are the promise
KEEP_S = 30.0  # how long one is kept between requests
LINGER_S = 2.0  # how long what a client still sends is read after its connection's last answer
LOOK_S = 0.05  # how often those that are not read from are looked at: have they left?
DRAIN_S = 0.4  # from the drain to the first close of what is idle; new connections stop after about 0.3 s
EMPTY_S = 0.05  # how often idle connections are looked for then
SPARE_S = 2.0  # a connection between requests may be closed from here on
# Where there is no room, a connection that has said nothing is closed much sooner: the usual client
# sends as soon as it is connected, and its bytes would be in the kernel by now.
HUSH_S = 0.1
HURRY_S = 0.5  # so is one between requests, when it is the last resort
HALT_S = 0.3  # and so is one that has stopped in the middle of a request


@dataclass(slots=True)
class ListenerTimes:
    """How long connections are kept that owe nothing. The defaults are those of the sidecar in service."""

    silent_s: float = field(default_factory=lambda: SILENT_S)
    keep_s: float = field(default_factory=lambda: KEEP_S)
    drain_s: float = field(default_factory=lambda: DRAIN_S)
    whole_from_connect: bool = True  # whether a first request's time begins with its connection, else its first byte


class Listener:
    """The listening socket and all connections that came in by it.

    A connection stands in at most one queue, the longest there first; in none while an answer is owed.
    """

    def __init__(
        self,
        service: Service,
        most: int,
        crowd: int,
        budget: Budget,
        terms: ClientTerms | None = None,
        times: ListenerTimes | None = None,
    ) -> None:
        self.service = service
        self.terms = terms or ClientTerms()
        self.times = times or ListenerTimes()
        self.budget = budget
        self.most = self._share = most
        self._crowd = crowd
        self._ending: set[ClientConnection] = set()  # to make room
        self._pausing = False
        self._relaxing: asyncio.TimerHandle | None = None
        self.stopping = False
        self.draining = False
        self.accepting = False
        self.connections: set[ClientConnection] = set()
        self.silent: Queue = {}  # nothing has come yet
        self.partial: Queue = {}  # part of a request has come
        self.kept: Queue = {}  # between requests
        self.visitors: Queue = {}  # have asked for readiness and nothing else
        self.leaving: Queue = {}  # had its last answer
        self.paused: set[ClientConnection] = set()  # nothing is read from them
        self._looking = False  # for the end of those
        self._opening: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def listen(self, loop: asyncio.AbstractEventLoop, address: Address, inherited: int | None) -> int:
        """Take the socket that the platform holds, or else bind one; return the port. Nobody is let in."""
        self._loop = loop
        if inherited is not None:
            self._socket = socket.socket(fileno=inherited)
        else:
            family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
            self._socket = socket.create_server(tuple(address), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        loop.call_later(SWEEP_S, self._sweep)
        return int(self._socket.getsockname()[1])

    def let_in(self) -> None:
        """Accept connections from now on."""
        if self._socket is not None and self._loop is not None and not self.accepting:
            self.accepting = True
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def leave(self) -> None:
        """Accept no more, and leave what stands in the queue to the socket's other holders: it is closed here
        and never shut down, which would end it for all of them."""
        if self._socket is not None and self._loop is not None:
            self.accepting = False
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def resize(self, most: int, crowd: int) -> None:
        """Another share of the descriptors: connections beyond it go, as far as they may."""
        self.most, self._share, self._crowd = most, most, crowd
        while self._loop is not None and len(self.connections) > most and self._make_room():
            pass

    def last_requests(self) -> None:
        """From now on each answer closes its connection."""
        self.stopping = True

    def drain(self, on: bool) -> None:
        """From now on each answer closes its connection, and what is idle goes; or no longer. Told twice, the
        drain that is on goes on."""
        assert self._loop is not None
        if on and not self.draining:
            self._loop.call_later(self.times.drain_s, self._empty)
        self.draining = on

    def _empty(self) -> None:
        """Close what is idle, again and again: a client may open a connection until it has heard the no."""
        if not self.draining or self._loop is None:
            return
        now = self._loop.time()
        for queue in (self.silent, self.visitors, self.kept):
            for connection in _older(queue, now - HUSH_S):
                if connection.quiet():
                    connection.close()
        self._loop.call_later(EMPTY_S, self._empty)

    def last_answers(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.stopping or self.draining

    def close(self) -> None:
        """Listen no more, and close what is between requests. What the machine has accepted is taken: where
        there is no room for all of it yet, this is to be called again."""
        while self.accepting and self._has_room():
            taken = self._take()
            if taken is False:
                self.leave()  # only now: what stands in the queue of a closed socket is reset
            if not taken:
                break
        assert self._loop is not None
        # One that has just come up is about to say something: a close with no answer would fail its request.
        for connection in [*_older(self.silent, self._loop.time() - HUSH_S), *self.visitors, *self.kept]:
            if connection.quiet():
                connection.close()

    def busy(self) -> bool:
        """Whether a connection is left that owes an answer, or a part of one, or may hold an unread request."""
        if self.accepting or self._opening or len(self.connections) > len(self.leaving):
            return True
        return self.sending()

    def sending(self) -> bool:
        """Whether an answer has begun that the kernel has not taken whole: its client is slow to read."""
        return any(connection.sending() for connection in self.connections)

    # --- letting in

    def _accept(self) -> None:
        for _ in range(BATCH):
            if not self._has_room():
                if len(self._ending) < OVERDRAFT:  # else there is some with the next turn, and this is called again
                    self._pause()
                return
            if not self._take():
                return

    def _room(self) -> bool:
        return len(self.connections) + len(self._opening) < self.most

    def _has_room(self) -> bool:
        """Make sure of a place for one more; False where nobody can be ended for it in this turn.

        Protects everything else that needs descriptors: that of a connection that was ended is free with the loop's
        next turn, and until then both count.
        """
        while not self._room():
            if len(self._ending) >= OVERDRAFT or not self._make_room():
                return False
        return True

    def _take(self) -> bool | None:
        """Accept one connection; False if there is none, None if there is no descriptor for it."""
        assert self._socket is not None and self._loop is not None
        try:
            made, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                # The queue stays readable: without a pause this would be called again and again.
                self._give_way()
                self._pause()
                return None
            return True  # that one client is gone already
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
        task = self._loop.create_task(self._open(made))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, made: socket.socket) -> None:
        assert self._loop is not None
        loop = self._loop
        try:
            made.setblocking(False)
            await loop.connect_accepted_socket(lambda: ClientConnection(self, loop), made)
        except OSError:
            made.close()  # the client is gone, or descriptors are

    def _give_way(self) -> None:
        """There is no descriptor left, for whatever reason: clients keep to fewer for a while.

        Protects discovery, operators, servers and the next process, which ask for a descriptor now and then, while
        clients come all the time and would take each that is free.
        """
        assert self._loop is not None
        # No less than half: fewer places are taken by a crowd faster than it can be sent away.
        self.most = max(1, self._share // 2, min(self.most, len(self.connections)) - SPARE)
        for _ in range(SPARE):
            if self._room() or not self._make_room():
                break
        if self._relaxing is not None:
            self._relaxing.cancel()
        else:
            LOG.warning("clients.no_descriptor", connections=len(self.connections), most=self.most)
        self._relaxing = self._loop.call_later(RELAX_S, self._relax)

    def _relax(self) -> None:
        self._relaxing = None
        self.most = self._share

    def _pause(self) -> None:
        if self.accepting and not self._pausing and self._socket is not None and self._loop is not None:
            self._pausing = True
            self._loop.remove_reader(self._socket.fileno())
            self._loop.call_later(PAUSE_S, self._go_on)

    def _go_on(self) -> None:
        self._pausing = False
        if self.accepting and self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket.fileno(), self._accept)
            self._accept()

    def _make_room(self) -> bool:
        """End the connection that is missed least. Protects the usual client, which else waits in the listen
        queue behind hundreds that look in once, or say nothing, and stay: those go first. Idle clients go
        from 2 s on, and sooner only where nothing else is left to end."""
        assert self._loop is not None
        now = self._loop.time()
        for queue, age in (
            (self.leaving, HUSH_S),
            (self.visitors, HUSH_S),
            (self.silent, HUSH_S),
            (self.kept, SPARE_S),
            (self.kept, HURRY_S),
        ):
            for connection, since in list(queue.items()) if queue else ():
                if now - since < age:
                    break
                # One that still reads its last answer is no spare one.
                if not connection.unsent() if queue is self.leaving else connection.quiet():
                    self._end(connection)
                    return True
        # Those that are still writing are the usual client's, however slow; a crowd sends half and stops.
        halted = [c for c in self.partial if now - c.heard >= HALT_S and not c.owing()]
        for connection in sorted(halted, key=lambda c: c.heard):
            if connection.quiet():
                connection.time_out()
                self._end(connection)
                return True
        for connection in _older(self.leaving, now - HALT_S):
            self._end(connection)
            return True
        return False

    def _end(self, connection: ClientConnection) -> None:
        self.lost(connection)
        self._ending.add(connection)
        connection.close()

    # --- for the connections

    def crowded(self) -> bool:
        """Whether connections are better closed after their answer than kept."""
        return len(self.connections) > self._crowd

    def made(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self.connections.add(connection)
        self.move(connection, self.silent)

    def unread(self, connection: ClientConnection) -> None:
        """Nothing is read from this connection for now.

        Protects servers, and whoever waits behind it: the end of a client that is not read from shows nowhere,
        and what it asked for would be sent on when its turn comes.
        """
        self.paused.add(connection)
        if not self._looking and self._loop is not None:
            self._looking = True
            self._loop.call_later(LOOK_S, self._look)

    def look(self) -> None:
        """End what those asked for that are not read from and have left: one call to the kernel for all of them."""
        poll, watched = select.poll(), {}
        for connection in self.paused:
            descriptor = connection.descriptor()
            if descriptor >= 0:
                poll.register(descriptor, select.POLLRDHUP)
                watched[descriptor] = connection
        for descriptor, _ in poll.poll(0):
            watched[descriptor].look()

    def _look(self) -> None:
        assert self._loop is not None
        self.look()
        self._looking = bool(self.paused)
        if self._looking:
            self._loop.call_later(LOOK_S, self._look)

    def lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self._ending.discard(connection)
        self.move(connection, None)

    def move(self, connection: ClientConnection, queue: Queue | None) -> None:
        """Put a connection at the end of a queue, or in none. A request that is coming in keeps its time."""
        assert self._loop is not None
        place = connection.place
        if place is queue and queue is self.partial:
            return
        if place is not None:
            place.pop(connection, None)
        connection.place = queue
        if queue is not None:
            fresh = queue is self.partial and connection.fresh() and self.times.whole_from_connect
            queue[connection] = connection.accepted if fresh else self._loop.time()

    # --- time limits

    def _sweep(self) -> None:
        assert self._loop is not None
        now = self._loop.time()
        times = self.times
        limits = ((self.silent, times.silent_s), (self.kept, times.keep_s), (self.visitors, times.keep_s))
        for queue, age in limits:
            for connection in _older(queue, now - age):
                if connection.quiet():
                    connection.close()
        for connection in _older(self.leaving, now - LINGER_S):
            if connection.stuck(now, LINGER_S):
                connection.abort()
        for connection, since in list(self.partial.items()):
            if connection.overdue(now, since) and connection.quiet():
                connection.time_out()
        self._loop.call_later(SWEEP_S, self._sweep)


def _older(queue: Queue, than: float) -> list[ClientConnection]:
    """Those at the front of a queue that have stood there since before `than`."""
    found = []
    for connection, since in queue.items():
        if since > than:
            break
        found.append(connection)
    return found

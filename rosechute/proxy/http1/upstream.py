"""Servers and the pools of connections to them: attempts and probes, and what became of each."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rosechute.load_balancing.interface import How
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.flow import Body, Budget, Sink
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.connection import Begin, Connection, Reply, Wrote
from rosechute.proxy.http1.pool import Demand, Terms

OK = How.OK
OWN_WANT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
SWEEP_S = 1.0  # how often idle connections are looked through
AHEAD_SHARE = 0.5  # part of the connections beyond which none is opened ahead: the rest is for calls
IDLE_SHARE = 0.4  # part of the servers' idle limit after which a connection is retired: a burst leaves many


class Target:
    """One process of one server, and the connections to it."""

    __slots__ = ("address", "started_ns", "up", "idle", "rested", "held", "dialling", "ahead", "demand")

    def __init__(self, address: Address, started_ns: int, up: bool) -> None:
        self.address, self.started_ns, self.up = address, started_ns, up
        self.idle: list[Connection] = []  # the last used at the end: the rest may grow old
        self.rested = 0  # how many of those at the front had rested at the last look: where the next one begins
        self.held = 0  # connections that are open, idle or not
        self.dialling = 0  # and those that are coming up
        self.ahead: asyncio.Task[None] | None = None  # opens one that no call has asked for
        self.demand = Demand()


Ended = Callable[[How, "Reply | None"], None]
REST_S = 0.01  # how long a connection is left alone after an answer: a second one may come some milliseconds late
LOOK_S = 2.0  # how often a body on its way is looked at
STUCK_S = 10.0  # and for how long it may not move at all: peers may take seconds


@dataclass(slots=True)
class Flow:
    """What an exchange needs to know of a request whose body or answer is passed on as it comes."""

    body: Body | None  # the request's, where it is not part of what is made
    begin: Begin  # asked where a long answer goes
    wanted: Callable[[], bool]  # asked before the first byte: does somebody still wait?
    wrote: Wrote  # told once the last byte is written
    rested: Callable[[], None]  # told where it has waited for a connection that has rested
    left: Callable[[], float]  # seconds until the exchange is given up, once all is written


class Exchange:
    """One request to one server: one connection, written once at the most, ended exactly once."""

    def __init__(
        self,
        upstream: Upstream,
        target: Target,
        make: Callable[[], bytes],
        limit_s: float,
        ended: Ended,
        flow: Flow | None = None,
    ) -> None:
        self._upstream, self._target, self._make, self._ended = upstream, target, make, ended
        self._flow = flow
        self._passing = False
        self._loop = upstream.loop
        self._give_up = self._loop.time() + limit_s
        self._connection: Connection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._resting: Connection | None = None  # taken, and not written to yet
        self._since = 0.0  # when it was written to
        self._over = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Write to a pooled connection once it has rested, or to a new one once it is up."""
        if self._give_up <= self._loop.time():
            self._end(How.MOOT)
            return
        connection = self._upstream.take(self._target)
        if connection is None:
            self._dial()
            return
        rest = connection.idle_since + REST_S - self._loop.time()
        if rest <= 0.0:
            self._write(connection)
        else:
            self._resting = connection
            self._timer = self._loop.call_later(rest, self._rested)

    def _rested(self) -> None:
        """The connection has been quiet for long enough, or has shown itself not to be of use."""
        connection, self._resting = self._resting, None
        assert connection is not None
        if not self._target.up or self._loop.time() >= self._give_up:
            self._upstream.give_back(self._target, connection)
            self._end(How.MOOT)
        elif connection.silent():
            if self._flow is not None:
                self._flow.rested()
            self._write(connection)
        else:
            connection.close()
            self._dial()

    def _dial(self) -> None:
        if not self._upstream.make_room():
            self._end(How.MOOT)  # our own want of descriptors is no verdict on the server
        else:
            # A connection that comes up after its call has run out still goes to the pool: it is paid for.
            self._timer = self._loop.call_later(self._give_up - self._loop.time(), self._end, How.MOOT)
            self._connecting = self._loop.create_task(self._connect())

    def cancel(self) -> None:
        """Stop waiting; what was written may have run."""
        ran = self._connection is not None and self._connection.written
        self._end(How.CANCELLED if ran else How.MOOT)

    def withdraw(self) -> None:
        """End this unless all of it is written. A connection that comes up goes to the pool: it is paid for."""
        if self._connection is None or not self._connection.written:
            self._end(How.MOOT)

    def pause(self) -> None:
        """Let the answer wait."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Let it come on."""
        if self._connection is not None:
            self._connection.resume()

    async def _connect(self) -> None:
        target, address = self._target, self._target.address
        target.dialling += 1
        try:
            connection = await self._upstream.connect(address)
            self._upstream.count(target, connection)
        except OSError as error:
            # Our own want of descriptors, ports or memory is no verdict on the server.
            self._end(How.MOOT if error.errno in OWN_WANT else How.CONNECT_FAILED)
            return
        except Exception:
            # Whatever went wrong, the attempt is over and must be told so, or its request would hang on it.
            LOG.error("servers.connect_broken", exc_info=True)
            self._end(How.CONNECT_FAILED)
            return
        finally:
            target.dialling -= 1
        if self._over:
            self._upstream.keep(target, connection)
        elif not target.up or target.address != address or self._loop.time() >= self._give_up:
            # Connecting takes time in which the server may have begun to drain or the call have run out:
            # look again before the first byte, for a send counts from there.
            self._upstream.keep(target, connection)
            self._end(How.MOOT)
        elif not connection.silent():
            connection.close()  # what came unasked would pass for the answer
            self._end(How.CONNECT_FAILED)
        else:
            self._write(connection)

    def _write(self, connection: Connection) -> None:
        if self._timer is not None:
            self._timer.cancel()
        flow = self._flow
        if flow is not None and not flow.wanted():
            self._upstream.give_back(self._target, connection)
            self._end(How.MOOT)
            return
        self._connection = connection
        self._since = self._loop.time()
        if flow is None:
            connection.send(self._make(), self._replied)
        else:
            connection.send(self._make(), self._replied, self._all_written, flow.body, self._begin)
        if not self._over and (flow is None or flow.body is None):
            self._timer = self._loop.call_later(self._give_up - self._loop.time(), self._timed_out)
        elif not self._over and not connection.written:
            self._look(connection, -1, 0.0)

    def _all_written(self) -> None:
        flow = self._flow
        assert flow is not None
        flow.wrote()
        if flow.body is not None and not self._passing:
            # The client's time counts from its last byte, however long the body took.
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_later(max(0.0, flow.left()), self._timed_out)

    def _begin(self, reply: Reply, length: int | None) -> Sink | None:
        """The answer is passed on from here: it has no time limit but that it must move."""
        assert self._flow is not None and self._connection is not None
        if not self._connection.written:
            return None  # answered before the request was out: such a one is not trusted that far
        self._passing = True
        sink = self._flow.begin(reply, length)
        if sink is not None:
            self._look(self._connection, -1, 0.0)
        return sink

    def _look(self, connection: Connection, before: int, since: float) -> None:
        """End a body that no longer moves, whichever side holds it up."""
        if self._over or connection is not self._connection:
            return
        now, moved = self._loop.time(), connection.progress
        if moved == before and now - since >= STUCK_S:
            self._timed_out()
            return
        if moved != before:
            since = now
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(LOOK_S, self._look, connection, moved, since)

    def _timed_out(self) -> None:
        # A request that never went out whole can't have run: servers begin with its last byte.
        assert self._connection is not None
        self._end(How.TIMEOUT if self._connection.written else How.CONNECT_FAILED)

    def _replied(self, reply: Reply | None) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if not connection.answered and (reply is None or outcome(reply) is How.FULL):
            self._target.demand.failed(self._loop.time())
        if reply is None:
            if not connection.written:
                self._end(How.CONNECT_FAILED)
            else:
                # A spoilt answer may come from any server and says nothing of its health, as a reset would:
                # it is we who withdraw, from a request that has run.
                self._end(How.CANCELLED if connection.spoilt else How.RESET)
            return
        how = outcome(reply)
        if connection.written:
            self._upstream.release(self._target, connection, self._since)
        else:
            # Answered before the request was out: what is left of it would follow. Servers begin with the last
            # byte, so nothing has run, and what serves such a request was made for another one.
            connection.abort()
            if how is not How.FULL:
                self._end(How.CONNECT_FAILED)
                return
        self._end(how, reply)

    def _end(self, how: How, reply: Reply | None = None) -> None:
        if self._over:
            return
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._resting is not None:
            self._upstream.give_back(self._target, self._resting)
            self._resting = None
        if self._connection is not None:
            self._connection.forget()
            self._connection.abort()
            self._connection = None
        self._ended(how, reply)


def outcome(reply: Reply) -> How:
    """What an answer says of the attempt; only a server that says so has not run it."""
    if reply.status == 200:
        return OK
    if reply.status in (503, 504) and reply.header(b"x-not-processed") == b"1":
        return How.FULL
    return How.ERROR


class Upstream:
    """All servers that the list has named, and the connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ns: int,
        idle_ns: int,
        most: int,
        stall_s: float = 0.0,
        budget: Budget | None = None,
    ) -> None:
        self.loop = loop
        self._budget = budget
        self.most = most
        self.adjust(connect_timeout_ns, idle_ns, stall_s)
        self._open: set[Connection] = set()
        self._dialling = 0
        self._targets: dict[str, Target] = {}
        self._terms = Terms.of({})
        loop.call_later(SWEEP_S, self._sweep)

    def adjust(self, connect_timeout_ns: int, idle_ns: int, stall_s: float) -> None:
        """Other limits from now on; connections that are open keep theirs."""
        self.connect_timeout_s = connect_timeout_ns / 1e9
        self._idle_s = idle_ns / 1e9 * IDLE_SHARE
        self._stall_s = stall_s

    def price(self, prices: Mapping[str, float]) -> None:
        """Open connections ahead by these prices from now on."""
        self._terms = Terms.of(prices)

    def resize(self, most: int) -> None:
        """Another share of the descriptors: idle connections beyond it go."""
        self.most = most
        for target in self._targets.values():
            while target.idle and len(self._open) > most:
                connection = target.idle.pop(0)
                self._open.discard(connection)
                connection.close()

    # --- the list

    def update(self, name: str, address: Address, started_ns: int, up: bool) -> None:
        """Take over one line of the list. A new process or address starts a pool of its own."""
        target = self._targets.get(name)
        if target is None:
            self._targets[name] = Target(address, started_ns, up)
        elif target.address != address or target.started_ns != started_ns:
            self._retire(target)
            self._targets[name] = Target(address, started_ns, up)
        else:
            target.up = up
            if not up:
                self._retire(target)

    def keep_only(self, names: set[str]) -> None:
        """After a whole list: servers that are not in it are gone."""
        for name in self._targets.keys() - names:
            self.remove(name)

    def remove(self, name: str) -> None:
        """A server is gone; deploys bring new names all the time, so nothing of it is kept."""
        target = self._targets.pop(name, None)
        if target is not None:
            self._retire(target)

    def any_up(self) -> bool:
        """Whether the list has a server that takes requests."""
        return any(target.up for target in self._targets.values())

    def _retire(self, target: Target) -> None:
        target.up = False
        self._close_idle(target)

    @staticmethod
    def _close_idle(target: Target) -> None:
        while target.idle:
            target.idle.pop().close()

    # --- exchanges

    def exchange(
        self, name: str, make: Callable[[], bytes], limit_s: float, ended: Ended, flow: Flow | None = None
    ) -> Exchange | None:
        """A request to a server, to be started by the caller; None if the list never named it as up."""
        target = self._targets.get(name)
        return Exchange(self, target, make, limit_s, ended, flow) if target is not None else None

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server."""
        target = self._targets.get(name)
        if target is not None:
            self._close_idle(target)

    # --- connections

    def take(self, target: Target) -> Connection | None:
        """An idle connection, if one is still good: of those that have rested the one used last, so that the others
        may grow old; else the one that will have rested first.

        Protects requests from an answer that is none of theirs. What comes late on an idle connection ends it; on
        one that was written to meanwhile nobody could tell it from the answer.
        """
        now = self.loop.time()
        target.demand.called(now)
        idle = target.idle
        while idle:
            # In order of when they began to rest; looked at anew, as any may have gone since.
            rested, size = target.rested, len(idle)
            while rested < size and idle[rested].idle_since + REST_S <= now:
                rested += 1
            while rested > 0 and (rested > size or idle[rested - 1].idle_since + REST_S > now):
                rested -= 1
            target.rested = at = max(0, rested - 1)
            connection = idle.pop(at)
            if connection.idle_since > now - self._idle_s and connection.silent():
                if not at:
                    self._open_ahead(target, now)
                return connection
            connection.close()
        return None

    def release(self, target: Target, connection: Connection, since: float) -> None:
        """Keep a connection that was written to at `since` and answered on now."""
        target.demand.answered(self.loop.time() - since)
        connection.answered = True
        self.keep(target, connection)

    def keep(self, target: Target, connection: Connection) -> None:
        """Keep a connection for later, unless it or its process is done with. A new one rests, too: a server that
        holds as many as it may accepts and closes, and a request that crosses that close may have run."""
        if target.up and connection.reusable:
            connection.idle_since = self.loop.time()
            target.idle.append(connection)
        else:
            connection.close()

    def give_back(self, target: Target, connection: Connection) -> None:
        """Keep a connection that was taken and not used: it goes on resting where it was. A new one begins to."""
        if not connection.idle_since or not target.up or not connection.reusable:
            self.keep(target, connection)
            return
        at = len(target.idle)
        while at > 0 and target.idle[at - 1].idle_since > connection.idle_since:
            at -= 1
        target.idle.insert(at, connection)

    def _open_ahead(self, target: Target, now: float) -> None:
        """The last connection that had rested is taken: open another one where the calls are worth it. None gives
        way to it, and it is one at a time."""
        held = target.held + target.dialling
        if (
            target.ahead is None
            and len(self._open) + self._dialling < self.most * AHEAD_SHARE
            and (target.demand.opens(now, target.up, held, REST_S, self._terms))
        ):
            target.ahead = self.loop.create_task(self._connect_ahead(target))

    async def _connect_ahead(self, target: Target) -> None:
        target.dialling += 1
        try:
            connection = await self.connect(target.address)
            self.count(target, connection)
        except OSError:
            target.demand.failed(self.loop.time())  # of the server this says nothing: no call has asked for it
            return
        except Exception:
            LOG.error("servers.connect_broken", exc_info=True)
            target.demand.failed(self.loop.time())
            return
        finally:
            target.dialling -= 1
            target.ahead = None
        self.keep(target, connection)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one gives way to it."""
        if len(self._open) + self._dialling < self.most:
            return True
        idle = [(c.idle_since, t) for t in self._targets.values() for c in t.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda pair: pair[0])[1].idle.pop(0).abort()
        return True

    def count(self, target: Target, connection: Connection) -> None:
        """A connection to this process is up."""
        if not connection.lost:
            connection.owner = target
            target.held += 1

    async def connect(self, address: Address) -> Connection:
        """A new connection, within the connect timeout."""
        connection = Connection(self._lost, stall_s=self._stall_s, budget=self._budget)
        self._dialling += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, address.host, address.port)
        except BaseException:
            connection.abort()  # it may have come up at the very moment of the timeout
            raise
        finally:
            self._dialling -= 1
        if not connection.lost:  # else its end was told before it was known here, and would count for good
            self._open.add(connection)
        return connection

    def _lost(self, connection: Connection) -> None:
        self._open.discard(connection)
        target = connection.owner
        if not isinstance(target, Target):
            return
        connection.owner = None
        target.held -= 1
        if connection in target.idle:
            target.idle.remove(connection)
            if not connection.answered:
                target.demand.failed(self.loop.time())

    def _sweep(self) -> None:
        """Retire what has been idle for long, safely before the server does: a send that crosses the
        server's close ends as a reset, which may have run."""
        oldest = self.loop.time() - self._idle_s
        for target in self._targets.values():
            while target.idle and target.idle[0].idle_since <= oldest:
                target.idle.pop(0).close()
        self.loop.call_later(SWEEP_S, self._sweep)

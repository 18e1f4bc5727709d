"""One sidecar: the core, its HTTP/1.1 front and backend, and the platform's parts, wired together.

Nothing is decided here. What the parts have to say to each other goes through this class, and all that is
shared between them (descriptors, memory, settings) is dealt out here.
"""

from __future__ import annotations

import asyncio
import random
import resource
from typing import Any, Protocol

from rosechute.load_balancing import memory
from rosechute.load_balancing.interface import Directory, Entry, Reconfigure, Settings
from rosechute.load_balancing.rules import Balancer
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.calls import Core
from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.log import LOG, settle
from rosechute.proxy.core.ports import Ending, Limiter, Routes
from rosechute.proxy.core.shares import descriptors
from rosechute.proxy.http1.admission import Gate
from rosechute.proxy.http1.backend import HttpBackend
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.listener import Listener
from rosechute.proxy.http1.message import STATUS, Message
from rosechute.proxy.http1.upstream import Upstream
from rosechute.sidecar.config import Config
from rosechute.sidecar.control import Control
from rosechute.sidecar.discovery import Discovery, Ended, Line, Listing, read_listing
from rosechute.sidecar.stats import Gauges, Stats
from rosechute.sidecar.takeover import Takeover, packed, unpacked

KEEP_ACCEPTING_S = 0.45  # after SIGTERM; new connections go on coming for 0.4 s
LIVE_ON_S = 3.0  # past that the platform does not wait, however long the deadlines
SETTLE_S = 2.0  # how often the log tells of lines that were held back
SLOW_READER_S = 30.0  # how much longer than that answers go on that have begun, where nobody ends the process
APART_S = 0.25  # how far apart the other process is told the list
LOOK_S = 0.02  # how often a stopping sidecar looks whether all is answered


class Policy(Protocol):
    """What an installation's own file adds to the platform's settings."""

    @property
    def limiter(self) -> Limiter:
        """The limits at work."""

    @property
    def routes(self) -> Routes:
        """The look-up of routes."""

    def settings(self, platform: Settings) -> Settings:
        """The platform's settings, made stricter where the file says so."""

    def prepare(self, config: Config) -> object:
        """Read the file again for this configuration; raise ValueError where it can't be taken. Off the loop."""

    def take(self, prepared: object, now: int) -> None:
        """Go by what was prepared."""

    def page(self, now: int) -> bytes:
        """What operators get to see of the routes."""

    def told(self, now: int) -> object:
        """What the process that takes over needs to know, as plain data."""

    def recall(self, now: int, state: object) -> bool:
        """Take that over; False where it can't be used."""


class Sidecar:
    """Wires listener, servers and discovery to one balancer of the decision module."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, policy: Policy | None = None) -> None:
        self._config, self._loop, self._policy = config, loop, policy
        self._settings = settings = config.settings if policy is None else policy.settings(config.settings)
        self._gate = self._made_gate(None)
        self._stats = Stats(c.name for c in settings.classes)
        self._longest_ns = max(c.deadline_ns for c in settings.classes)
        self.core: Core[Message, Reply] = Core(loop, self, self._longest_ns)
        if policy is not None:
            self.core.limiter = policy.limiter
        limits = settings.limits
        self._budget = Budget(config.memory_mb)
        self._upstream = Upstream(
            loop, limits.connect_timeout_ns, limits.conn_idle_ns, 0, _stall_s(settings), self._budget
        )
        self._backend = HttpBackend(self._upstream)
        self._listener = Listener(self, 0, 0, self._budget)
        self.share(1)
        self._lines: dict[str, Line] = {}  # the list as it was told last
        self._index = -1
        self._passed_at = 0.0  # when the other process was last told the list
        self._passing: asyncio.TimerHandle | None = None  # and when it is told again, where more has changed
        known = read_listing(config.known, settings)
        self._draw = random.Random(config.seed).random
        self._discovery = Discovery(
            loop, config.discovery, settings, known.version, self._told, self._draw, self._lines
        )
        self.core.join(Balancer(settings, config.seed, self.core.clock()), self._backend, self)
        self._take_list(known, "SAVED")
        self._pushed = None if settings.must_ask else loop.create_task(self._discovery.follow())
        self._control = Control(self)
        self.control_port = 0
        self._takeover: Takeover | None = None
        self._ceded = False
        self._serving: asyncio.Task[None] | None = None
        self._open = False  # to clients, or would be but for the process before
        self._probes_by(settings)

    def _probes_by(self, settings: Settings) -> None:
        # A probe that takes so long tells of a server that stands still, whatever it would have said.
        self.core.probe_limit_s = min(c.aim_ns for c in settings.classes) / 6e9
        self._backend.reports(settings.reports != "none")
        self._upstream.price(settings.prices)

    def _made_gate(self, before: Gate | None) -> Gate:
        routes = self._policy.routes if self._policy is not None else None
        return Gate(self._settings, before, self._loop.time(), self._config.settings, routes)

    # --- life

    async def start(self) -> int:
        """Listen for the application, and for operators where an address is named; return the first port."""
        config, loop = self._config, self._loop
        if config.control is not None:
            self.control_port = await self._control.start(loop, config.control)
        port = self._listener.listen(loop, config.listen, config.listen_fd)
        wait = False
        if config.listen_fd is not None:
            self._takeover = Takeover(self, loop, config.folder)
            self.core.told_id = self._tell_id
            wait = await self._takeover.find()
        self._open = True
        if not wait:
            self.open_up()
        self._settle_log()
        return port

    def _settle_log(self) -> None:
        settle()
        self._loop.call_later(SETTLE_S, self._settle_log)

    async def stop(self) -> None:
        """Take requests for as long as they may come, answer all of them, and close what is idle.

        Protects requests in the listen queue: the machine has accepted those connections, so the loop must
        have read them before the socket closes.
        """
        if self._takeover is not None:
            # The queue outlives this process: what stands in it is the next one's.
            self._listener.leave()
            self._ceded = self.core.module.ceded = self._takeover.cede()
        # All that was taken is answered by then; a request that never comes in whole was not taken.
        latest = self._loop.time() + KEEP_ACCEPTING_S + min(self._longest_ns / 1e9, LIVE_ON_S)
        self.core.end_by(latest)
        self._listener.last_requests()
        await asyncio.sleep(KEEP_ACCEPTING_S)
        self._listener.close()
        # An answer that has begun goes on for as long as its client reads: cut off, it would be lost.
        while self._listener.busy() and (
            self._loop.time() < latest or (self._listener.sending() and self._loop.time() < latest + SLOW_READER_S)
        ):
            await asyncio.sleep(LOOK_S)
            self._listener.close()
        self._control.close()
        if self._takeover is not None:
            self._takeover.close()

    def reconfigure(self, config: Config, prepared: object = None) -> None:
        """Take over a configuration that has been checked, whole and in one turn of the loop; `prepared` is
        what the policy has made of its own file for it."""
        old, new = self._settings, config.settings
        moved = config.discovery != self._config.discovery
        before, self._config = self._config, config
        self._stats.reconfig_ok += 1
        if self._policy is not None:
            self._policy.take(prepared, self.core.clock())
            new = self._policy.settings(config.settings)
        if new != old or config.settings != before.settings or self._policy is not None:
            self._settings = new
            self._gate = self._made_gate(self._gate)
        if new != old:
            self._stats.know(c.name for c in new.classes)
            self._outlast(max(c.deadline_ns for c in new.classes))
            self._upstream.adjust(new.limits.connect_timeout_ns, new.limits.conn_idle_ns, _stall_s(new))
            self._probes_by(new)
            self.core.deliver(Reconfigure(new))
        listed = (new.zones, new.kinds, new.must_ask, new.invariants.must_ask_in_ns)
        if moved or listed != (old.zones, old.kinds, old.must_ask, old.invariants.must_ask_in_ns):
            self.move_discovery(config.discovery)
        self.core.recheck()

    def _outlast(self, longest_ns: int) -> None:
        """Count with another longest deadline; a shorter one only once no request is left from before."""

        def settle() -> None:
            self._longest_ns = max(c.deadline_ns for c in self._settings.classes)
            self.core.id_life_s = 2 * self._longest_ns / 1e9

        self._loop.call_later(self.core.id_life_s, settle)
        self._longest_ns = max(self._longest_ns, longest_ns)
        self.core.id_life_s = 2 * self._longest_ns / 1e9

    def turned_down(self) -> None:
        """A configuration could not be taken."""
        self._stats.reconfig_failed += 1

    def move_discovery(self, address: Address) -> None:
        """Follow another discovery from now on: its whole list first, and its own version numbers."""
        self._discovery.close()
        self._discovery = Discovery(self._loop, address, self._settings, None, self._told, self._draw, self._lines)
        if self._pushed is not None:
            self._pushed.cancel()
            self._pushed = None
        self.core.deliver(Directory("MOVED"))
        if not self._settings.must_ask:
            self._pushed = self._loop.create_task(self._discovery.follow())

    # --- Takeover's Half

    def share(self, processes: int) -> None:
        """Keep to a part of the limits: so many processes are one sidecar."""
        sockets = min(self._config.sockets // processes, self._may_open())
        clients, servers = descriptors(sockets)
        self._listener.resize(clients, sockets // 4)
        self._upstream.resize(servers)
        self._budget.resize(self._config.memory_mb, processes)

    def _may_open(self) -> int:
        """Descriptors that the machine grants this process: the configuration may name more."""
        granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if granted in (resource.RLIM_INFINITY, -1):
            return self._config.sockets
        if granted < self._config.sockets:
            LOG.warning("process.fewer_descriptors", granted=granted, configured=self._config.sockets)
        return granted

    def open_up(self) -> None:
        """Let clients in, and let the next process find this one."""
        self._listener.let_in()
        if self._takeover is not None:
            LOG.info("takeover.clients_taken")
            self._serving = self._loop.create_task(self._takeover.serve())

    def state(self) -> dict[str, Any]:
        """What another process needs to go on as this sidecar."""
        now = self._loop.time()
        listing = Listing(self._index, True, tuple(self._lines.values()))
        return {
            "list": packed(listing),
            "ids": [[rid.decode("latin-1"), now - at] for rid, at in self.core.ids()],
            "memory": memory.told(self.core.module, self.core.clock()),
            **({"limits": self._policy.told(self.core.clock())} if self._policy is not None else {}),
        }

    def adopt(self, state: dict[str, Any]) -> None:
        """Go on where the process before stands. Each part is checked whole, and left aside if it is none."""
        listed = state.get("list")
        self.hear({**(listed if isinstance(listed, dict) else {}), "kind": "list"})
        now = self._loop.time()
        try:
            ids = {str(rid).encode("latin-1"): now - float(age) for rid, age in state["ids"]}
        except (KeyError, TypeError, ValueError) as error:
            LOG.warning("takeover.left_aside", part="ids", reason=repr(error))
            ids = {}
        self.core.know_ids(ids)
        if not memory.recall(self.core.module, self.core.clock(), state.get("memory")):
            LOG.warning("takeover.left_aside", part="memory")
        if self._policy is not None and not self._policy.recall(self.core.clock(), state.get("limits")):
            LOG.warning("takeover.left_aside", part="limits")

    def hear(self, frame: dict[str, Any]) -> None:
        """News from the other process of this sidecar: what it was told or has taken counts here, too."""
        if frame.get("kind") == "id":
            self.core.know_id(str(frame.get("id")).encode("latin-1", "replace"))
        elif frame.get("kind") == "list":
            try:
                listing = unpacked(frame)
            except ValueError as error:
                LOG.warning("takeover.left_aside", part="list", reason=error)
                return
            if listing.version > self._index:
                self._take_list(listing, "SAVED")
                self._discovery.caught_up(listing.version)

    def _tell_id(self, rid: bytes) -> None:
        if self._takeover is not None and self._takeover.linked():
            self._takeover.tell("id", id=rid.decode("latin-1"))

    # --- the connections' Service

    def ready(self) -> bool:
        """Whether requests can be served, by this process or by the one that has taken over from it."""
        ceded = self._takeover is not None and self._ceded and self._takeover.linked()
        return self._upstream.any_up() and (ceded or not self._listener.last_answers())

    def request(self, message: Message) -> None:
        """Read a request, and hand it to the core if it can be used."""
        asked = self._gate.admit(message, self._loop.time())
        if isinstance(asked, int):
            message.reply(asked)
        else:
            self.core.take(message, asked)

    def complete(self, message: Message) -> None:
        """The last byte has come of a request that goes out as it comes in."""
        self.core.complete(message)

    def hangup(self, message: Message) -> None:
        """The client has left."""
        self.core.hangup(message)

    # --- Control's Operated

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""
        yes = self._open and self._upstream.any_up() and not self._listener.last_answers()
        if yes and self._takeover is not None:
            self._takeover.said_yes()
        return yes

    def figures(self) -> bytes:
        """The figures as text."""
        listed, down = self.core.module.census(self.core.clock())
        return self._stats.render(Gauges(self.core.taken, listed, down))

    def routes(self) -> bytes | None:
        """Limits and figures of the operator's routes; None where there are none."""
        return self._policy.page(self.core.clock()) if self._policy is not None else None

    def drain(self, on: bool) -> None:
        """Empty the sidecar, or end that. It goes on serving what comes all the same."""
        if on != self._listener.draining:
            LOG.info("drain.begun" if on else "drain.ended")
        self._listener.drain(on)

    # --- the core's Ends and Directions

    def ended(self, cls: str, ending: Ending) -> None:
        """A request has ended."""
        self._stats.ended(cls, STATUS.get(ending, 0))

    def wrote(self) -> None:
        """An attempt was written whole."""
        self._stats.wrote()

    def subscribe(self, want: bool) -> None:
        """Watch the list, or end that."""
        self._discovery.subscribe(want)

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._discovery.fetch()

    # --- the list

    def _told(self, listing: Listing | Ended) -> None:
        if isinstance(listing, Ended):
            self.core.deliver(Directory(listing.scope, took_ns=listing.took_ns))
        else:
            self._take_list(listing, "FULL" if listing.whole else "INCREMENTAL")
            if not listing.part:
                self._pass_on()

    def _pass_on(self) -> None:
        """Tell the list to the other process of this sidecar, if there is one: it costs by the list, so that of a
        burst only the first change and then the outcome goes over. The other one has a watch of its own as well."""
        now = self._loop.time()
        if self._takeover is None or not self._takeover.linked() or self._passing is not None:
            return
        if now < self._passed_at + APART_S:
            self._passing = self._loop.call_later(self._passed_at + APART_S - now, self._pass_on_late)
            return
        self._passed_at = now
        self._takeover.tell("list", **packed(Listing(self._index, True, tuple(self._lines.values()))))

    def _pass_on_late(self) -> None:
        self._passing, self._passed_at = None, 0.0
        self._pass_on()

    def _take_list(self, listing: Listing, scope: str) -> None:
        """Take up a list, or a change of it: what it says already costs a comparison."""
        lines, upstream, whole = self._lines, self._upstream, scope != "INCREMENTAL"
        entries: list[Entry] = []
        for line in listing.lines:
            entry, address = line
            before = lines.get(entry.server)
            if before is not None and (before is line or before == line):
                if whole:
                    entries.append(before.entry)
                continue
            entries.append(entry)
            if entry.lifecycle == "removed":
                lines.pop(entry.server, None)
                upstream.remove(entry.server)
            else:
                lines[entry.server] = line
                upstream.update(entry.server, address, entry.started_ns, entry.lifecycle == "up")
        if whole:
            names = {line.entry.server for line in listing.lines}
            upstream.keep_only(names)
            for name in lines.keys() - names:
                del lines[name]
        if not listing.part:
            self._index = listing.version
        self.core.deliver(Directory(scope, tuple(entries), listing.version))


def _stall_s(settings: Settings) -> float:
    """How long an answer that has begun may pause."""
    return min(c.aim_ns for c in settings.classes) / 2e9

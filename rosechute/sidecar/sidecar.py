"""The sidecar: connects the core, its HTTP/1.1 front and backend, discovery, control and takeover.

This module makes no load-balancing decisions. It passes messages between the components, and divides the shared
resources (descriptors, memory, settings) among them.
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
from rosechute.proxy.core.listener_supervisor import ListenerEvent, ListenerFailed, ListenerSupervisor
from rosechute.proxy.core.log import LOG, log_held_back
from rosechute.proxy.core.log_writer import LOG_WRITER
from rosechute.proxy.core.memory_guard import CHECK_INTERVAL_S, MemoryGuard
from rosechute.proxy.core.ports import Ending, Limiter, Routes
from rosechute.proxy.core.process_memory import release_free_memory, resident_bytes
from rosechute.proxy.core.shares import descriptors
from rosechute.proxy.http1.admission import RequestValidator
from rosechute.proxy.http1.backend import HttpBackend
from rosechute.proxy.http1.client import SHED_RETRY_AFTER
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.listener import Listener
from rosechute.proxy.http1.message import STATUS, Message
from rosechute.proxy.http1.upstream import Upstream
from rosechute.sidecar.config import Config
from rosechute.sidecar.control import Control
from rosechute.sidecar.discovery import CallEnded, Discovery, Line, Listing, read_listing
from rosechute.sidecar.stats import Gauges, ProcessCounters, Stats
from rosechute.sidecar.takeover import Takeover, pack_list, unpack_list

CLIENTS, CONTROL = "clients", "control"  # names of the listeners
KEEP_ACCEPTING_S = 0.45  # after SIGTERM; the platform still sends new connections for 0.4 s
MAX_STOP_S = 3.0  # longest stop after that: the platform waits no longer, whatever the deadlines
HELD_BACK_INTERVAL_S = 2.0  # period of the log's report on suppressed lines
SLOW_READER_GRACE_S = 30.0  # additional time for responses that are being sent to slow clients
LIST_INTERVAL_S = 0.25  # minimum interval between two lists sent to the other process
STOP_POLL_S = 0.02  # a stopping sidecar checks this often whether all requests are answered


class Policy(Protocol):
    """Routes, limits and stricter settings from the operator's file."""

    @property
    def limiter(self) -> Limiter:
        """Limiter for the requests that match a route."""

    @property
    def routes(self) -> Routes:
        """Look-up of the route that a request matches."""

    def settings(self, platform: Settings) -> Settings:
        """Return the platform's settings, with the stricter values of the file."""

    def prepare(self, config: Config) -> object:
        """Read and check the file for a new configuration; raise ValueError if it is invalid. Runs in a thread."""

    def take(self, prepared: object, now: int) -> None:
        """Apply a prepared file."""

    def page(self, now: int) -> bytes:
        """Return the report on the routes for operators."""

    def told(self, now: int) -> object:
        """Return the state for the process that takes over, as plain data."""

    def recall(self, now: int, state: object) -> bool:
        """Restore that state; return False if it can't be used."""


class Sidecar:
    """One sidecar process: listener, servers and discovery, connected to one balancer of the decision module."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, policy: Policy | None = None) -> None:
        self._config, self._loop, self._policy = config, loop, policy
        self._settings = settings = config.settings if policy is None else policy.settings(config.settings)
        self._gate = self._make_gate(None)
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
        self._memory_guard = MemoryGuard(
            config.memory_mb, resident_bytes, release_free_memory, self._budget, self._listener.unread_bytes
        )
        self.set_process_count(1)
        self._lines: dict[str, Line] = {}  # the current server list, by name
        self._list_version = -1
        self._list_sent_at = 0.0  # loop time at which the other process was last sent the list
        self._list_timer: asyncio.TimerHandle | None = None  # sends the list again after further changes
        known = read_listing(config.known, settings)
        self._draw = random.Random(config.seed).random
        self._discovery = Discovery(
            loop, config.discovery, settings, known.version, self._on_discovery, self._draw, self._lines
        )
        self.core.join(Balancer(settings, config.seed, self.core.clock()), self._backend, self)
        self._apply_list(known, "SAVED")
        self._follow_task = None if settings.must_ask else loop.create_task(self._discovery.follow())
        self._control = Control(self)
        self._listeners = ListenerSupervisor(_log_listener_event)
        self._port = 0
        self.control_port = 0
        self._takeover: Takeover | None = None
        self._has_ceded = False
        self._serving: asyncio.Task[None] | None = None
        self._is_open = False  # also true while the predecessor still accepts the clients
        self._configure_probes(settings)

    def _configure_probes(self, settings: Settings) -> None:
        # A server whose probe takes this long counts as stalled, whatever the probe would return.
        self.core.probe_limit_s = min(c.aim_ns for c in settings.classes) / 6e9
        self._backend.request_load_reports(settings.reports != "none")
        self._upstream.set_prices(settings.prices)

    def _make_gate(self, previous: RequestValidator | None) -> RequestValidator:
        routes = self._policy.routes if self._policy is not None else None
        return RequestValidator(self._settings, previous, self._loop.time(), self._config.settings, routes)

    # --- Lifecycle

    async def start(self) -> int:
        """Listen for clients, and for operators if an address is set; return the port for clients.

        An address that can't be bound yet is tried again in the background; the port is 0 then.

        Raises:
            OSError: The inherited descriptor is no listening socket.
        """
        config, loop = self._config, self._loop
        if config.control is not None:
            await self._listeners.open(CONTROL, self._listen_for_operators)
        wait = False
        if config.listen_fd is None:
            await self._listeners.open(CLIENTS, self._listen_for_clients)
        else:
            self._port = self._listener.listen(loop, config.listen, config.listen_fd)
            self._takeover = Takeover(self, loop, config.folder)
            self.core.on_id_taken = self._send_id
            wait = await self._takeover.find_predecessor()
        self._is_open = True
        if not wait:
            self.open_to_clients()
        self._schedule_held_back_log()
        self._check_memory()
        return self._port

    def is_listening(self) -> bool:
        """Return whether the clients' address is open."""
        return self._port != 0

    async def _listen_for_operators(self) -> None:
        assert self._config.control is not None
        self.control_port = await self._control.start(self._loop, self._config.control)

    async def _listen_for_clients(self) -> None:
        self._port = self._listener.listen(self._loop, self._config.listen, None)
        if self._is_open:
            self._listener.start_accepting()

    def _schedule_held_back_log(self) -> None:
        log_held_back()
        self._loop.call_later(HELD_BACK_INTERVAL_S, self._schedule_held_back_log)

    def _check_memory(self) -> None:
        """Check the memory of the process periodically; schedule the next check first, in case this one raises."""
        self._loop.call_later(CHECK_INTERVAL_S, self._check_memory)
        check = self._memory_guard.check()
        if check is not None and check.released_bytes is not None:
            LOG.info("memory.released", resident=check.resident_bytes, released=check.released_bytes)

    async def stop(self) -> None:
        """Accept requests while they may still arrive, answer all of them, and close idle connections.

        Protects requests in the listen queue: the kernel has accepted these connections, so the event loop must read
        them before the socket is closed.
        """
        self._listeners.close()
        if self._takeover is not None:
            # The listening socket outlives this process: its queue belongs to the successor.
            self._listener.stop_accepting()
            self._has_ceded = self.core.module.ceded = self._takeover.cede()
        # All accepted requests are answered by then; an incomplete request was not accepted.
        latest = self._loop.time() + KEEP_ACCEPTING_S + min(self._longest_ns / 1e9, MAX_STOP_S)
        self.core.set_end_time(latest)
        self._listener.disable_keep_alive()
        await asyncio.sleep(KEEP_ACCEPTING_S)
        self._listener.close()
        # A response that is being sent goes on while its client reads: if cut off, it would be lost.
        while self._listener.busy() and (
            self._loop.time() < latest
            or (self._listener.sending() and self._loop.time() < latest + SLOW_READER_GRACE_S)
        ):
            await asyncio.sleep(STOP_POLL_S)
            self._listener.close()
        self._control.close()
        if self._takeover is not None:
            self._takeover.close()

    def reconfigure(self, config: Config, prepared: object = None) -> None:
        """Apply a checked configuration in one turn of the event loop.

        Args:
            config: The new configuration.
            prepared: The operator's file for it, as returned by `Policy.prepare`.
        """
        old, new = self._settings, config.settings
        is_moved = config.discovery != self._config.discovery
        previous, self._config = self._config, config
        self._stats.reconfig_ok += 1
        if self._policy is not None:
            self._policy.take(prepared, self.core.clock())
            new = self._policy.settings(config.settings)
        if new != old or config.settings != previous.settings or self._policy is not None:
            self._settings = new
            self._gate = self._make_gate(self._gate)
        if new != old:
            self._stats.add_classes(c.name for c in new.classes)
            self._adjust_longest_deadline(max(c.deadline_ns for c in new.classes))
            self._upstream.adjust(new.limits.connect_timeout_ns, new.limits.conn_idle_ns, _stall_s(new))
            self._configure_probes(new)
            self.core.deliver(Reconfigure(new))
        listed = (new.zones, new.kinds, new.must_ask, new.invariants.must_ask_in_ns)
        if is_moved or listed != (old.zones, old.kinds, old.must_ask, old.invariants.must_ask_in_ns):
            self.move_discovery(config.discovery)
        self.core.recheck()

    def _adjust_longest_deadline(self, longest_ns: int) -> None:
        """Change the longest deadline. A shorter one applies only after the requests accepted before have ended."""

        def recompute() -> None:
            self._longest_ns = max(c.deadline_ns for c in self._settings.classes)
            self.core.id_lifetime_s = 2 * self._longest_ns / 1e9

        self._loop.call_later(self.core.id_lifetime_s, recompute)
        self._longest_ns = max(self._longest_ns, longest_ns)
        self.core.id_lifetime_s = 2 * self._longest_ns / 1e9

    def config_rejected(self) -> None:
        """Count a configuration that was rejected."""
        self._stats.reconfig_failed += 1

    def move_discovery(self, address: Address) -> None:
        """Switch to another discovery service: its complete list first, with its own version numbers."""
        self._discovery.close()
        self._discovery = Discovery(
            self._loop, address, self._settings, None, self._on_discovery, self._draw, self._lines
        )
        if self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None
        self.core.deliver(Directory("MOVED"))
        if not self._settings.must_ask:
            self._follow_task = self._loop.create_task(self._discovery.follow())

    # --- LocalSidecar, for the takeover

    def set_process_count(self, processes: int) -> None:
        """Divide the limits by the number of processes that form this sidecar."""
        sockets = min(self._config.sockets // processes, self._descriptor_limit())
        clients, servers = descriptors(sockets)
        self._listener.resize(clients, sockets // 4)
        self._upstream.resize(servers)
        self._budget.resize(self._config.memory_mb, processes)
        self._memory_guard.set_limit(self._config.memory_mb / processes)

    def _descriptor_limit(self) -> int:
        """Return the descriptor limit of this process, which may be lower than the configured one."""
        granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if granted in (resource.RLIM_INFINITY, -1):
            return self._config.sockets
        if granted < self._config.sockets:
            LOG.warning("process.fewer_descriptors", granted=granted, configured=self._config.sockets)
        return granted

    def open_to_clients(self) -> None:
        """Accept clients, and listen for the successor."""
        self._listener.start_accepting()
        if self._takeover is not None:
            LOG.info("takeover.clients_taken")
            self._serving = self._loop.create_task(self._takeover.serve())

    def state(self) -> dict[str, Any]:
        """Return the state that another process needs to continue as this sidecar."""
        now = self._loop.time()
        listing = Listing(self._list_version, True, tuple(self._lines.values()))
        return {
            "list": pack_list(listing),
            "ids": [[rid.decode("latin-1"), now - at] for rid, at in self.core.ids()],
            "memory": memory.export_state(self.core.module, self.core.clock()),
            **({"limits": self._policy.told(self.core.clock())} if self._policy is not None else {}),
        }

    def adopt(self, state: dict[str, Any]) -> None:
        """Continue from the state of the predecessor. Each part is checked, and ignored if it is invalid."""
        listed = state.get("list")
        self.receive_frame({**(listed if isinstance(listed, dict) else {}), "kind": "list"})
        now = self._loop.time()
        try:
            ids = {str(rid).encode("latin-1"): now - float(age) for rid, age in state["ids"]}
        except (KeyError, TypeError, ValueError) as error:
            LOG.warning("takeover.left_aside", part="ids", reason=repr(error))
            ids = {}
        self.core.add_ids(ids)
        if not memory.restore_state(self.core.module, self.core.clock(), state.get("memory")):
            LOG.warning("takeover.left_aside", part="memory")
        if self._policy is not None and not self._policy.recall(self.core.clock(), state.get("limits")):
            LOG.warning("takeover.left_aside", part="limits")

    def receive_frame(self, frame: dict[str, Any]) -> None:
        """Handle a frame from the other process: an accepted request id, or a server list."""
        if frame.get("kind") == "id":
            self.core.add_id(str(frame.get("id")).encode("latin-1", "replace"))
        elif frame.get("kind") == "list":
            try:
                listing = unpack_list(frame)
            except ValueError as error:
                LOG.warning("takeover.left_aside", part="list", reason=error)
                return
            if listing.version > self._list_version:
                self._apply_list(listing, "SAVED")
                self._discovery.advance_version(listing.version)

    def _send_id(self, rid: bytes) -> None:
        if self._takeover is not None and self._takeover.is_linked():
            self._takeover.send("id", id=rid.decode("latin-1"))

    # --- Service, for the client connections

    def ready(self) -> bool:
        """Return whether requests can be served, by this process or by its successor."""
        ceded = self._takeover is not None and self._has_ceded and self._takeover.is_linked()
        return self._upstream.any_up() and (ceded or not self._listener.is_keep_alive_disabled())

    def request(self, message: Message) -> None:
        """Validate a request and pass it to the core, or answer with an error status."""
        if self._budget.is_spent:
            message.reply(503, b"", [(b"Retry-After", SHED_RETRY_AFTER)])
            return
        admitted = self._gate.validate(message, self._loop.time())
        if isinstance(admitted, int):
            message.reply(admitted)
        else:
            self.core.take(message, admitted)

    def complete(self, message: Message) -> None:
        """Handle the last byte of a streamed request."""
        self.core.complete(message)

    def hangup(self, message: Message) -> None:
        """Handle a client that disconnected."""
        self.core.hangup(message)

    # --- ControlTarget, for operators

    def healthy(self) -> bool:
        """Return whether this process is ready to serve."""
        is_serving = self._is_open and self.is_listening()
        is_ready = is_serving and self._upstream.any_up() and not self._listener.is_keep_alive_disabled()
        if is_ready and self._takeover is not None:
            self._takeover.reported_ready()
        return is_ready

    def figures(self) -> bytes:
        """Return the metrics as text."""
        listed, down = self.core.module.census(self.core.clock())
        guard = self._memory_guard
        process = ProcessCounters(
            LOG_WRITER.dropped_total, int(sum(self._listeners.failures().values())), guard.releases_total
        )
        return self._stats.render(Gauges(self.core.taken, listed, down, guard.resident_bytes), process)

    def routes(self) -> bytes | None:
        """Return limits and metrics of the operator's routes; None without an operator's file."""
        return self._policy.page(self.core.clock()) if self._policy is not None else None

    def drain(self, on: bool) -> None:
        """Start or end the drain of the sidecar. Requests are still served meanwhile."""
        if on != self._listener.draining:
            LOG.info("drain.begun" if on else "drain.ended")
        self._listener.drain(on)

    # --- RequestCounter and DiscoveryCommands, for the core

    def ended(self, cls: str, ending: Ending) -> None:
        """Count a finished request."""
        self._stats.ended(cls, STATUS.get(ending, 0))

    def wrote(self) -> None:
        """Count an attempt that was sent completely."""
        self._stats.wrote()

    def subscribe(self, want: bool) -> None:
        """Start a watch on the server list, or stop it."""
        self._discovery.subscribe(want)

    def fetch(self) -> None:
        """Fetch the complete server list once."""
        self._discovery.fetch()

    # --- Server list

    def _on_discovery(self, listing: Listing | CallEnded) -> None:
        if isinstance(listing, CallEnded):
            self.core.deliver(Directory(listing.scope, took_ns=listing.took_ns))
        else:
            self._apply_list(listing, "FULL" if listing.is_snapshot else "INCREMENTAL")
            if not listing.is_partial:
                self._send_list()

    def _send_list(self) -> None:
        """Send the list to the other process of this sidecar, if there is one.

        The cost grows with the list, so of a burst of changes only the first and the final list are sent. The other
        process also has a watch of its own.
        """
        now = self._loop.time()
        if self._takeover is None or not self._takeover.is_linked() or self._list_timer is not None:
            return
        if now < self._list_sent_at + LIST_INTERVAL_S:
            self._list_timer = self._loop.call_later(
                self._list_sent_at + LIST_INTERVAL_S - now, self._send_delayed_list
            )
            return
        self._list_sent_at = now
        self._takeover.send("list", **pack_list(Listing(self._list_version, True, tuple(self._lines.values()))))

    def _send_delayed_list(self) -> None:
        self._list_timer, self._list_sent_at = None, 0.0
        self._send_list()

    def _apply_list(self, listing: Listing, scope: str) -> None:
        """Apply a list or a change of the list. An unchanged line costs only a comparison."""
        lines, upstream, is_complete = self._lines, self._upstream, scope != "INCREMENTAL"
        entries: list[Entry] = []
        for line in listing.lines:
            entry, address = line
            previous = lines.get(entry.server)
            if previous is not None and (previous is line or previous == line):
                if is_complete:
                    entries.append(previous.entry)
                continue
            entries.append(entry)
            if entry.lifecycle == "removed":
                lines.pop(entry.server, None)
                upstream.remove(entry.server)
            else:
                lines[entry.server] = line
                upstream.update(entry.server, address, entry.started_ns, entry.lifecycle == "up")
        if is_complete:
            names = {line.entry.server for line in listing.lines}
            upstream.keep_only(names)
            for name in lines.keys() - names:
                del lines[name]
        if not listing.is_partial:
            self._list_version = listing.version
        self.core.deliver(Directory(scope, tuple(entries), listing.version))


def _log_listener_event(event: ListenerEvent) -> None:
    if isinstance(event, ListenerFailed):
        LOG.warning("listener.retried", listener=event.listener, attempts=event.attempts, reason=event.error)
    else:
        LOG.info("listener.opened", listener=event.listener, attempts=event.attempts)


def _stall_s(settings: Settings) -> float:
    """Return the longest pause in a streamed response, in seconds."""
    return min(c.aim_ns for c in settings.classes) / 2e9

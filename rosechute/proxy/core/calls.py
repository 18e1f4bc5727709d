"""The core: table of calls and attempts, fallback timers, and event delivery to the decision module.

The core makes no load-balancing decisions and knows no wire protocol. What happens at a front or a backend becomes
an event for `rosechute.load_balancing.rules`; the core carries out the actions that it returns.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, Protocol

from rosechute.load_balancing.interface import (
    NEVER_RAN,
    Accept,
    Action,
    Alarm,
    Bounds,
    CloseIdle,
    Defer,
    Echo,
    Event,
    Fail,
    Fetch,
    Hangup,
    How,
    Note,
    Probe,
    Refuse,
    RequestClass,
    Response,
    Retract,
    Submit,
    Subscribe,
    Tell,
)
from rosechute.load_balancing.rules import Balancer
from rosechute.proxy.core.clock import Clock
from rosechute.proxy.core.flow import Sink
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.ports import REFUSE, WAIT, Attempt, Backend, Ending, Limiter, Load, Q, R, RequestInfo
from rosechute.proxy.core.shares import MARGIN_NS

FALLBACK_MARGIN_NS = (
    5_000_000  # the fallback timer fires this much before the client's deadline, after the module's own
)
SHUTDOWN_MARGIN_S = 0.05  # open requests are answered this long before the process exits
HEARTBEAT_S = 0.02  # period of the timer that measures event loop lag
STALL_WARNING_S = 0.1  # event loop lag from which a warning is logged
LIMITER_ENDINGS = {
    Ending.SERVED: "served",
    Ending.REFUSED: "refused",
    Ending.GONE: "gone",
}  # any other ending is "failed"
RECENT_READ_S = 0.02  # a client that sent its request this recently counts as connected, unless the loop lags
MAX_LOOP_LAG_S = 0.03  # lag of the last two heartbeats above which unread input is likely
CONNECT_TIMEOUT_S = 2.0  # wait for a connection while the request body is still arriving
# Looked up once: access to an enum member costs ten times as much as access to a global name.
OK, TIMEOUT, MOOT, SERVED = How.OK, How.TIMEOUT, How.MOOT, Ending.SERVED


class RequestCounter(Protocol):
    """Counter of finished requests and sent attempts."""

    def ended(self, cls: str, ending: Ending) -> None:
        """Count a finished request of this class."""
        ...

    def wrote(self) -> None:
        """Count an attempt that was sent completely."""
        ...


class DiscoveryCommands(Protocol):
    """Discovery requests that the decision module can make."""

    def subscribe(self, want: bool) -> None:
        """Start a watch on the server list, or stop it."""
        ...

    def fetch(self) -> None:
        """Fetch the complete server list once."""
        ...


class Call(Generic[Q, R]):
    """An accepted request. It is kept until it is finished and none of its attempts is in flight."""

    __slots__ = (
        "tid",
        "info",
        "cls",
        "request",
        "attempts",
        "in_flight",
        "maybe_ran",
        "is_over",
        "fallback_timer",
        "last_outcome",
        "wait_ns",
        "streaming",
        "waits_for_limits",
    )

    def __init__(self, tid: str, request: Q, info: RequestInfo, wait_ns: int) -> None:
        self.tid, self.request, self.info, self.wait_ns = tid, request, info, wait_ns
        self.cls: RequestClass = info.kind
        self.attempts = 0
        self.in_flight: dict[int, Attempt] = {}
        self.maybe_ran = False
        self.is_over = False  # answered, or the client has disconnected
        self.fallback_timer: asyncio.TimerHandle | None = None
        self.last_outcome: How | None = None
        self.streaming: Attempt | None = None  # the attempt whose response is being streamed to the client
        self.waits_for_limits = False  # queued by its route's limits; not yet known to the module


class CoreAttemptObserver(Generic[Q, R]):
    """Turns the progress of one attempt, as the backend reports it, into events for the decision module."""

    __slots__ = ("_core", "_call", "_server", "_number", "_written_at_ns", "_abandon_at_ns")

    def __init__(
        self, core: Core[Q, R], call: Call[Q, R], server: str, number: int, sent_at_ns: int, abandon_at_ns: int
    ) -> None:
        self._core, self._call, self._server, self._number = core, call, server, number
        self._written_at_ns = sent_at_ns  # a streamed body sets it again: the server starts only after the last byte
        self._abandon_at_ns = abandon_at_ns

    def wanted(self) -> bool:
        """Return whether the client still waits for the response.

        Protects servers from requests whose client has disconnected: the event may be queued behind others, or
        behind unread bytes. The kernel is asked only if the request has waited, or if the event loop lags.
        """
        call, core = self._call, self._core
        if call.is_over:
            return False
        if core.loop.time() - call.request.came < RECENT_READ_S and not core.is_behind():
            return True
        return not call.request.left()

    def wrote(self) -> None:
        """Start the latency measurement of a streamed body, and count the attempt."""
        if self._call.request.stream is not None:
            self._written_at_ns = self._core.clock()
        self._core.counter.wrote()

    def rested(self) -> None:
        """Restart the latency measurement: the wait for a connection was not caused by the server."""
        self._written_at_ns = self._core.clock()

    def left_s(self) -> float:
        """Return the seconds until the attempt is abandoned, once the request is sent completely."""
        call = self._call
        return call.request.came + (call.wait_ns - MARGIN_NS) / 1e9 - self._core.loop.time()

    def wait_s(self) -> float:
        """Return the timeout in seconds that is sent to the server."""
        if self._call.request.stream is not None:
            return (self._call.wait_ns - MARGIN_NS) / 1e9  # from the last byte
        return max(0.001, (self._abandon_at_ns - self._core.clock()) / 1e9)

    def begin(self, reply: R, length: int | None, load: Load) -> Sink | None:
        """Start to stream a response; return its destination, or None if the client no longer wants it.

        The module gets the outcome now: how long the rest takes depends on the client as well, and says nothing
        about the server.
        """
        call, core = self._call, self._core
        attempt = call.in_flight.get(self._number)
        if call.is_over or attempt is None or not call.request.begin(reply, length, attempt):
            return None
        call.is_over, call.streaming = True, attempt
        if call.fallback_timer is not None:
            call.fallback_timer.cancel()
        latency_ns = core.clock() - self._written_at_ns
        core.deliver(Response(call.tid, OK, latency_ns, self._server, self._number, True, load))
        core.forget(call)
        return call.request

    def outcome(self, how: How, reply: R | None, load: Load) -> None:
        """Record the outcome of the attempt, and report it to the module unless its response was streamed."""
        call, core = self._call, self._core
        attempt = call.in_flight.pop(self._number, None)
        if attempt is not None and attempt is call.streaming:
            is_complete = how is OK
            call.streaming = None
            core.finish(call, SERVED if is_complete else Ending.FAILED)
            call.request.end(is_complete)
            core.forget(call)
            return
        call.maybe_ran = call.maybe_ran or how not in NEVER_RAN
        call.last_outcome = how
        if how is OK and reply is not None and not call.is_over:
            core.finish(call, SERVED)
            call.request.answer(SERVED, reply)
        latency_ns = core.clock() - self._written_at_ns
        stream = call.request.stream
        can_retry = stream is None or not stream.begun
        core.deliver(Response(call.tid, how, latency_ns, self._server, self._number, call.is_over, load, can_retry))
        core.forget(call)


class Core(Generic[Q, R]):
    """One balancer of the decision module with its clock, its timers and its calls."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counter: RequestCounter,
        longest_ns: int,
        clock: Callable[[], int] | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop, self.counter = loop, counter
        self.clock = clock or Clock()
        self._monotonic = monotonic
        self.calls: dict[str, Call[Q, R]] = {}
        self.taken = 0  # requests without a final answer
        self.ends_at: float | None = None  # loop time at which the process exits, once it is known
        self.limiter: Limiter | None = None
        self.on_id_taken: Callable[[bytes], None] | None = None  # called with the id of each accepted request
        self.probe_limit_s = 0.0
        self._call_count = 0
        self._ids: dict[bytes, float] = {}  # ids of recently accepted requests, with the loop time of each
        self.id_lifetime_s = 2 * longest_ns / 1e9
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._heartbeat_due = 0.0
        self._last_lag = 0.0  # lateness of the last heartbeat, in seconds
        self._heartbeat()

    def join(self, module: Balancer, backend: Backend[Q, R], discovery: DiscoveryCommands) -> None:
        """Connect the decision module, the backend and the discovery client."""
        self.module, self._backend, self._discovery = module, backend, discovery

    # --- Events for the module

    def deliver(self, event: Event) -> None:
        """Pass an event to the module. Events caused by its actions are queued until the actions are done."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:
            self._on_exception(getattr(event, "tid", ""))
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                self._on_exception(getattr(action, "tid", ""))

    def _on_exception(self, tid: str) -> None:
        """Log an exception and fail only the request that raised it."""
        LOG.error("call.broken", call=tid, exc_info=True)
        call = self.calls.get(tid)
        if call is not None:
            self._answer_without_module(call, Ending.BROKEN)

    # --- Interface for the fronts

    def take(self, request: Q, info: RequestInfo) -> None:
        """Accept a request. From here on it gets exactly one final answer."""
        now = self.loop.time()
        if not self._new_id(info.rid, now):
            request.answer(Ending.REPEATED)
            return
        self._call_count += 1
        request.tid = tid = str(self._call_count)
        # It may have waited behind another request, or unread while the process was starved of CPU.
        stall_ns = int((now - request.came + self._stall_s()) * 1e9)
        rule, longest = info.rule, info.wait_ns
        if rule is not None and rule.timeout_ns:
            longest = min(longest, rule.timeout_ns)
        wait = self._cap_to_shutdown(longest - stall_ns, now)
        call = self.calls[tid] = Call(tid, request, info, wait)
        self.taken += 1
        if request.complete:
            call.fallback_timer = self.loop.call_later(
                (wait - FALLBACK_MARGIN_NS) / 1e9, self._on_fallback_timer, call
            )
        bounds: Bounds | None = None
        if rule is not None and self.limiter is not None:
            decision = self.limiter.asks(self.clock(), tid, info)
            if decision.state == REFUSE:
                self._answer(tid, Ending.REFUSED, decision.hold_off_ns)
                return
            if decision.state == WAIT:
                call.waits_for_limits = True
                if call.fallback_timer is None:
                    # Its body is not read while it is queued, so the last byte may never arrive.
                    call.fallback_timer = self.loop.call_later(
                        (wait - FALLBACK_MARGIN_NS) / 1e9, self._on_fallback_timer, call
                    )
                return
            bounds = decision.bounds
        self._accept(call, wait, bounds)

    def _accept(self, call: Call[Q, R], wait_ns: int, bounds: Bounds | None) -> None:
        info = call.info
        self.deliver(
            Accept(
                call.tid,
                info.cls,
                wait_ns - MARGIN_NS,
                info.cost_ns,
                info.tenant,
                info.key,
                info.retry,
                info.write,
                info.kind if info.cls < 0 else None,
                bounds,
            )
        )

    def _admit_waiting(self, ready: list[tuple[str, Bounds | None]]) -> None:
        """Pass calls that were queued by their limits to the module, with the time that remains."""
        for tid, bounds in ready:
            call = self.calls.get(tid)
            if call is None or call.is_over:
                continue
            call.waits_for_limits = False
            if not call.request.complete and call.fallback_timer is not None:
                call.fallback_timer.cancel()  # the client's deadline counts from the last byte of the body
                call.fallback_timer = None
            elapsed_ns = int((self.loop.time() - call.request.came) * 1e9) if call.request.complete else 0
            self._accept(call, max(0, call.wait_ns - max(0, elapsed_ns)), bounds)

    def recheck(self) -> None:
        """Pass on the queued calls that changed limits now admit."""
        if self.limiter is not None:
            self._admit_waiting(self.limiter.released(self.clock()))

    def complete(self, request: Q) -> None:
        """Start the client's deadline of a streamed request: its last byte has been read."""
        call = self.calls.get(request.tid)
        if call is not None and not call.is_over:
            call.wait_ns = self._cap_to_shutdown(call.wait_ns - int(self._stall_s() * 1e9), request.came)
            if call.fallback_timer is not None:
                call.fallback_timer.cancel()
            call.fallback_timer = self.loop.call_later(
                (call.wait_ns - FALLBACK_MARGIN_NS) / 1e9, self._on_fallback_timer, call
            )

    def hangup(self, request: Q) -> None:
        """Handle a client that disconnected. Outcomes of its attempts are still reported to the module."""
        call = self.calls.get(request.tid)
        if call is None:
            return
        if call.streaming is not None:
            call.streaming.cancel()
        elif not call.is_over:
            self.finish(call, Ending.GONE)
            self.deliver(Hangup(call.tid))
            self.forget(call)

    def set_end_time(self, ends_at: float) -> None:
        """Announce the loop time at which the process exits.

        Clients with a later deadline get an answer just before: an open request would be lost at the exit.
        """
        self.ends_at = ends_at
        for call in self.calls.values():
            if not call.is_over and call.fallback_timer is not None and self._ends_before_client(call):
                call.fallback_timer.cancel()
                call.fallback_timer = self.loop.call_at(ends_at - SHUTDOWN_MARGIN_S, self._on_fallback_timer, call)

    def _ends_before_client(self, call: Call[Q, R]) -> bool:
        """Return whether the process exits before the client's deadline."""
        return self.ends_at is not None and call.request.came + call.wait_ns / 1e9 > self.ends_at - SHUTDOWN_MARGIN_S

    def _cap_to_shutdown(self, wait_ns: int, now: float) -> int:
        """Return `wait_ns`, limited to the time that the process still runs."""
        return wait_ns if self.ends_at is None else min(wait_ns, int((self.ends_at - SHUTDOWN_MARGIN_S - now) * 1e9))

    # --- Request ids

    def _new_id(self, rid: bytes, now: float) -> bool:
        """Record a request id; return False if it belongs to an open or recent request.

        Protects requests that must not run twice: every request has a new id, so a second one is a copy, which
        must not run beside the first nor right after it.
        """
        ids = self._ids
        while ids:
            oldest = next(iter(ids))
            if now - ids[oldest] < self.id_lifetime_s:
                break
            del ids[oldest]
        if rid in ids:
            return False
        ids[rid] = now
        if self.on_id_taken is not None:
            self.on_id_taken(rid)
        return True

    def add_id(self, rid: bytes) -> None:
        """Record the id of a request that another process of this sidecar has accepted."""
        self._ids.setdefault(rid, self.loop.time())

    def add_ids(self, ids: dict[bytes, float]) -> None:
        """Record ids of requests that another process has accepted, each with its loop time."""
        ids.update(self._ids)
        self._ids = dict(sorted(ids.items(), key=lambda pair: pair[1]))

    def ids(self) -> Iterator[tuple[bytes, float]]:
        """Iterate over the ids of recently accepted requests, each with its loop time."""
        return iter(self._ids.items())

    # --- Event loop lag

    def _heartbeat(self) -> None:
        self._last_lag = stalled = self._stall_s()
        if stalled > STALL_WARNING_S:
            LOG.warning("loop.stood_still", seconds=round(stalled, 3))
        self._heartbeat_due = self._monotonic() + HEARTBEAT_S
        self.loop.call_later(HEARTBEAT_S, self._heartbeat)

    def is_behind(self) -> bool:
        """Return whether input may have been unread for more than about 0.07 s.

        A long turn of the event loop shows in the heartbeat that it delays; input that arrived meanwhile is read
        in the next turn.
        """
        return self._last_lag + self._stall_s() > MAX_LOOP_LAG_S

    def _stall_s(self) -> float:
        """Return for how many seconds the event loop may have been stalled.

        Input that is read now may have arrived that much earlier. Protects the client's deadline, which counts
        from when the request was sent: a process starved of CPU reads late and would count from the read.
        """
        return max(0.0, self._monotonic() - self._heartbeat_due) if self._heartbeat_due else 0.0

    # --- Actions of the module

    def _perform(self, action: Action) -> None:
        match action:
            case Submit(tid, server, abandon_ns):
                self._submit(tid, server, abandon_ns)
            case Probe(server):
                self._probe(server)
            case Defer(in_ns, tag):
                self._defer(self.clock() + in_ns, tag)
            case Refuse(tid, hold_off_ns):
                self._answer(tid, Ending.REFUSED, hold_off_ns)
            case Fail(tid):
                call = self.calls.get(tid)
                late = call is not None and call.last_outcome is TIMEOUT
                self._answer(tid, Ending.LATE if late else Ending.FAILED)
            case Retract(tid, number):
                call = self.calls.get(tid)
                if call is not None and number in call.in_flight:
                    call.in_flight[number].cancel()
            case CloseIdle(server):
                self._backend.close_idle(server)
            case Subscribe(want):
                self._discovery.subscribe(want)
            case Fetch():
                self._discovery.fetch()
            case Note(text):
                LOG.info("module.note", text=text)
            case Tell():
                raise NotImplementedError("this deployment has no peers")

    def _submit(self, tid: str, server: str, abandon_ns: int) -> None:
        call = self.calls[tid]
        number, call.attempts = call.attempts, call.attempts + 1
        sent_at_ns = self.clock()
        abandon_at_ns = abandon_ns or sent_at_ns + call.cls.deadline_ns
        observer = CoreAttemptObserver(self, call, server, number, sent_at_ns, abandon_at_ns)
        stream = call.request.stream
        attempt = None
        if not call.is_over and (stream is None or not stream.begun):
            limit = (abandon_at_ns - sent_at_ns) / 1e9 if stream is None else CONNECT_TIMEOUT_S
            attempt = self._backend.attempt(server, call.request, limit, observer)
        if attempt is None:
            observer.outcome(MOOT, None, {})
        else:
            call.in_flight[number] = attempt
            attempt.start()

    def _probe(self, server: str) -> None:
        sent_at_ns = self.clock()

        def report_result(how: How, load: Load) -> None:
            self.deliver(Echo(server, how, self.clock() - sent_at_ns, load))

        attempt = self._backend.probe(server, self.probe_limit_s, report_result)
        if attempt is None:
            report_result(MOOT, {})
        else:
            attempt.start()

    def _defer(self, due_ns: int, tag: int) -> None:
        self.loop.call_later(max(0.0, (due_ns - self.clock()) / 1e9), self._alarm, due_ns, tag)

    def _alarm(self, due_ns: int, tag: int) -> None:
        if self.clock() < due_ns:
            # Timers of the loop have millisecond resolution and may fire early; the module compares with its
            # clock and would ignore an early alarm, which is not repeated.
            self.loop.call_later(0.001, self._alarm, due_ns, tag)
        else:
            self.deliver(Alarm(tag))

    # --- End of requests

    def _answer(self, tid: str, ending: Ending, hold_off_ns: int = 0) -> None:
        call = self.calls.get(tid)
        if call is not None and not call.is_over:
            self.finish(call, ending)
            call.request.answer(ending, None, hold_off_ns)
            self.forget(call)

    def finish(self, call: Call[Q, R], ending: Ending) -> None:
        """Mark a call as finished, count it and release its limits. Every request ends here."""
        call.is_over = True
        self.taken -= 1
        self.counter.ended(call.cls.name, ending)
        if call.fallback_timer is not None:
            call.fallback_timer.cancel()
        if self.limiter is not None and call.info.rule is not None:
            # In a turn of its own: the answer is written first.
            self.loop.call_soon(self._on_limits_freed, call.tid, LIMITER_ENDINGS.get(ending, "failed"))

    def _on_limits_freed(self, tid: str, ending: str) -> None:
        if self.limiter is not None:
            self._admit_waiting(self.limiter.ended(self.clock(), tid, ending))

    def forget(self, call: Call[Q, R]) -> None:
        """Remove a finished call once none of its attempts is in flight.

        Protects servers from requests without a waiting client: attempts of a finished call that were not sent yet
        are withdrawn. Otherwise they would be sent when their connection opens, long after the client has left.
        """
        if not call.is_over:
            return
        for attempt in list(call.in_flight.values()):
            attempt.withdraw()
        if not call.in_flight:
            self.calls.pop(call.tid, None)

    def _on_fallback_timer(self, call: Call[Q, R]) -> None:
        """Answer a request whose deadline is near, so that none stays open whatever happened before."""
        if call.waits_for_limits and not call.is_over:
            self._answer(call.tid, Ending.REFUSED)  # the limits never admitted it, so no server has run it
        elif not call.is_over and self._ends_before_client(call):
            self._answer_without_module(call, Ending.LATE)
        elif not call.is_over:
            LOG.error("call.unanswered", call=call.tid, cls=call.cls.name)
            self._answer_without_module(call, Ending.LATE)

    def _answer_without_module(self, call: Call[Q, R], ending: Ending) -> None:
        """Answer without the module. A non-repeatable request is refused only if no attempt can have run."""
        is_repeatable = call.cls.repeat == "free"
        may_have_run = call.maybe_ran or bool(call.in_flight)
        self._answer(call.tid, ending if may_have_run and not is_repeatable else Ending.REFUSED)
        self.deliver(Hangup(call.tid))  # ends the call in the module as well

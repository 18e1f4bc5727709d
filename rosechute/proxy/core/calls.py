"""The core: the table of calls and attempts, the guards, and delivery to the decision module.

Nothing is decided here, and nothing is known of any wire. What happens at a front or a backend becomes an
event for `rosechute.load_balancing.rules`, and what that answers is carried out.
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
from rosechute.proxy.core.ports import REFUSE, WAIT, Asked, Attempt, Backend, Ending, Limiter, Load, Q, R
from rosechute.proxy.core.shares import MARGIN_NS

GUARD_NS = 5_000_000  # the last guard, between the module's deadline and the client's
LAST_S = 0.05  # how long before its own end this process gives the answers that are still owed
BEAT_S = 0.02  # how often the loop shows that it runs
STALL_S = 0.1  # from when on a standstill is worth a line in the log
ENDED = {Ending.SERVED: "served", Ending.REFUSED: "refused", Ending.GONE: "gone"}  # all else is "failed"
FRESH_S = 0.02  # a request that was read so lately has a client, unless the loop is behind
BEHIND_S = 0.03  # how much late the last two beats may be: past that, what has come is not known yet
CONNECTING_S = 2.0  # how long a request whose body is still coming in may wait for a connection
# Looked up once: an enumeration's members cost ten times a name's look-up.
OK, TIMEOUT, MOOT, SERVED = How.OK, How.TIMEOUT, How.MOOT, Ending.SERVED


class Ends(Protocol):
    """Who counts what becomes of requests and attempts."""

    def ended(self, cls: str, ending: Ending) -> None: ...

    def wrote(self) -> None: ...


class Directions(Protocol):
    """Who carries out what the module wants of discovery."""

    def subscribe(self, want: bool) -> None: ...

    def fetch(self) -> None: ...


class Call(Generic[Q, R]):
    """A request taken from a front, until it is over and no attempt is out."""

    __slots__ = (
        "tid",
        "asked",
        "cls",
        "request",
        "attempts",
        "out",
        "maybe_ran",
        "over",
        "guard",
        "last",
        "wait_ns",
        "passing",
        "waits",
    )

    def __init__(self, tid: str, request: Q, asked: Asked, wait_ns: int) -> None:
        self.tid, self.request, self.asked, self.wait_ns = tid, request, asked, wait_ns
        self.cls: RequestClass = asked.kind
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.maybe_ran = False
        self.over = False  # answered, or the client has left
        self.guard: asyncio.TimerHandle | None = None
        self.last: How | None = None
        self.passing: Attempt | None = None  # whose answer is being passed on
        self.waits = False  # for its route's limits: the module does not know it yet


class Try(Generic[Q, R]):
    """The core's end of one attempt: what a backend tells, as events. See `ports.Watch`."""

    __slots__ = ("_core", "_call", "_server", "_number", "_written", "_abandon")

    def __init__(self, core: Core[Q, R], call: Call[Q, R], server: str, number: int, sent: int, abandon: int) -> None:
        self._core, self._call, self._server, self._number = core, call, server, number
        self._written = sent  # where the body comes apart, the server begins only with its last byte
        self._abandon = abandon

    def wanted(self) -> bool:
        """Protects servers from requests whose client has left: its end may lie behind other events, or behind
        bytes that are not read yet. Asked of the kernel only where the request has waited, or the loop is behind."""
        call, core = self._call, self._core
        if call.over:
            return False
        if core.loop.time() - call.request.came < FRESH_S and not core.behind():
            return True
        return not call.request.left()

    def wrote(self) -> None:
        if self._call.request.stream is not None:
            self._written = self._core.clock()
        self._core.ends.wrote()

    def rested(self) -> None:
        self._written = self._core.clock()

    def left_s(self) -> float:
        call = self._call
        return call.request.came + (call.wait_ns - MARGIN_NS) / 1e9 - self._core.loop.time()

    def wait_s(self) -> float:
        if self._call.request.stream is not None:
            return (self._call.wait_ns - MARGIN_NS) / 1e9  # from the last byte
        return max(0.001, (self._abandon - self._core.clock()) / 1e9)

    def begin(self, reply: R, length: int | None, load: Load) -> Sink | None:
        """For the module a long answer has been served once it begins: the rest is between the two ends, and
        says nothing of the server."""
        call, core = self._call, self._core
        attempt = call.out.get(self._number)
        if call.over or attempt is None or not call.request.begin(reply, length, attempt):
            return None
        call.over, call.passing = True, attempt
        if call.guard is not None:
            call.guard.cancel()
        lag = core.clock() - self._written
        core.deliver(Response(call.tid, OK, lag, self._server, self._number, True, load))
        core.forget(call)
        return call.request

    def outcome(self, how: How, reply: R | None, load: Load) -> None:
        call, core = self._call, self._core
        attempt = call.out.pop(self._number, None)
        if attempt is not None and attempt is call.passing:
            whole = how is OK
            call.passing = None
            core.finish(call, SERVED if whole else Ending.FAILED)
            call.request.end(whole)
            core.forget(call)
            return
        call.maybe_ran = call.maybe_ran or how not in NEVER_RAN
        call.last = how
        if how is OK and reply is not None and not call.over:
            core.finish(call, SERVED)
            call.request.answer(SERVED, reply)
        lag = core.clock() - self._written
        stream = call.request.stream
        again = stream is None or not stream.begun
        core.deliver(Response(call.tid, how, lag, self._server, self._number, call.over, load, again))
        core.forget(call)


class Core(Generic[Q, R]):
    """One balancer of the decision module, its clock and timers, and the calls it decides on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ends: Ends,
        longest_ns: int,
        clock: Callable[[], int] | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop, self.ends = loop, ends
        self.clock = clock or Clock()
        self._monotonic = monotonic
        self.calls: dict[str, Call[Q, R]] = {}
        self.taken = 0  # requests that are owed an answer
        self.until: float | None = None  # when this process ends, once that is known
        self.limiter: Limiter | None = None
        self.told_id: Callable[[bytes], None] | None = None  # called with the id of each request taken
        self.probe_limit_s = 0.0
        self._count = 0
        self._ids: dict[bytes, float] = {}  # ids of requests taken of late, by when
        self.id_life_s = 2 * longest_ns / 1e9
        self._inbox: deque[Event] = deque()
        self._handling = False
        self._beat_due = 0.0
        self._late = 0.0  # how late the last beat was
        self._beat()

    def join(self, module: Balancer, backend: Backend[Q, R], directions: Directions) -> None:
        """Name the other parts: the module, who serves, and who asks discovery."""
        self.module, self._backend, self._directions = module, backend, directions

    # --- events in

    def deliver(self, event: Event) -> None:
        """Hand an event to the module; those that its actions bring about wait until these are done."""
        self._inbox.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._inbox:
                self._handle(self._inbox.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:
            self._broken(getattr(event, "tid", ""))
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                self._broken(getattr(action, "tid", ""))

    def _broken(self, tid: str) -> None:
        """An exception costs the request it came from, and nothing else."""
        LOG.error("call.broken", call=tid, exc_info=True)
        call = self.calls.get(tid)
        if call is not None:
            self._give_up(call, Ending.BROKEN)

    # --- for the fronts

    def take(self, request: Q, asked: Asked) -> None:
        """Take a request: from here on one final answer is owed."""
        now = self.loop.time()
        if not self._new_id(asked.rid, now):
            request.answer(Ending.REPEATED)
            return
        self._count += 1
        request.tid = tid = str(self._count)
        # It may have waited behind another, or unread while this process stood still for want of CPU.
        late_ns = int((now - request.came + self._stalled()) * 1e9)
        rule, longest = asked.rule, asked.wait_ns
        if rule is not None and rule.timeout_ns:
            longest = min(longest, rule.timeout_ns)
        wait = self._outlived(longest - late_ns, now)
        call = self.calls[tid] = Call(tid, request, asked, wait)
        self.taken += 1
        if request.complete:
            call.guard = self.loop.call_later((wait - GUARD_NS) / 1e9, self._guard, call)
        bounds: Bounds | None = None
        if rule is not None and self.limiter is not None:
            verdict = self.limiter.asks(self.clock(), tid, asked)
            if verdict.state == REFUSE:
                self._answer(tid, Ending.REFUSED, verdict.hold_off_ns)
                return
            if verdict.state == WAIT:
                call.waits = True
                if call.guard is None:
                    # Its body is not read on while it waits, so its last byte may never come: no wait without end.
                    call.guard = self.loop.call_later((wait - GUARD_NS) / 1e9, self._guard, call)
                return
            bounds = verdict.bounds
        self._accept(call, wait, bounds)

    def _accept(self, call: Call[Q, R], wait_ns: int, bounds: Bounds | None) -> None:
        asked = call.asked
        self.deliver(
            Accept(
                call.tid,
                asked.cls,
                wait_ns - MARGIN_NS,
                asked.cost_ns,
                asked.tenant,
                asked.key,
                asked.retry,
                asked.write,
                asked.kind if asked.cls < 0 else None,
                bounds,
            )
        )

    def _go(self, ready: list[tuple[str, Bounds | None]]) -> None:
        """Hand those that waited for their limits to the module, with the time they have left."""
        for tid, bounds in ready:
            call = self.calls.get(tid)
            if call is None or call.over:
                continue
            call.waits = False
            if not call.request.complete and call.guard is not None:
                call.guard.cancel()  # from here on its client's time counts from its last byte
                call.guard = None
            gone = int((self.loop.time() - call.request.came) * 1e9) if call.request.complete else 0
            self._accept(call, max(0, call.wait_ns - max(0, gone)), bounds)

    def recheck(self) -> None:
        """The limits have changed: those that wait may go by now."""
        if self.limiter is not None:
            self._go(self.limiter.released(self.clock()))

    def complete(self, request: Q) -> None:
        """The last byte of a request that goes out as it comes in: from here on its client's time counts."""
        call = self.calls.get(request.tid)
        if call is not None and not call.over:
            call.wait_ns = self._outlived(call.wait_ns - int(self._stalled() * 1e9), request.came)
            if call.guard is not None:
                call.guard.cancel()
            call.guard = self.loop.call_later((call.wait_ns - GUARD_NS) / 1e9, self._guard, call)

    def hangup(self, request: Q) -> None:
        """The client left; what its attempts come to is still told to the module."""
        call = self.calls.get(request.tid)
        if call is None:
            return
        if call.passing is not None:
            call.passing.cancel()
        elif not call.over:
            self.finish(call, Ending.GONE)
            self.deliver(Hangup(call.tid))
            self.forget(call)

    def end_by(self, until: float) -> None:
        """This process ends at that time of the loop's. Whoever would wait for longer gets an answer just before:
        what was taken and is open at the end would be lost."""
        self.until = until
        for call in self.calls.values():
            if not call.over and call.guard is not None and self._cut_short(call):
                call.guard.cancel()
                call.guard = self.loop.call_at(until - LAST_S, self._guard, call)

    def _cut_short(self, call: Call[Q, R]) -> bool:
        """Whether this process ends before the call's client gives up."""
        return self.until is not None and call.request.came + call.wait_ns / 1e9 > self.until - LAST_S

    def _outlived(self, wait_ns: int, now: float) -> int:
        """How long a request may wait: its client's time, or what is left of this process's."""
        return wait_ns if self.until is None else min(wait_ns, int((self.until - LAST_S - now) * 1e9))

    # --- ids

    def _new_id(self, rid: bytes, now: float) -> bool:
        """Whether no request with this id is open or was lately.

        Protects unsafe requests: an id is new with every request, so a second one is a copy, and the copy
        must not run beside the first, nor right after it.
        """
        ids = self._ids
        while ids:
            oldest = next(iter(ids))
            if now - ids[oldest] < self.id_life_s:
                break
            del ids[oldest]
        if rid in ids:
            return False
        ids[rid] = now
        if self.told_id is not None:
            self.told_id(rid)
        return True

    def know_id(self, rid: bytes) -> None:
        """Another process of this sidecar has taken a request with this id."""
        self._ids.setdefault(rid, self.loop.time())

    def know_ids(self, ids: dict[bytes, float]) -> None:
        """Likewise, for many, each with when it was taken by the loop's clock."""
        ids.update(self._ids)
        self._ids = dict(sorted(ids.items(), key=lambda pair: pair[1]))

    def ids(self) -> Iterator[tuple[bytes, float]]:
        """The ids of requests taken of late, each with when."""
        return iter(self._ids.items())

    # --- the loop's beat

    def _beat(self) -> None:
        self._late = stalled = self._stalled()
        if stalled > STALL_S:
            LOG.warning("loop.stood_still", seconds=round(stalled, 3))
        self._beat_due = self._monotonic() + BEAT_S
        self.loop.call_later(BEAT_S, self._beat)

    def behind(self) -> bool:
        """Whether more than some 0.07 s may lie between what has happened and what was read of it: a turn that
        takes long shows in the beat that it delays, and what came meanwhile is read in the next."""
        return self._late + self._stalled() > BEHIND_S

    def _stalled(self) -> float:
        """For how long this process may have stood still: what comes in now may have come that much earlier.

        Protects the client's deadline, which counts from its sending: a process short of CPU reads late and
        would count from there.
        """
        return max(0.0, self._monotonic() - self._beat_due) if self._beat_due else 0.0

    # --- actions out

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
                late = call is not None and call.last is TIMEOUT
                self._answer(tid, Ending.LATE if late else Ending.FAILED)
            case Retract(tid, number):
                call = self.calls.get(tid)
                if call is not None and number in call.out:
                    call.out[number].cancel()
            case CloseIdle(server):
                self._backend.close_idle(server)
            case Subscribe(want):
                self._directions.subscribe(want)
            case Fetch():
                self._directions.fetch()
            case Note(text):
                LOG.info("module.note", text=text)
            case Tell():
                raise NotImplementedError("this deployment has no peers")

    def _submit(self, tid: str, server: str, abandon_ns: int) -> None:
        call = self.calls[tid]
        number, call.attempts = call.attempts, call.attempts + 1
        sent = self.clock()
        abandon = abandon_ns or sent + call.cls.deadline_ns
        watch = Try(self, call, server, number, sent, abandon)
        stream = call.request.stream
        attempt = None
        if not call.over and (stream is None or not stream.begun):
            limit = (abandon - sent) / 1e9 if stream is None else CONNECTING_S
            attempt = self._backend.attempt(server, call.request, limit, watch)
        if attempt is None:
            watch.outcome(MOOT, None, {})
        else:
            call.out[number] = attempt
            attempt.start()

    def _probe(self, server: str) -> None:
        sent = self.clock()

        def echoed(how: How, load: Load) -> None:
            self.deliver(Echo(server, how, self.clock() - sent, load))

        attempt = self._backend.probe(server, self.probe_limit_s, echoed)
        if attempt is None:
            echoed(MOOT, {})
        else:
            attempt.start()

    def _defer(self, due_ns: int, tag: int) -> None:
        self.loop.call_later(max(0.0, (due_ns - self.clock()) / 1e9), self._alarm, due_ns, tag)

    def _alarm(self, due_ns: int, tag: int) -> None:
        if self.clock() < due_ns:
            # The loop's timers count whole milliseconds and may come early; the module compares with its
            # clock and would let an early alarm pass for good.
            self.loop.call_later(0.001, self._alarm, due_ns, tag)
        else:
            self.deliver(Alarm(tag))

    # --- ends of requests

    def _answer(self, tid: str, ending: Ending, hold_off_ns: int = 0) -> None:
        call = self.calls.get(tid)
        if call is not None and not call.over:
            self.finish(call, ending)
            call.request.answer(ending, None, hold_off_ns)
            self.forget(call)

    def finish(self, call: Call[Q, R], ending: Ending) -> None:
        """The one place where a request ends."""
        call.over = True
        self.taken -= 1
        self.ends.ended(call.cls.name, ending)
        if call.guard is not None:
            call.guard.cancel()
        if self.limiter is not None and call.asked.rule is not None:
            # In a turn of its own: this one still has the answer to write.
            self.loop.call_soon(self._freed, call.tid, ENDED.get(ending, "failed"))

    def _freed(self, tid: str, ending: str) -> None:
        if self.limiter is not None:
            self._go(self.limiter.ended(self.clock(), tid, ending))

    def forget(self, call: Call[Q, R]) -> None:
        """Drop a call once nothing more can come of it.

        Protects servers from requests that nobody waits for: an attempt of a call that is over is withdrawn where
        it was not written yet. Its connection may still come up, long after the client has left.
        """
        if not call.over:
            return
        for attempt in list(call.out.values()):
            attempt.withdraw()
        if not call.out:
            self.calls.pop(call.tid, None)

    def _guard(self, call: Call[Q, R]) -> None:
        """The client's time is nearly up and nothing has answered: no path may leave a request open."""
        if call.waits and not call.over:
            self._answer(call.tid, Ending.REFUSED)  # it waited in vain for its route's limits, and never ran
        elif not call.over and self._cut_short(call):
            self._give_up(call, Ending.LATE)
        elif not call.over:
            LOG.error("call.unanswered", call=call.tid, cls=call.cls.name)
            self._give_up(call, Ending.LATE)

    def _give_up(self, call: Call[Q, R], ending: Ending) -> None:
        """Answer without the module, truthfully: a refusal only if no attempt can have run."""
        free = call.cls.repeat == "free"
        ran = call.maybe_ran or bool(call.out)
        self._answer(call.tid, ending if ran and not free else Ending.REFUSED)
        self.deliver(Hangup(call.tid))  # for the module it is over, too

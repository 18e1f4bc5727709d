"""Server model: cores, service slots, a FIFO queue, cold start, efficiency loss under load, a key cache, connections.

Requests in service share the cores evenly (processor sharing), each with at most one core. At most `slots` requests
are in service and `room` more wait in FIFO order; further requests are rejected. With as many slots as cores this is
an M/G/c queue with FIFO order. Work is measured in nanoseconds of one core at speed 1.

Processor sharing is simulated by virtual time: the service that each request in service has received since the
server's start. It grows at the same rate for all of them, so one number and one heap determine which request finishes
next, however the rate changes (the usual construction for generalized processor sharing; see the survey by Zhang and
Zwart).
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable

from rosechute.simulation.engine import Engine
from rosechute.simulation.spec import Fleet

RATE_SMOOTHING_NS = 1_000_000_000  # time constant of the reported rates
WARMUP_STEPS = 20  # number of speed updates of a cold server until it is warm


class Job:
    """Attempt at a server, from its arrival to its completion there."""

    __slots__ = ("rid", "number", "cls", "key", "work", "instance", "sender", "done", "waits", "left", "over")

    def __init__(
        self,
        rid: int,
        number: int,
        cls: int,
        key: int,
        work: float,
        instance: int,
        sender: object,
        done: Callable[[Job, bool], None],
    ) -> None:
        self.rid, self.number, self.cls, self.key, self.work, self.instance = rid, number, cls, key, work, instance
        self.sender = sender
        self.done = done  # called with the job, and False if the server stopped first
        self.waits = False
        self.left = False  # withdrawn by its sender
        self.over = False


class Server:
    """Server with a fixed name and a succession of processes."""

    def __init__(
        self,
        engine: Engine,
        spec: Fleet,
        number: int,
        zone: int,
        on_begin: Callable[[Server, Job], None],
        on_overload: Callable[[Server], None],
    ) -> None:
        self.engine, self.spec, self.number, self.zone = engine, spec, number, zone
        self._cores, self._slots, self._limit = int(spec.cores), int(spec.slots), int(spec.slots + spec.room)
        self.name = f"s{number}"
        self._on_begin, self._on_overload = on_begin, on_overload
        self.up = True
        self.started = 0  # 0: before the run, so warm
        self.draining = False
        self.speeds: dict[int, float] = {}  # by fault: speed factor
        self.hung: set[int] = set()  # active faults that stop all processing
        self.grey: dict[int, tuple[int, float]] = {}  # by fault: (class or -1, client divisor or 0 for all clients)
        self.lies: dict[int, float] = {}  # by fault: factor applied to the load reports
        self.shared = 1.0  # speed factor caused by a dependency shared by all servers
        self._speed = float(spec.speed)
        self.connections = 0
        self.ran = 0
        self.rates = spec.reports == "rates"
        self._reset()

    def _reset(self) -> None:
        self._virtual = 0.0
        self._rate = 0.0
        self._at = self.engine.now
        self._running: list[tuple[float, int, Job]] = []
        self._order = 0
        self._waiting: deque[Job] = deque()
        self._planned = -1
        self._plan = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cold_arrivals: deque[tuple[int, float]] = deque()  # (time, work) of arrivals while cold
        self._cold_work = 0.0
        self._use = self._flow = 0.0

    # --- state

    @property
    def held(self) -> int:
        """Requests in service and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Requests waiting for a slot."""
        return len(self._waiting)

    @property
    def busy(self) -> float:
        """Fraction of the cores in use."""
        return min(1.0, len(self._running) / self.spec.cores)

    def of_late(self) -> tuple[float, float]:
        """Return core utilisation and completed requests per second, smoothed over `RATE_SMOOTHING_NS`.

        Just after a start both are too low by the same factor, so their ratio is unbiased.
        """
        self._advance()
        return self._use, self._flow

    def capacity(self) -> float:
        """Return the current capacity in work per nanosecond, without the efficiency loss by crowding."""
        return self._speed * self._factor() * self.warmth() * self.spec.cores

    def warmth(self) -> float:
        """Return the current fraction of the full speed: rises linearly from `cold_from` to 1 after a start."""
        age = self.engine.now - self.started
        if not self.started or age >= self.spec.cold:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold

    def expected(self, work: float) -> float:
        """Return the latency in nanoseconds expected for one more request, from the true state, for the oracle."""
        capacity = self.capacity()
        if not self.up or self.draining or capacity <= 0:
            return float("inf")
        ahead = sum((end - self._virtual for end, _, _ in self._running), 0.0)
        ahead += sum((job.work for job in self._waiting), 0.0)
        return (
            work / (capacity / self.spec.cores)
            + max(0.0, self.held + 1 - self.spec.cores) * ((ahead + work) / (self.held + 1)) / capacity
        )

    # --- process lifetime

    def stop(self) -> None:
        """Stop the process; all requests held end without an answer."""
        self._advance()
        lost = [job for _, _, job in self._running] + list(self._waiting)
        self.up = False
        self.connections = 0
        self._reset()
        self._plan += 1
        for job in lost:
            job.over, job.waits = True, False
            job.done(job, False)

    def start(self) -> None:
        """Start a new, cold process."""
        self.up, self.draining = True, False
        self.started = max(1, self.engine.now)
        self._reset()
        if self.spec.cold_from < 1.0:
            self._warm(self.started)

    def _warm(self, started: int) -> None:
        if self.up and self.started == started:
            self.changed()
            if self.engine.now - started < self.spec.cold:
                self.engine.after(self.spec.cold // WARMUP_STEPS, self._warm, started)

    def changed(self) -> None:
        """Account for the work done so far and reschedule; call before and after a change of speed."""
        self._advance()
        self._schedule()

    # --- requests

    def arrive(self, job: Job) -> bool:
        """Accept a request; return False if it is rejected."""
        cold = bool(self.started) and self.engine.now - self.started < self.spec.cold
        if cold and self._is_overloaded_cold(job.work):
            self._on_overload(self)
            return False
        if len(self._running) + len(self._waiting) >= self._limit:
            return False
        if len(self._running) < self._slots:
            self._advance()
            self._begin(job)
            self._schedule()
        else:
            job.waits = True
            self._waiting.append(job)
            if self.spec.crowding:
                self.changed()
        return True

    def withdraw(self, job: Job) -> bool:
        """Withdraw a job: drop it if it is queued, let it run if it is in service. Return whether it was dropped."""
        job.left = True
        if not job.waits:
            return False  # in service, completed or in transit
        job.waits = False
        self._waiting.remove(job)
        job.over = True
        if self.spec.crowding:
            self.changed()
        return True

    def _is_overloaded_cold(self, work: float) -> bool:
        """Record an arrival at a cold server; return whether the work of the window `fall` exceeds its limit."""
        now, spec = self.engine.now, self.spec
        self._cold_arrivals.append((now, work))
        self._cold_work += work
        while self._cold_arrivals[0][0] <= now - spec.fall:
            self._cold_work -= self._cold_arrivals.popleft()[1]
        return now - self.started >= spec.fall and self._cold_work > spec.fall_multiple * self.capacity() * spec.fall

    def _begin(self, job: Job) -> None:
        work = job.work
        if self.spec.cache and job.key >= 0:
            if job.key in self._cache:
                self._cache.move_to_end(job.key)
                work *= self.spec.cache_factor
            else:
                self._cache[job.key] = None
                if len(self._cache) > self.spec.cache:
                    self._cache.popitem(last=False)
        job.waits = False
        self._order += 1
        heapq.heappush(self._running, (self._virtual + work, self._order, job))
        self._on_begin(self, job)

    def _factor(self) -> float:
        if self.hung:
            return 0.0
        factor = self.shared
        for speed in self.speeds.values():
            factor *= speed
        return factor

    def _advance(self) -> None:
        now = self.engine.now
        if now > self._at:
            self._virtual += (now - self._at) * self._rate
            if self.rates:
                decay = math.exp((self._at - now) / RATE_SMOOTHING_NS)
                self._use = self.busy + (self._use - self.busy) * decay
                self._flow *= decay
        self._at = now

    def _schedule(self) -> None:
        """Compute the service rate and schedule the next completion."""
        count = len(self._running)
        if not count:
            self._rate = 0.0
            self._planned = -1
            return
        cores = self._cores
        rate = self._speed
        if self.speeds or self.hung or self.shared != 1.0:
            rate *= self._factor()
        if self.started:
            rate *= self.warmth()
        if count > cores:
            rate *= cores / count
        if self.spec.crowding and self.held > cores:
            rate /= 1.0 + self.spec.crowding * (self.held - cores) / cores
        self._rate = rate
        if rate <= 0.0:
            self._planned = -1
            return
        due = self.engine.now + max(0, int((self._running[0][0] - self._virtual) / rate) + 1)
        if due != self._planned:
            self._planned = due
            self._plan += 1
            self.engine.at(due, self._finish, self._plan)

    def _finish(self, plan: int) -> None:
        if plan != self._plan or not self._running:
            return
        self._planned = -1
        self._advance()
        done: list[Job] = []
        while self._running and self._running[0][0] <= self._virtual:
            done.append(heapq.heappop(self._running)[2])
        while self._waiting and len(self._running) < self._slots:
            self._begin(self._waiting.popleft())
        if not self._running:
            self._virtual = 0.0  # avoids loss of precision in a long sum
        self._schedule()
        for job in done:
            job.over = True
            self.ran += 1
            self._flow += 1e9 / RATE_SMOOTHING_NS
            job.done(job, True)

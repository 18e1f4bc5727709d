"""A served system's server: cores, slots, a waiting room, cold start, crowding, a cache of keys, connections.

Requests in service share the cores evenly (processor sharing), each with at most one core; `slots` are in service at
a time, `room` more wait in order, and what comes beyond that is turned away. With as many slots as cores this is the
textbook's M/G/c queue, first come, first served. Work is measured in nanoseconds of one core at speed 1.

Processor sharing is played by virtual time: what each request in service has been given since the server's start. It
grows at the same rate for all, so one number and one heap tell who is done next, whatever the rate does meanwhile
(Zhang and Zwart's survey gives the construction; it is the usual one for generalized processor sharing).
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable

from rosechute.simulation.engine import Engine
from rosechute.simulation.spec import Fleet

RATES_NS = 1_000_000_000  # over which rates are smoothed that a server tells
STEPS_COLD = 20  # times that a cold server's speed is looked at while it warms


class Job:
    """One attempt at a server, from its arrival to its end there."""

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
        self.done = done  # told with False where the server died with it
        self.waits = False
        self.left = False  # whoever sent it is no longer interested
        self.over = False


class Server:
    """One server process after another under one name."""

    def __init__(
        self,
        engine: Engine,
        spec: Fleet,
        number: int,
        zone: int,
        began: Callable[[Server, Job], None],
        fell: Callable[[Server], None],
    ) -> None:
        self.engine, self.spec, self.number, self.zone = engine, spec, number, zone
        self._cores, self._slots, self._most = int(spec.cores), int(spec.slots), int(spec.slots + spec.room)
        self.name = f"s{number}"
        self._began, self._fell = began, fell
        self.up = True
        self.started = 0  # 0: before the run, so warm
        self.draining = False
        self.speeds: dict[int, float] = {}  # factor of each fault that acts here, by the fault's number
        self.hung: set[int] = set()  # faults that have it stand still
        self.grey: dict[int, tuple[int, float]] = {}  # by fault: (class or -1, share of clients)
        self.lies: dict[int, float] = {}  # by fault: what its reports are multiplied with
        self.shared = 1.0  # speed that a dependency of all servers leaves it
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
        self._pressure: deque[tuple[int, float]] = deque()  # work that arrived while cold
        self._pressed = 0.0
        self._use = self._flow = 0.0

    # --- what others see

    @property
    def held(self) -> int:
        """Requests in service and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @property
    def busy(self) -> float:
        """The share of the cores that is at work."""
        return min(1.0, len(self._running) / self.spec.cores)

    def of_late(self) -> tuple[float, float]:
        """Share of the cores at work and requests ended a second, smoothed over `RATES_NS`. Both are low by the
        same part just after a start, so their ratio is not."""
        self._advance()
        return self._use, self._flow

    def capacity(self) -> float:
        """Work that it does now for each nanosecond, uncrowded."""
        return self._speed * self._factor() * self.warmth() * self.spec.cores

    def warmth(self) -> float:
        """The share of its speed that a server has, being cold: from `cold_from`, growing evenly."""
        age = self.engine.now - self.started
        if not self.started or age >= self.spec.cold:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold

    def expected(self, work: float) -> float:
        """Nanoseconds that one more request would take, by the true state; for the oracle."""
        capacity = self.capacity()
        if not self.up or self.draining or capacity <= 0:
            return float("inf")
        ahead = sum((end - self._virtual for end, _, _ in self._running), 0.0)
        ahead += sum((job.work for job in self._waiting), 0.0)
        return (
            work / (capacity / self.spec.cores)
            + max(0.0, self.held + 1 - self.spec.cores) * ((ahead + work) / (self.held + 1)) / capacity
        )

    # --- its life

    def stop(self) -> None:
        """The process dies; all that it held ends without an answer."""
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
        """A new process, cold."""
        self.up, self.draining = True, False
        self.started = max(1, self.engine.now)
        self._reset()
        if self.spec.cold_from < 1.0:
            self._warm(self.started)

    def _warm(self, started: int) -> None:
        if self.up and self.started == started:
            self.changed()
            if self.engine.now - started < self.spec.cold:
                self.engine.after(self.spec.cold // STEPS_COLD, self._warm, started)

    def changed(self) -> None:
        """Its speed may be another from now on."""
        self._advance()
        self._schedule()

    # --- requests

    def arrive(self, job: Job) -> bool:
        """Take a request; False where it is turned away."""
        cold = bool(self.started) and self.engine.now - self.started < self.spec.cold
        if cold and self._overrun(job.work):
            self._fell(self)
            return False
        if len(self._running) + len(self._waiting) >= self._most:
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
        """Whoever sent it has left: what still waits is dropped, what runs goes on. Whether it was dropped."""
        job.left = True
        if not job.waits:
            return False  # in service, over, or still on its way
        job.waits = False
        self._waiting.remove(job)
        job.over = True
        if self.spec.crowding:
            self.changed()
        return True

    def _overrun(self, work: float) -> bool:
        """Whether a cold server has been sent more than it bears, over the rule's window; see the settings."""
        now, spec = self.engine.now, self.spec
        self._pressure.append((now, work))
        self._pressed += work
        while self._pressure[0][0] <= now - spec.fall:
            self._pressed -= self._pressure.popleft()[1]
        return now - self.started >= spec.fall and self._pressed > spec.fall_multiple * self.capacity() * spec.fall

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
        self._began(self, job)

    def _factor(self) -> float:
        if self.hung:
            return 0.0
        factor = self.shared
        for one in self.speeds.values():
            factor *= one
        return factor

    def _advance(self) -> None:
        now = self.engine.now
        if now > self._at:
            self._virtual += (now - self._at) * self._rate
            if self.rates:
                kept = math.exp((self._at - now) / RATES_NS)
                self._use = self.busy + (self._use - self.busy) * kept
                self._flow *= kept
        self._at = now

    def _schedule(self) -> None:
        """Work out the rate, and have the next one that will be done be looked at then."""
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
            self._virtual = 0.0  # no long sum to lose digits in
        self._schedule()
        for job in done:
            job.over = True
            self.ran += 1
            self._flow += 1e9 / RATES_NS
            job.done(job, True)

"""Who asks: an open loop with shapes, retries, give-up times, tenants and keys."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import accumulate

from rosechute.simulation.draw import Streams, Zipf
from rosechute.simulation.engine import Engine
from rosechute.simulation.host import Host
from rosechute.simulation.instance import Request
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import ASK, FAILED, LOST, REFUSED, Trace

FAR_NS = 100_000_000.0


def level(shape: str, depth: float, period: float, t: float) -> float:
    """The rate at time `t` (seconds), as a part of the mean."""
    phase = t / period % 1.0
    if shape == "daily":
        return 1.0 + depth * math.sin(2 * math.pi * phase)
    if shape == "burst":  # a tenth of the time at ten times the depth more
        return 1.0 + 9.0 * depth if phase >= 0.9 else 1.0 - depth
    if shape == "square":
        return 1.0 + depth if phase >= 0.5 else 1.0 - depth
    if shape == "ramp":
        return 1.0 - depth + 2.0 * depth * phase
    return 1.0


def peak(shape: str, depth: float) -> float:
    """The highest that `level` gets."""
    return {"flat": 1.0, "burst": 1.0 + 9.0 * depth}.get(shape, 1.0 + depth)


class Clients:
    """All clients of a run. Arrivals are a Poisson process whose rate follows the shape, by thinning."""

    def __init__(
        self, engine: Engine, scenario: Scenario, streams: Streams, instances: Sequence[Host], trace: Trace
    ) -> None:
        self._engine, self._set, self._spec = engine, scenario, scenario.clients
        self._instances, self._trace = instances, trace
        self._coming, self._what, self._who = streams.of("arrivals"), streams.of("classes"), streams.of("clients")
        self._key, self._again = streams.of("keys"), streams.of("retries")
        self._work = [streams.of(f"work/{c.name}") for c in scenario.classes]
        self._zipf = Zipf(self._spec.keys, self._spec.skew)
        self._classes = _sums([c.share for c in scenario.classes])
        self._shares = list(self._spec.tenants)
        self._tenants = _sums(self._shares)
        # What each instance gets, as a part of what the heaviest does.
        heaviest, drawn = self._spec.heaviest, streams.of("shares")
        shares = [0.5 + drawn.uniform() if heaviest else 1.0 for _ in instances]
        if heaviest and self._spec.heavy < len(shares):
            shares[self._spec.heavy] = heaviest
        self._parts = {host.number: share / max(shares) for host, share in zip(instances, shares, strict=True)}
        self._whom = streams.of("instances")
        self._deadlines = [int(c.deadline) for c in scenario.classes]
        self.up = list(instances)
        """Those that take requests; whoever kills or starts one says so here."""
        self.loads: dict[int, float] = {}  # by fault: factor on all
        self.bursts: dict[int, tuple[int, float]] = {}  # by fault: tenant, factor
        self.stopped = False  # nobody asks any more, nor asks again
        self._count = 0
        self._origins = 0
        self._top = 1.0
        self.changed()
        engine.after(0, self._next)

    def changed(self) -> None:
        """Factors have changed."""
        load = math.prod(self.loads.values(), start=1.0)
        shares = list(self._spec.tenants)
        for tenant, factor in self.bursts.values():
            if tenant < len(shares):
                shares[tenant] *= factor
        self._tenants = _sums(shares)
        self._factor = load * sum(shares, 0.0) / sum(self._spec.tenants, 0.0)
        self._top = self._factor * peak(self._spec.shape, self._spec.depth)

    def _next(self, _: None) -> None:
        """The next arrival that the highest rate could bring; it comes or not by the rate as it is."""
        if self.stopped:
            return
        now, spec = self._engine.now, self._spec
        rate = self._factor * level(spec.shape, spec.depth, spec.period / 1e9, now / 1e9)
        if now and (spec.shape == "flat" or self._coming.uniform() * self._top < rate):
            self._arrive()
        self._wait(None)

    def _wait(self, _: None) -> None:
        """Wait for the next arrival. Where it is far off, the wait is drawn again later: the process has no memory,
        and the rate may be another by then."""
        if self.stopped:
            return
        gap = self._coming.exponential() / (self._spec.rate * max(self._top, 1e-6)) * 1e9
        self._engine.after(int(min(gap, FAR_NS)) + 1, self._next if gap < FAR_NS else self._wait)

    def _arrive(self) -> None:
        self._origins += 1
        cls = _draw(self._classes, self._what.uniform())
        client = self._who.below(self._spec.population)
        tenant = _draw(self._tenants, self._who.uniform())
        key = self._zipf.draw(self._key)
        spec, stream = self._set.classes[cls], self._work[cls]
        if spec.spread == "fixed":
            work = float(spec.work)
        elif spec.spread == "lognormal":
            work = spec.work * math.exp(spec.sigma * stream.normal() - spec.sigma * spec.sigma / 2)
        else:
            work = spec.work * stream.exponential()
        self._ask((self._origins, cls, client, tenant, key, work, 0))

    def _ask(self, told: tuple[int, int, int, int, int, float, int]) -> None:
        origin, cls, client, tenant, key, work, tries = told
        up = self.up
        self._count += 1
        deadline = self._deadlines[cls]
        if not up or self.stopped:
            return  # nobody takes it: no request
        even = self._spec.heaviest is None
        instance = up[(client + tries + self._origins) % len(up)] if even else self._drawn()
        now = self._engine.now

        def over(request: Request, ending: int, hold_off: int) -> None:
            if ending in (REFUSED, FAILED, LOST) and tries < self._spec.retries:
                wait = self._spec.backoff * 2**tries * self._again.uniform()
                if self._again.uniform() < self._spec.patience:
                    wait = max(wait, hold_off)
                self._engine.after(int(wait) + 1, self._ask, (origin, cls, client, tenant, key, work, tries + 1))

        request = Request(self._count, cls, key, work, client, now + deadline, over)
        self._trace.add((now, ASK, request.rid, origin, instance.number, cls, tenant, key, deadline, tries))
        self._engine.after(deadline, instance.hang_up, request)
        instance.take(request, tenant, tries > 0)

    def _drawn(self) -> Host:
        """One of the instances that are up, by their shares of the traffic."""
        up, draw = self.up, self._whom
        while True:
            instance = up[draw.below(len(up))]
            if draw.uniform() < self._parts[instance.number]:
                return instance


def _sums(shares: Sequence[float]) -> list[float]:
    total = sum(shares, 0.0)
    return list(accumulate(share / total for share in shares))


def _draw(sums: Sequence[float], at: float) -> int:
    for number, top in enumerate(sums):
        if at < top:
            return number
    return len(sums) - 1

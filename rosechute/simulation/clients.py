"""Simulated clients: open-loop arrivals with load shapes, retries, timeouts, tenants and keys."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import accumulate

from rosechute.simulation.draw import Streams, Zipf
from rosechute.simulation.engine import Engine
from rosechute.simulation.host import Host
from rosechute.simulation.instance import Request
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import FAILED, LOST, REFUSED, REQUEST, Trace

MAX_GAP_NS = 100_000_000.0


def level(shape: str, depth: float, period: float, t: float) -> float:
    """Return the rate at time `t` (seconds), relative to the mean rate."""
    phase = t / period % 1.0
    if shape == "daily":
        return 1.0 + depth * math.sin(2 * math.pi * phase)
    if shape == "burst":  # 10 % of the period at mean + 9 * depth, the rest below the mean
        return 1.0 + 9.0 * depth if phase >= 0.9 else 1.0 - depth
    if shape == "square":
        return 1.0 + depth if phase >= 0.5 else 1.0 - depth
    if shape == "ramp":
        return 1.0 - depth + 2.0 * depth * phase
    return 1.0


def peak(shape: str, depth: float) -> float:
    """Return the maximum of `level`."""
    return {"flat": 1.0, "burst": 1.0 + 9.0 * depth}.get(shape, 1.0 + depth)


class Clients:
    """All clients of a run. Arrivals are a Poisson process with a time-varying rate, sampled by thinning."""

    def __init__(
        self, engine: Engine, scenario: Scenario, streams: Streams, instances: Sequence[Host], trace: Trace
    ) -> None:
        self._engine, self._scenario, self._spec = engine, scenario, scenario.clients
        self._instances, self._trace = instances, trace
        self._arrivals, self._class, self._client = (
            streams.of("arrivals"),
            streams.of("classes"),
            streams.of("clients"),
        )
        self._key, self._retry = streams.of("keys"), streams.of("retries")
        self._work = [streams.of(f"work/{c.name}") for c in scenario.classes]
        self._zipf = Zipf(self._spec.keys, self._spec.skew)
        self._classes = _sums([c.share for c in scenario.classes])
        self._shares = list(self._spec.tenants)
        self._tenants = _sums(self._shares)
        # Traffic of each instance relative to the instance with the most traffic.
        heaviest, share_stream = self._spec.heaviest, streams.of("shares")
        shares = [0.5 + share_stream.uniform() if heaviest else 1.0 for _ in instances]
        if heaviest and self._spec.heavy < len(shares):
            shares[self._spec.heavy] = heaviest
        self._parts = {host.number: share / max(shares) for host, share in zip(instances, shares, strict=True)}
        self._instance_choice = streams.of("instances")
        self._deadlines = [int(c.deadline) for c in scenario.classes]
        self.up = list(instances)
        """Instances that accept requests; updated by the code that kills or starts an instance."""
        self.loads: dict[int, float] = {}  # by fault: factor on the total rate
        self.bursts: dict[int, tuple[int, float]] = {}  # by fault: tenant, factor on its rate
        self.stopped = False  # no more requests and retries
        self._count = 0
        self._origins = 0
        self._top = 1.0
        self.changed()
        engine.after(0, self._next)

    def changed(self) -> None:
        """Recompute the rates after a change of `loads` or `bursts`."""
        load = math.prod(self.loads.values(), start=1.0)
        shares = list(self._spec.tenants)
        for tenant, factor in self.bursts.values():
            if tenant < len(shares):
                shares[tenant] *= factor
        self._tenants = _sums(shares)
        self._factor = load * sum(shares, 0.0) / sum(self._spec.tenants, 0.0)
        self._top = self._factor * peak(self._spec.shape, self._spec.depth)

    def _next(self, _: None) -> None:
        """Accept or reject a candidate arrival, drawn at the peak rate, by the current rate (thinning)."""
        if self.stopped:
            return
        now, spec = self._engine.now, self._spec
        rate = self._factor * level(spec.shape, spec.depth, spec.period / 1e9, now / 1e9)
        if now and (spec.shape == "flat" or self._arrivals.uniform() * self._top < rate):
            self._arrive()
        self._wait(None)

    def _wait(self, _: None) -> None:
        """Schedule the next candidate arrival.

        A gap above `MAX_GAP_NS` is cut short and drawn again, since the rate may have changed by then; the process is
        memoryless.
        """
        if self.stopped:
            return
        gap = self._arrivals.exponential() / (self._spec.rate * max(self._top, 1e-6)) * 1e9
        self._engine.after(int(min(gap, MAX_GAP_NS)) + 1, self._next if gap < MAX_GAP_NS else self._wait)

    def _arrive(self) -> None:
        self._origins += 1
        cls = _draw(self._classes, self._class.uniform())
        client = self._client.below(self._spec.population)
        tenant = _draw(self._tenants, self._client.uniform())
        key = self._zipf.draw(self._key)
        spec, stream = self._scenario.classes[cls], self._work[cls]
        if spec.spread == "fixed":
            work = float(spec.work)
        elif spec.spread == "lognormal":
            work = spec.work * math.exp(spec.sigma * stream.normal() - spec.sigma * spec.sigma / 2)
        else:
            work = spec.work * stream.exponential()
        self._ask((self._origins, cls, client, tenant, key, work, 0))

    def _ask(self, call: tuple[int, int, int, int, int, float, int]) -> None:
        origin, cls, client, tenant, key, work, tries = call
        up = self.up
        self._count += 1
        deadline = self._deadlines[cls]
        if not up or self.stopped:
            return  # no instance is up
        is_even = self._spec.heaviest is None
        instance = up[(client + tries + self._origins) % len(up)] if is_even else self._draw_instance()
        now = self._engine.now

        def over(request: Request, ending: int, hold_off: int) -> None:
            if ending in (REFUSED, FAILED, LOST) and tries < self._spec.retries:
                wait = self._spec.backoff * 2**tries * self._retry.uniform()
                if self._retry.uniform() < self._spec.patience:
                    wait = max(wait, hold_off)
                self._engine.after(int(wait) + 1, self._ask, (origin, cls, client, tenant, key, work, tries + 1))

        request = Request(self._count, cls, key, work, client, now + deadline, over)
        self._trace.add((now, REQUEST, request.rid, origin, instance.number, cls, tenant, key, deadline, tries))
        self._engine.after(deadline, instance.on_client_timeout, request)
        instance.on_request(request, tenant, tries > 0)

    def _draw_instance(self) -> Host:
        """Draw an instance that is up, weighted by traffic share (rejection sampling)."""
        up, stream = self.up, self._instance_choice
        while True:
            instance = up[stream.below(len(up))]
            if stream.uniform() < self._parts[instance.number]:
                return instance


def _sums(shares: Sequence[float]) -> list[float]:
    total = sum(shares, 0.0)
    return list(accumulate(share / total for share in shares))


def _draw(sums: Sequence[float], at: float) -> int:
    for number, top in enumerate(sums):
        if at < top:
            return number
    return len(sums) - 1

"""Statistics of a run, computed from its trace."""

from __future__ import annotations

from array import array
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import (
    END,
    FAILED,
    GAUGE,
    LEVEL,
    LOST,
    REFUSED,
    REQUEST,
    SEND,
    SERVED,
    SERVER,
    TIMED_OUT,
    UP,
    Record,
)

BIN_NS = 250_000_000
ENDINGS = {SERVED: "served", REFUSED: "refused", FAILED: "failed", TIMED_OUT: "unanswered", LOST: "lost"}


class _Origin:
    __slots__ = ("at", "cls", "worth", "open", "tenant")

    def __init__(self, at: int, cls: int, tenant: int) -> None:
        self.at, self.cls, self.tenant = at, cls, tenant
        self.worth = 0.0
        self.open = 0


class Figures:
    """Trace reader that accumulates statistics; `result` returns them.

    A client request and its retries count once. `goodput` is the value of the answers within the latency target
    (counted from the client's first try), plus `late_worth` for later answers, divided by the value of all requests.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._from = int(scenario.warmup or 0)
        classes = scenario.classes
        self._asked: dict[int, tuple[int, int, int, int]] = {}  # open requests: time, origin, class, tenant
        self._sends = 0
        self._requests = 0
        self._wanted: dict[int, tuple[int, int, int]] = {}  # by origin: time of the first try, class, tenant
        self._earned: dict[int, float] = {}  # by origin: value of its best answer
        self._lags = [array("q") for _ in classes]
        self._ends = [dict.fromkeys(ENDINGS.values(), 0) for _ in classes]
        self._late = [0 for _ in classes]
        bins = int(scenario.duration // BIN_NS) + 2
        self._bins = {name: [0] * bins for name in ("asked", "served", "late", "refused", "failed")}
        self._server_sends = np.zeros((scenario.fleet.servers, bins), dtype=np.int64)
        self.gauges: list[tuple[int, int, int, int]] = []
        self.levels: list[tuple[int, int, str, float]] = []
        self.states: list[tuple[int, int, int]] = []

    def __call__(self, record: Record) -> None:
        """Process a trace record."""
        at, kind = record[0], record[1]
        if kind == SEND:
            if at >= self._from:
                self._sends += 1
            self._server_sends[record[4], min(at // BIN_NS, self._server_sends.shape[1] - 1)] += 1
        elif kind == REQUEST:
            rid, origin, _, cls, tenant = record[2:7]
            self._asked[rid] = (at, origin, cls, tenant)
            if at >= self._from:
                self._requests += 1
                self._wanted.setdefault(origin, (at, cls, tenant))
            self._bin("asked", at)
        elif kind == END:
            self._end(at, record[2], record[3])
        elif kind == GAUGE:
            self.gauges.append((at, record[2], record[3], record[4]))
        elif kind == LEVEL:
            self.levels.append((at, record[2], record[3], record[4]))
        elif kind == SERVER and (at or record[3] != UP):
            self.states.append((at, record[2], record[3]))

    def _bin(self, name: str, at: int) -> None:
        row = self._bins[name]
        row[min(at // BIN_NS, len(row) - 1)] += 1

    def _end(self, at: int, rid: int, ending: int) -> None:
        asked = self._asked.pop(rid, None)
        if asked is None:
            return
        began, origin, cls, _ = asked
        if ending == SERVED:
            spec = self._scenario.classes[cls]
            wanted = self._wanted.get(origin)
            in_time = at - (wanted[0] if wanted is not None else began) <= spec.aim
            self._bin("served" if in_time else "late", at)
            if wanted is not None:
                worth = spec.worth * (1.0 if in_time else spec.late_worth)
                self._earned[origin] = max(self._earned.get(origin, 0.0), worth)
                self._late[cls] += not in_time
        else:
            self._bin("refused" if ending == REFUSED else "failed", at)
        if began >= self._from:
            self._ends[cls][ENDINGS[ending]] += 1
            if ending == SERVED:
                self._lags[cls].append(at - began)

    def result(self) -> dict[str, Any]:
        """Return all statistics as plain data."""
        classes = self._scenario.classes
        total = sum(classes[cls].worth for _, cls, _ in self._wanted.values())
        lags = np.concatenate(
            [np.frombuffer(lag, dtype=np.int64) for lag in self._lags if lag] or [np.zeros(0, dtype=np.int64)]
        )
        ends = {name: sum(row[name] for row in self._ends) for name in ENDINGS.values()}
        tenants: dict[int, list[float]] = {}
        for origin, (_, cls, tenant) in self._wanted.items():
            row = tenants.setdefault(tenant, [0.0, 0.0])
            row[0] += classes[cls].worth
            row[1] += self._earned.get(origin, 0.0)
        asked = max(1, self._requests)
        return {
            "goodput": sum(self._earned.values()) / total if total else 1.0,
            "wanted": len(self._wanted),
            "requests": self._requests,
            "attempts_a_request": self._sends / asked,
            **{name: count / asked for name, count in ends.items()},
            "late": sum(self._late) / asked,
            **{f"p{q:g}_ms": float(np.percentile(lags, q)) / 1e6 if lags.size else 0.0 for q in (50, 90, 99, 99.9)},
            "mean_ms": float(lags.mean()) / 1e6 if lags.size else 0.0,
            "tenants": {str(t): got / want for t, (want, got) in sorted(tenants.items())},
            "classes": {
                c.name: {**self._ends[i], "late": self._late[i], "p99_ms": _p99_ms(self._lags[i])}
                for i, c in enumerate(classes)
            },
        }

    def histogram(self) -> HdrHistogram:
        """Return the latency histogram of all served requests, in microseconds with three significant digits."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        for row in self._lags:
            if row:
                values, counts = np.unique(np.frombuffer(row, dtype=np.int64) // 1000, return_counts=True)
                for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                    histogram.record_value(max(1, value), count)
        return histogram

    def lines(self) -> dict[str, list[int]]:
        """Return event counts per time bin of `BIN_NS`."""
        return self._bins

    def heat(self) -> np.ndarray[Any, Any]:
        """Return attempts by server (rows) and time bin of `BIN_NS` (columns)."""
        return self._server_sends


def _p99_ms(lags: array[int]) -> float:
    return float(np.percentile(np.frombuffer(lags, dtype=np.int64), 99)) / 1e6 if lags else 0.0

"""Figures of a run, from its trace alone."""

from __future__ import annotations

from array import array
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import (
    ASK,
    END,
    FAILED,
    GAUGE,
    LEFT,
    LEVEL,
    LOST,
    REFUSED,
    SEND,
    SERVED,
    SERVER,
    UP,
    Record,
)

BIN_NS = 250_000_000
ENDINGS = {SERVED: "served", REFUSED: "refused", FAILED: "failed", LEFT: "unanswered", LOST: "lost"}


class _Origin:
    __slots__ = ("at", "cls", "worth", "open", "tenant")

    def __init__(self, at: int, cls: int, tenant: int) -> None:
        self.at, self.cls, self.tenant = at, cls, tenant
        self.worth = 0.0
        self.open = 0


class Figures:
    """Counts while records come; `result` has all figures.

    What a client wants once counts once, however often it asks: `goodput` is the worth of what came by its aim
    (counted from the client's first asking), plus `late_worth` of the rest, over the worth of all that was wanted.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._set = scenario
        self._from = int(scenario.warmup or 0)
        classes = scenario.classes
        self._asked: dict[int, tuple[int, int, int, int]] = {}  # open requests: when, origin, class, tenant
        self._sends = 0
        self._requests = 0
        self._wanted: dict[int, tuple[int, int, int]] = {}  # by origin: when, class, tenant
        self._got: dict[int, float] = {}
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
        at, kind = record[0], record[1]
        if kind == SEND:
            if at >= self._from:
                self._sends += 1
            self._server_sends[record[4], min(at // BIN_NS, self._server_sends.shape[1] - 1)] += 1
        elif kind == ASK:
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
            spec = self._set.classes[cls]
            wanted = self._wanted.get(origin)
            in_time = at - (wanted[0] if wanted is not None else began) <= spec.aim
            self._bin("served" if in_time else "late", at)
            if wanted is not None:
                worth = spec.worth * (1.0 if in_time else spec.late_worth)
                self._got[origin] = max(self._got.get(origin, 0.0), worth)
                self._late[cls] += not in_time
        else:
            self._bin("refused" if ending == REFUSED else "failed", at)
        if began >= self._from:
            self._ends[cls][ENDINGS[ending]] += 1
            if ending == SERVED:
                self._lags[cls].append(at - began)

    def result(self) -> dict[str, Any]:
        """All figures, as plain data."""
        classes = self._set.classes
        total = sum(classes[cls].worth for _, cls, _ in self._wanted.values())
        lags = np.concatenate(
            [np.frombuffer(lag, dtype=np.int64) for lag in self._lags if lag] or [np.zeros(0, dtype=np.int64)]
        )
        ends = {name: sum(row[name] for row in self._ends) for name in ENDINGS.values()}
        tenants: dict[int, list[float]] = {}
        for origin, (_, cls, tenant) in self._wanted.items():
            row = tenants.setdefault(tenant, [0.0, 0.0])
            row[0] += classes[cls].worth
            row[1] += self._got.get(origin, 0.0)
        asked = max(1, self._requests)
        return {
            "goodput": sum(self._got.values()) / total if total else 1.0,
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
        """Times to the answer of all that was served, in microseconds, to three digits."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        for row in self._lags:
            if row:
                values, counts = np.unique(np.frombuffer(row, dtype=np.int64) // 1000, return_counts=True)
                for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                    histogram.record_value(max(1, value), count)
        return histogram

    def lines(self) -> dict[str, list[int]]:
        """Counts by time, in steps of `BIN_NS`."""
        return self._bins

    def heat(self) -> np.ndarray[Any, Any]:
        """Attempts by server (rows) and time (columns, steps of `BIN_NS`)."""
        return self._server_sends


def _p99_ms(lags: array[int]) -> float:
    return float(np.percentile(np.frombuffer(lags, dtype=np.int64), 99)) / 1e6 if lags else 0.0

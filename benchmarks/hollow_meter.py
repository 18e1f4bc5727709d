"""What an event of a run with hollow edges has cost, from the reports of the edges and the core's processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from benchmarks.hollow_checks import Acknowledged, Log, share_of, times_to_force
from benchmarks.hollow_core import Core, waited_s

NAN = float("nan")


class Meter:
    """Sums over one event."""

    def __init__(self) -> None:
        self.worker_cpu_s: dict[int, float] = {}  # so far, less what the measuring itself takes
        self.overhead_s: Counter[int] = Counter()
        self.edges: list[dict[str, Any]] = []  # of the newest report
        self._core_before: dict[str, float] = {}
        self._waited_before: dict[str, float] = {}
        self._edges_before = 0.0
        self._clear()

    def _clear(self) -> None:
        self.received: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.without_lease: dict[str, float] = {}
        self.worst_age_s = 0.0
        self.seen: dict[tuple[str, str], list[float]] = {}
        self.list_at = 0.0

    def begin(self, core: Core) -> None:
        """An event begins."""
        self._clear()
        self._core_before = {each.name: each.cpu_s() for each in core.machines}
        self._waited_before = {each.name: waited_s(each.pid) for each in core.machines}
        self._edges_before = self._edges_cpu_s()

    def add(self, told: Sequence[Mapping[str, Any]]) -> None:
        """Take the reports of all processes with edges."""
        self.edges = [edge for one in told for edge in one["edges"]]
        for number, one in enumerate(told):
            self.overhead_s[number] += one["overhead_ns"] / 1e9
            self.worker_cpu_s[number] = one["cpu_ns"] / 1e9 - self.overhead_s[number]
            for name, state, times in one["list"]:
                self.seen.setdefault((name, state), []).extend(times)
        for edge in self.edges:
            name = edge["name"]
            self.received[name] += edge["received"]
            self.sent[name] += edge["sent"]
            self.without_lease[name] = self.without_lease.get(name, 0.0) + edge["without_lease_s"]
            self.worst_age_s = max(self.worst_age_s, edge["worst_age_s"])
            self.list_at = max(self.list_at, edge["list_at"])

    def _edges_cpu_s(self) -> float:
        return sum(self.worker_cpu_s.values())

    def leader(self) -> str:
        """Address of the link that most edges take for the leader's."""
        known = Counter(edge["leader"] for edge in self.edges if edge["running"] and edge["attached"])
        return known.most_common(1)[0][0] if known else ""

    def _core_waited_s(self, core: Core) -> float:
        """A process that was started anew counts from its start."""
        waited = {each.name: waited_s(each.pid) for each in core.machines}
        return sum(
            value - self._waited_before[name] if value >= self._waited_before[name] else value
            for name, value in waited.items()
        )

    def figures(
        self,
        core: Core,
        log: Log,
        orders: Sequence[Acknowledged],
        changes: Mapping[tuple[str, str], float],
        seconds: float,
    ) -> dict[str, float]:
        """The figures of the event."""
        count = max(1, len(self.edges))
        spent = {each.name: each.cpu_s() - self._core_before[each.name] for each in core.machines}
        leader = next((each.name for each in core.machines if each.link == self.leader()), "")
        others = [value for name, value in spent.items() if name != leader]
        return {
            "acknowledged": len(orders),
            "order p50 s": share_of([order.at - order.sent_at for order in orders], 0.5),
            "order p99 s": share_of([order.at - order.sent_at for order in orders], 0.99),
            "order gap s": _longest_gap(orders),
            **_force_figures(log, orders),
            **_list_figures(self.seen, changes),
            "edge in KB/s": sum(self.received.values()) / count / seconds / 1e3,
            "edge out KB/s": sum(self.sent.values()) / count / seconds / 1e3,
            "most in KB/s": max(self.received.values(), default=0) / seconds / 1e3,
            "most out KB/s": max(self.sent.values(), default=0) / seconds / 1e3,
            "edge core %": 100 * (self._edges_cpu_s() - self._edges_before) / count / seconds,
            "leader core %": 100 * spent.get(leader, NAN) / seconds,
            "other core %": 100 * sum(others) / max(1, len(others)) / seconds,
            "core waited %": 100 * self._core_waited_s(core) / len(core.machines) / seconds,
            "core MB": max(each.memory_mb() for each in core.machines),
            "age s": self.worst_age_s,
            "no lease, edge s": sum(self.without_lease.values()),
        }


def _longest_gap(orders: Sequence[Acknowledged]) -> float:
    gaps = [after.at - before.at for before, after in zip(orders, orders[1:], strict=False)]
    return max(gaps, default=NAN)


def _force_figures(log: Log, orders: Sequence[Acknowledged]) -> dict[str, float]:
    """From the acknowledgement until in force, over all edges and orders; and over each order's last edge."""
    by_order = [times_to_force(log, order) for order in orders]
    known = [value for found in by_order for value in found.values() if value is not None]
    last = [max((value for value in found.values() if value is not None), default=0.0) for found in by_order]
    return {
        "force p50 s": share_of(known, 0.5),
        "force p99 s": share_of(known, 0.99),
        "last edge p50 s": share_of(last, 0.5),
        "last edge s": max(last, default=NAN),
    }


def _list_figures(
    seen: Mapping[tuple[str, str], Sequence[float]], changes: Mapping[tuple[str, str], float]
) -> dict[str, float]:
    """From a change of the platform's list until an edge has it."""
    took = [at - changes[key] for key, times in seen.items() if key in changes for at in times if at > changes[key]]
    last = max(took, default=NAN)
    return {"list p50 s": share_of(took, 0.5), "list p99 s": share_of(took, 0.99), "list last s": last}

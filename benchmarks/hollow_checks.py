"""What must hold in a run with hollow edges. Pure: logs in, problems out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

IN_FORCE_S = 5.0


@dataclass(slots=True)
class Acknowledged:
    """A configuration that the operator was told is taken."""

    version: int
    sent_at: float
    at: float
    calm: bool  # nothing was wrong with edges or core from its acknowledgement until `IN_FORCE_S` later


@dataclass(slots=True)
class Log:
    """What every edge put in force, over the whole run."""

    in_force: dict[str, list[tuple[float, int, int]]] = field(default_factory=dict)  # when, sequence, version
    began: dict[str, float] = field(default_factory=dict)  # the start of an edge's life
    backwards: int = 0

    def add(self, edges: Iterable[Mapping[str, Any]]) -> None:
        """Take a report."""
        for edge in edges:
            self.began[edge["name"]] = edge["started_at"]
            self.in_force.setdefault(edge["name"], []).extend(tuple(each) for each in edge["configurations"])
            self.backwards += edge["backwards"]


def times_to_force(log: Log, order: Acknowledged) -> dict[str, float | None]:
    """By edge, seconds from the acknowledgement, or the edge's start if that is later, until it or a later one
    was in force; None: not in this run."""
    found: dict[str, float | None] = {}
    for name, entries in log.in_force.items():
        began = log.began.get(name, 0.0)
        first = next((when for when, _, version in entries if version >= order.version and when >= began), None)
        found[name] = None if first is None else max(0.0, first - max(order.at, began))
    return found


def late(log: Log, orders: Sequence[Acknowledged]) -> list[str]:
    """Configurations that were not in force everywhere in time, though all was calm."""
    problems = []
    for order in orders:
        if not order.calm:
            continue
        took = times_to_force(log, order)
        slow = [name for name, seconds in took.items() if seconds is None or seconds > IN_FORCE_S]
        if slow:
            problems.append(
                f"version {order.version} is not in force within {IN_FORCE_S:g} s at {len(slow)} edges, "
                f"one of them {slow[0]}"
            )
    return problems


def never_back(log: Log) -> list[str]:
    """Nothing goes back in the life of an edge."""
    problems = [f"{log.backwards} times an edge went back, or took the same again"] if log.backwards else []
    for name, entries in log.in_force.items():
        life = [entry for entry in entries if entry[0] >= log.began.get(name, 0.0)]
        for before, after in zip(life, life[1:], strict=False):
            if after[1] <= before[1] or after[2] < before[2]:
                problems.append(f"{name} went from configuration {before[1:]} to {after[1:]}")
                break
    return problems


def counted(edges: Iterable[Mapping[str, Any]]) -> list[str]:
    """Every edge that runs is counted, and knows the count."""
    running = [edge for edge in edges if edge["running"]]
    wrong = [edge["name"] for edge in running if edge["total"] != len(running)]
    told = sorted({edge["total"] for edge in running})
    return [f"{len(wrong)} of {len(running)} edges know another number of edges: {told}"] if wrong else []


def same_list(edges: Iterable[Mapping[str, Any]], listed: Sequence[int]) -> list[str]:
    """Every edge that runs holds the platform's list."""
    wrong = [edge["name"] for edge in edges if edge["running"] and list(edge["listed"]) != list(listed)]
    return [f"{len(wrong)} edges hold another list than the platform's, one of them {wrong[0]}"] if wrong else []


def share_of(values: Sequence[float], share: float) -> float:
    """The value that so large a share of them does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")

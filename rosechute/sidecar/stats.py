"""Metrics for operators: counters, and gauges that are computed when they are read."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

PREFIX = "node"
OUTCOMES = ("success", "busy", "failure")  # served, refused, failed


class Gauges(NamedTuple):
    """Current values of the gauges."""

    inflight: int
    hosts_listed: int
    hosts_down: int
    resident_memory_bytes: int = 0


class ProcessCounters(NamedTuple):
    """Current values of the counters that are kept elsewhere in the process."""

    log_lines_dropped: int = 0
    listener_failures: int = 0
    memory_releases: int = 0


NO_COUNTERS = ProcessCounters()


class Stats:
    """Counters of one process, which start at 0.

    A removed class keeps its counters: a counter that disappears or decreases would look like a restart.
    """

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self._ends: dict[str, dict[str, int]] = {}
        self.backend_calls = 0
        self.reconfig_ok = 0
        self.reconfig_failed = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add counters for these classes, unless they exist."""
        for name in classes:
            self._ends.setdefault(name, dict.fromkeys(OUTCOMES, 0))

    def ended(self, cls: str, status: int) -> None:
        """Count a request of a class by the status that its client got."""
        ends = self._ends.get(cls)
        if ends is None:
            self.add_classes((cls,))
            ends = self._ends[cls]
        ends["success" if status == 200 else "busy" if status in (429, 503) else "failure"] += 1

    def wrote(self) -> None:
        """Count an attempt that was sent completely."""
        self.backend_calls += 1

    def render(self, gauges: Gauges, process: ProcessCounters = NO_COUNTERS) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._lines(gauges, process)).encode()

    def _lines(self, gauges: Gauges, process: ProcessCounters) -> Iterator[str]:
        for outcome in OUTCOMES:
            yield f"# TYPE {PREFIX}_{outcome}_total counter"
            for name, ends in self._ends.items():
                yield f'{PREFIX}_{outcome}_total{{tier="{escape_label(name)}"}} {ends[outcome]}'
        counters: Mapping[str, int] = {
            "backend_calls_total": self.backend_calls,
            "reconfig_ok_total": self.reconfig_ok,
            "reconfig_failed_total": self.reconfig_failed,
            "log_lines_dropped_total": process.log_lines_dropped,
            "listener_failures_total": process.listener_failures,
            "memory_releases_total": process.memory_releases,
        }
        for key, value in counters.items():
            yield f"# TYPE {PREFIX}_{key} counter"
            yield f"{PREFIX}_{key} {value}"
        for key, value in gauges._asdict().items():
            yield f"# TYPE {PREFIX}_{key} gauge"
            yield f"{PREFIX}_{key} {value}"


def escape_label(label: str) -> str:
    """Escape a label value."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")

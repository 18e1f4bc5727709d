"""The figures that operators read: plain counters, and gauges read off the live tables when asked for."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

PREFIX = "node"
OUTCOMES = ("success", "busy", "failure")  # served, refused, failed


class Gauges(NamedTuple):
    """What holds at the moment of asking."""

    inflight: int
    hosts_listed: int
    hosts_down: int


class Stats:
    """Counts of one process, from 0 at its start. A class that is dropped keeps its counts: a counter that
    vanishes, or falls, reads as a restart."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self._ends: dict[str, dict[str, int]] = {}
        self.backend_calls = 0
        self.reconfig_ok = 0
        self.reconfig_failed = 0
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes from now on, at 0 where nothing has been counted yet."""
        for name in classes:
            self._ends.setdefault(name, dict.fromkeys(OUTCOMES, 0))

    def ended(self, cls: str, status: int) -> None:
        """A request of this class ended with this status towards its client."""
        ends = self._ends.get(cls)
        if ends is None:
            self.know((cls,))
            ends = self._ends[cls]
        ends["success" if status == 200 else "busy" if status in (429, 503) else "failure"] += 1

    def wrote(self) -> None:
        """The last byte of an attempt was written to a server."""
        self.backend_calls += 1

    def render(self, gauges: Gauges) -> bytes:
        """All figures in the text form that scrapers read."""
        return "".join(f"{line}\n" for line in self._lines(gauges)).encode()

    def _lines(self, gauges: Gauges) -> Iterator[str]:
        for outcome in OUTCOMES:
            yield f"# TYPE {PREFIX}_{outcome}_total counter"
            for name, ends in self._ends.items():
                yield f'{PREFIX}_{outcome}_total{{tier="{escaped(name)}"}} {ends[outcome]}'
        counters: Mapping[str, int] = {
            "backend_calls_total": self.backend_calls,
            "reconfig_ok_total": self.reconfig_ok,
            "reconfig_failed_total": self.reconfig_failed,
        }
        for key, value in counters.items():
            yield f"# TYPE {PREFIX}_{key} counter"
            yield f"{PREFIX}_{key} {value}"
        for key, value in gauges._asdict().items():
            yield f"# TYPE {PREFIX}_{key} gauge"
            yield f"{PREFIX}_{key} {value}"


def escaped(label: str) -> str:
    """A label's value as it may stand between quotes."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")

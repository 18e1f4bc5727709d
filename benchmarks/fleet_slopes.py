"""What the router fleet costs each role, by the size of what it works with. Loopback in `links` and `events` only.

    python -m benchmarks.fleet_slopes [--groups configuration renewal list term links quota storage delta home
                                       routing memory events] [--json FILE]

Times are medians of the processor time of one thread; the machine may be busy with other things, which then cost
caches but no time. Memory is by `tracemalloc`, in the group `memory` only, as it slows all else down. Beside the
points: a line through them by least squares, and the largest distance of a point from it as a share of the largest.

Every group is a process of its own and ends by itself; all of them take about three minutes.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from benchmarks import fleet_slopes_core, fleet_slopes_edge, fleet_slopes_events, fleet_slopes_links
from benchmarks.fitting import Slope, machine, slope_of, table

GROUPS: dict[str, Callable[[], list[Slope]]] = {
    "configuration": fleet_slopes_core.configuration,
    "renewal": fleet_slopes_core.renewal,
    "list": fleet_slopes_core.list_at_leader,
    "term": fleet_slopes_core.new_term,
    "links": fleet_slopes_links.new_term_with_links,
    "quota": fleet_slopes_core.quota,
    "storage": fleet_slopes_core.storage,
    "delta": fleet_slopes_edge.list_at_edge,
    "home": fleet_slopes_edge.home,
    "routing": fleet_slopes_edge.routing,
    "memory": fleet_slopes_edge.memory,
    "events": fleet_slopes_events.events,
}
LIMIT_S = 170.0


def measured(group: str) -> list[Slope]:
    """The slopes of a group, from a process of its own."""
    command = [sys.executable, "-m", "benchmarks.fleet_slopes", "--only", group]
    found = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, check=True)
    return [slope_of(plain) for plain in json.loads(found.stdout)]


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure, and print tables."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--groups", nargs="*", default=list(GROUPS), choices=list(GROUPS))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--only", choices=list(GROUPS), help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.only:
        print(json.dumps([slope.plain() for slope in GROUPS[options.only]()]))
        return 0
    kept: dict[str, list[Slope]] = {}
    if options.json and options.json.exists():
        known = json.loads(options.json.read_text())
        kept = {group: [slope_of(plain) for plain in slopes] for group, slopes in known.items()}
    for group in options.groups:
        kept[group] = measured(group)
        print(f"\n**{group}** ({machine()})\n\n{table(kept[group])}", flush=True)
    if options.json:
        plain = {group: [slope.plain() for slope in slopes] for group, slopes in kept.items()}
        options.json.write_text(json.dumps(plain, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())

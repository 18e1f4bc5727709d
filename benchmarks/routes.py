"""Time of one route look-up with 1, 10, 200 and 2,000 routes, in microseconds.

    python -m benchmarks.routes [--looks 20000] [--rounds 5]

Each row is another way in which a file can grow: by paths, by tenants on one path, by header values on one
path, and by prefixes of which none matches. The look-ups go over all routes in turn.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable

from rosechute.sidecar.route_matching.pattern import parse
from rosechute.sidecar.route_matching.table import Match, Table

SIZES = (1, 10, 200, 2000)
Asked = tuple[bytes, bytes, bytes | None, dict[bytes, bytes]]
Way = Callable[[int], tuple[Match, Asked]]


def by_path(i: int) -> tuple[Match, Asked]:
    return Match(parse(f"/rooms/r{i}/{{id}}")), (b"GET", b"/rooms/r%d/7?q=1" % i, None, {})


def by_tenant(i: int) -> tuple[Match, Asked]:
    return Match(parse("/rooms/{id}"), b"GET", b"t%d" % i), (b"GET", b"/rooms/7", b"t%d" % i, {})


def by_header(i: int) -> tuple[Match, Asked]:
    headers = ((b"x-kind", b"%d" % i),)
    return Match(parse("/rooms/*"), None, None, headers), (b"GET", b"/rooms/7", None, dict(headers))


def none_matches(i: int) -> tuple[Match, Asked]:
    return Match(parse(f"/rooms/r{i}/*")), (b"GET", b"/desks/r%d/7" % i, None, {})


def measure(way: Way, size: int, looks: int, rounds: int) -> float:
    """Microseconds a look-up, the median of the rounds."""
    made = [way(i) for i in range(size)]
    table = Table((match, i) for i, (match, _) in enumerate(made))
    asked = [made[i % size][1] for i in range(looks)]
    found = []
    for _ in range(rounds):
        start = time.perf_counter()
        for method, target, tenant, headers in asked:
            table.find(method, target, tenant, headers)
        found.append((time.perf_counter() - start) / looks * 1e6)
    return statistics.median(found)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--looks", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    chosen = parser.parse_args()
    print(f"{'routes':16}" + "".join(f"{size:>9}" for size in SIZES) + "   2000 / 1")
    for name, way in (
        ("paths", by_path),
        ("tenants", by_tenant),
        ("header values", by_header),
        ("none matches", none_matches),
    ):
        costs = [measure(way, size, chosen.looks, chosen.rounds) for size in SIZES]
        print(f"{name:16}" + "".join(f"{cost:9.2f}" for cost in costs) + f"{costs[-1] / costs[0]:11.2f}")


if __name__ == "__main__":
    main()

"""The lab at size: time and memory of one run, as instances, servers and requests double.

    python -m benchmarks.scale [--policy module] [--full]

Each row is a process of its own. `--full` adds 1,000 instances, 1,000 servers and 1,000,000 requests. Memory is the
process's peak, all of it.
"""

from __future__ import annotations

import argparse
import resource
import subprocess
import sys
import time

from rosechute import native

SECONDS = 10


def one(policy: str, instances: int, servers: int, requests: int) -> None:
    native.install_finder()
    import gc

    from rosechute.sidecar.operator_configuration.units import Span
    from rosechute.simulation.run import run
    from rosechute.simulation.spec import Class, Clients, Fleet, Instances, Scenario

    gc.set_threshold(200_000, 50, 50)
    use = 0.6
    rate = requests / SECONDS
    work = int(use * servers * 2 / rate * 1e9)
    deadline = max(1_000_000_000, 20 * work)
    scenario = Scenario(
        "scale",
        "size",
        duration=Span(SECONDS * 10**9),
        clients=Clients(rate=rate),
        fleet=Fleet(servers=servers),
        instances=Instances(count=instances),
        classes=(Class("a", work=Span(work), aim=Span(deadline // 2), deadline=Span(deadline)),),
    )
    start = time.perf_counter()
    done = run(scenario, policy, 1)
    took = time.perf_counter() - start
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    breaches = sum(done.result["breaches"].values())
    print(
        f"| {policy} | {instances:,} | {servers:,} | {done.result['requests']:,} | {took:.1f} | "
        f"{done.result['requests'] / took:,.0f} | {peak:,.0f} | {breaches} |",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--policy", default="module")
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--one", nargs=3, type=int, help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.one:
        one(chosen.policy, *chosen.one)
        return
    print("| policy | instances | servers | requests | s | requests a s | peak MiB | breaches |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
    rows = [(250, 250, 50_000), (500, 250, 50_000), (250, 500, 50_000), (250, 250, 100_000), (500, 500, 100_000)]
    if chosen.full:
        rows.append((1000, 1000, 1_000_000))
    for row in rows:
        subprocess.run(
            [sys.executable, "-m", "benchmarks.scale", "--policy", chosen.policy, "--one", *map(str, row)], check=True
        )


if __name__ == "__main__":
    main()

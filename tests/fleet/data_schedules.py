"""Runs random schedules of the data plane.

`python -m tests.fleet.data_schedules 0 1000` runs these seeds and reports violations.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import Counter

from tests.fleet.data_judges import violations
from tests.fleet.data_model import Records, Schedule
from tests.fleet.data_site import SCENARIO_TIMEOUT_S, VirtualLoop, VirtualTimeTestCase


def play(seed: int) -> Records:
    """Run one schedule on a virtual clock."""
    loop = VirtualLoop()
    try:
        records = loop.run_until_complete(asyncio.wait_for(Schedule(seed).play(), SCENARIO_TIMEOUT_S))
        loop.run_until_complete(VirtualTimeTestCase._end_tasks(loop))
        return records
    finally:
        loop.close()


def main() -> None:
    """Run a range of seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int)
    arguments = parser.parse_args()
    started_at, failed, requests = time.monotonic(), 0, 0
    statuses: Counter[int] = Counter()
    behaviors: Counter[str] = Counter()
    for seed in range(arguments.first, arguments.end):
        records = play(seed)
        requests += len(records.asked)
        statuses.update(request.status for request in records.asked.values())
        behaviors.update(behavior.value for drawn in records.conducts.values() for behavior in drawn)
        found = violations(records)
        failed += bool(found)
        for text in found:
            print(f"seed {seed}: {text}", flush=True)
    print(
        f"{arguments.end - arguments.first} schedules, {requests} requests, {failed} schedules with violations, "
        f"{time.monotonic() - started_at:.0f} s"
    )
    print("responses by status (0: none):", dict(sorted(statuses.items())))
    print("behavior of servers:", dict(sorted(behaviors.items())))


if __name__ == "__main__":
    main()

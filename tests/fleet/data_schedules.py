"""Plays schedules of the data plane's model.

`python -m tests.fleet.data_schedules 0 1000` plays these seeds and tells how many went wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import Counter

from tests.fleet.data_judges import verdicts
from tests.fleet.data_model import Records, World
from tests.fleet.data_site import LIMIT_S, SiteCase, VirtualLoop


def play(seed: int) -> Records:
    """Play one schedule on a clock of its own."""
    loop = VirtualLoop()
    try:
        records = loop.run_until_complete(asyncio.wait_for(World(seed).play(), LIMIT_S))
        loop.run_until_complete(SiteCase._end_tasks(loop))
        return records
    finally:
        loop.close()


def main() -> None:
    """Play a range of seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int)
    arguments = parser.parse_args()
    begun, failed, requests = time.monotonic(), 0, 0
    statuses: Counter[int] = Counter()
    conducts: Counter[str] = Counter()
    for seed in range(arguments.first, arguments.end):
        records = play(seed)
        requests += len(records.asked)
        statuses.update(asked.status for asked in records.asked.values())
        conducts.update(conduct.value for drawn in records.conducts.values() for conduct in drawn)
        found = verdicts(records)
        failed += bool(found)
        for text in found:
            print(f"seed {seed}: {text}", flush=True)
    print(
        f"{arguments.end - arguments.first} schedules, {requests} requests, {failed} schedules with a finding, "
        f"{time.monotonic() - begun:.0f} s"
    )
    print("answers by status (0: none):", dict(sorted(statuses.items())))
    print("conduct of servers:", dict(sorted(conducts.items())))


if __name__ == "__main__":
    main()

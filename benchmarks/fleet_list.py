"""Whether the leader's reader can read a list of this length from a platform that takes so many calls a second.

    python -m benchmarks.fleet_list [--listed 6800] [--list-rate 40] [--seconds 60]

The project's reader and client against the project's stand-in over loopback. Prints how many readings were whole, how
long the first took, and how many calls were refused. Exit status 1 where none was whole.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections.abc import Sequence

from loguru import logger

from benchmarks.fleet_size import SIZE, servers
from benchmarks.hollow_list import LargeList
from rosechute.control_plane.endpoint_list_client import EndpointListClient
from rosechute.control_plane.endpoint_list_reader import EndpointListReader
from rosechute.distribution.values import ListedServer
from rosechute.fakes.fleet.platform import Instance


async def readings(listed: int, rate: float, seconds: float) -> tuple[list[float], int, int]:
    """Times at which a whole reading was delivered, calls, and calls that were refused."""
    platform = LargeList(rate)
    for one in servers(listed):
        platform.put(Instance(id=one.id, service=one.service, address=one.address, zone=one.zone, slots=64))
    client = EndpointListClient(await platform.start("127.0.0.1"))
    began, whole = time.monotonic(), []

    def deliver(found: Sequence[ListedServer]) -> None:
        assert len(found) == listed
        whole.append(time.monotonic() - began)

    reader = EndpointListReader(
        client.fetch, lambda: rate, lambda: 1, deliver, random.Random(1).random, time.monotonic
    )
    try:
        async with asyncio.timeout(seconds):
            await reader.run()
    except TimeoutError:
        pass
    finally:
        await client.close()
        await platform.stop()
    return whole, platform.stats.calls, platform.stats.refused


def main(arguments: Sequence[str] | None = None) -> int:
    """Read, and print what came of it."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--listed", type=int, default=SIZE.servers)
    parser.add_argument("--list-rate", type=float, default=40.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args(arguments)
    logger.remove()
    whole, calls, refused = asyncio.run(readings(options.listed, options.list_rate, options.seconds))
    first = f"the first after {whole[0]:.2f} s, the last after {whole[-1]:.2f} s" if whole else "none"
    print(
        f"{options.listed} servers, {options.list_rate:g} calls a second, {options.seconds:g} s: "
        f"{len(whole)} whole readings, {first}; {calls} calls, {refused} refused"
    )
    return 0 if whole else 1


if __name__ == "__main__":
    sys.exit(main())

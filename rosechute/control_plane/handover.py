"""Graceful shutdown of a core machine: hand its work over to the other machines before the process ends."""

import asyncio
from collections.abc import Callable

from .replica_runtime import ReplicaRuntime

HANDOVER_TIMEOUT_S = 1.0  # below the 1.8 s that the process allows for its shutdown
HANDOVER_POLL_S = 0.02
LINK_FLUSH_S = 0.05  # lets the last messages leave before their links are closed


async def hand_over(runtime: ReplicaRuntime, clock: Callable[[], float]) -> None:
    """Give up the leader lease and keep serving until no other machine depends on this one.

    The replica keeps ticking in the meantime. If too few other machines are up to continue without this one, return
    after `HANDOVER_TIMEOUT_S`.

    Args:
        runtime: Runtime of the replica to shut down.
        clock: Returns the monotonic time in seconds.
    """
    runtime.resign()
    deadline = clock() + HANDOVER_TIMEOUT_S
    while not runtime.replica.is_handed_over and clock() < deadline:
        await asyncio.sleep(HANDOVER_POLL_S)
    await asyncio.sleep(LINK_FLUSH_S)

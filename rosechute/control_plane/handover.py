"""Hand the work of a core machine over to the others before its process ends (graceful shutdown)."""

import asyncio
from collections.abc import Callable

from .replica_runtime import ReplicaRuntime

HANDOVER_TIMEOUT_S = 1.0  # below the 1.8 s that the process allows for its end
HANDOVER_POLL_S = 0.02
LINK_FLUSH_S = 0.05  # for the last messages to leave before their links are closed


async def hand_over(runtime: ReplicaRuntime, clock: Callable[[], float]) -> None:
    """Give up the leader lease and keep serving until no other machine depends on this one.

    The replica goes on ticking meanwhile. The others may be unable to go on without it (too few are up); then this
    returns after `HANDOVER_TIMEOUT_S`.

    Args:
        runtime: The replica that is about to end.
        clock: The steady clock, in seconds.
    """
    runtime.resign()
    deadline = clock() + HANDOVER_TIMEOUT_S
    while not runtime.replica.is_handed_over and clock() < deadline:
        await asyncio.sleep(HANDOVER_POLL_S)
    await asyncio.sleep(LINK_FLUSH_S)

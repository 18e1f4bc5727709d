"""The platform's entry: which edge a new connection of a client goes to, by readiness and a hash of the client."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

ASK_EVERY_S = 0.25
"""The platform asks every second; a demo has less time."""
ASK_WITHIN_S = 0.5
MISSES = 2


@dataclass(slots=True)
class Gate:
    """One edge as the entry sees it."""

    name: str
    zone: str
    front: str
    readiness: str
    misses: int = MISSES

    @property
    def ready(self) -> bool:
        """Whether it is sent new connections."""
        return self.misses < MISSES


class Entry:
    """Asks every edge for its readiness, and names an edge for a client of a zone."""

    def __init__(self, gates: Sequence[Gate]) -> None:
        self.gates = list(gates)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask."""
        self._tasks = [asyncio.get_running_loop().create_task(self._watch(gate)) for gate in self.gates]

    async def stop(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def front(self, zone: str, client: str, attempt: int) -> str:
        """The front address for a new connection of a client; each retry goes to another edge where there is one."""
        own = [gate for gate in self.gates if gate.zone == zone]
        ready = [gate for gate in own if gate.ready]
        if ready and 2 * len(ready) < len(own):
            ready = own
        candidates = ready or [gate for gate in self.gates if gate.ready] or own or self.gates
        return candidates[(zlib.crc32(client.encode()) + attempt) % len(candidates)].front

    def ready_count(self) -> int:
        """How many edges are ready."""
        return sum(gate.ready for gate in self.gates)

    async def _watch(self, gate: Gate) -> None:
        """Ask one edge again and again."""
        timeout = aiohttp.ClientTimeout(total=ASK_WITHIN_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{gate.readiness}/readiness") as answer:
                        gate.misses = 0 if answer.status == 200 else gate.misses + 1
                except (aiohttp.ClientError, TimeoutError, OSError):
                    gate.misses += 1
                await asyncio.sleep(ASK_EVERY_S)

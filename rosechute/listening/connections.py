"""The connections of one listener, held within its limits.

The decision who gives way is `rosechute.proxy.core.shedding`'s.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from loguru import logger

from rosechute.listening.limits import ListenerLimits
from rosechute.proxy.core.shedding import Holding, Standing, who_gives_way, who_makes_room
from rosechute.proxy.core.turns import TurnQueue

EVICT_SILENT_S = 0.1  # seconds of silence after which a connection may be closed to make room for a new one
STALLED_S = 0.3  # seconds of silence in the middle of a message after which its sender has stalled
RELIEF_DIVISOR = 8  # once the memory is spent, this fraction of it is freed
SWEEP_INTERVAL_S = 1.0
STALLED_TIMEOUT_S = 10.0  # a connection that has stalled for this long is closed
SILENT_TIMEOUT_S = 15.0  # the same for one that has never sent anything

TIMED_STANDINGS = frozenset({Standing.SILENT, Standing.STALLED, Standing.STALLED_FORWARDED, Standing.NOT_READING})


class GuardedConnection(Protocol):
    """A connection of a listener with limits."""

    def standing(self, now: float) -> Standing:
        """Return why it holds what it holds, at loop time `now`."""

    def held_bytes(self) -> int:
        """Return the memory that is free once it is closed."""

    def last_active_at(self) -> float:
        """Return the loop time at which its peer last sent or read anything."""

    def shed(self) -> None:
        """Give way: refuse what is arriving, and close."""


class ConnectionTable:
    """The open connections of a listener.

    Args:
        name: Name of the listener, for the log.
        limits: Its limits.

    Attributes:
        turns: Turns for work that many connections bring at once.
        shed_total: Connections that were closed since the start to keep to the limits.
    """

    def __init__(self, name: str, limits: ListenerLimits) -> None:
        self._name, self._limits = name, limits
        self._connections: set[GuardedConnection] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.turns = TurnQueue()
        self.shed_total = 0

    def add(self, connection: GuardedConnection) -> bool:
        """Add a connection; return False if there is no place for it, and none can be made."""
        if len(self._connections) >= self._limits.connections and not self._make_room():
            self.shed_total += 1
            return False
        self._connections.add(connection)
        if self._sweep_timer is None:
            self._schedule_sweep()
        return True

    def remove(self, connection: GuardedConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Stop the sweep for connections that have stalled."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None

    def relieve(self) -> None:
        """Have connections give way if they hold more memory than the limit allows."""
        limit = self._limits.memory_bytes
        held = sum(connection.held_bytes() for connection in self._connections)
        if held <= limit:
            return
        closed = who_gives_way(self._holdings(), held - limit + limit // RELIEF_DIVISOR)
        for connection in closed:
            self._shed(connection)
        if closed:
            logger.warning("listener memory spent listener={} held_bytes={} closed={}", self._name, held, len(closed))

    def _make_room(self) -> bool:
        connection = who_makes_room(self._holdings(), EVICT_SILENT_S)
        if connection is None:
            return False
        self._shed(connection)
        return True

    def _shed(self, connection: GuardedConnection) -> None:
        self.shed_total += 1
        self._connections.discard(connection)
        connection.shed()

    def _holdings(self) -> list[Holding[GuardedConnection]]:
        now = asyncio.get_running_loop().time()
        return [
            Holding(one, one.standing(now), one.held_bytes(), now - one.last_active_at()) for one in self._connections
        ]

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close connections that have stalled for too long; first schedule the next sweep, as this one may raise."""
        self._sweep_timer = None
        if self._connections:
            self._schedule_sweep()
        for one in self._holdings():
            limit_s = SILENT_TIMEOUT_S if one.standing is Standing.SILENT else STALLED_TIMEOUT_S
            if one.standing in TIMED_STANDINGS and one.silent_s >= limit_s:
                self._shed(one.holder)

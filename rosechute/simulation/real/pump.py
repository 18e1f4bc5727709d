"""Plays an engine's events in real time, on an event loop, with what comes in from outside between them."""

from __future__ import annotations

import asyncio
from array import array
from collections.abc import Callable
from typing import TypeVar

import numpy as np

from rosechute.simulation.engine import Engine

T = TypeVar("T")


class Pump:
    """Time 0 of the engine is when `start` is called.

    Events are played no earlier than they are due and, as far as the machine allows, no later; how much later is
    kept, since a run that lags measures the lag.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._loop = asyncio.get_running_loop()
        self._zero = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timed = 0
        self._lags = array("q")
        self._acting = False
        self.on = False

    def now(self) -> int:
        """Nanoseconds since the start."""
        return int((self._loop.time() - self._zero) * 1e9)

    def start(self) -> None:
        """Let time begin."""
        self._zero = self._loop.time()
        self.on = True
        self._tick()

    def stop(self) -> None:
        """Play nothing more; what still comes in is ignored."""
        self.on = False
        if self._timer is not None:
            self._timer.cancel()

    async def until(self, time: int) -> None:
        """Wait for a time of the engine."""
        while self.on and self.now() < time:
            await asyncio.sleep((time - self.now()) / 1e9)

    def act(self, play: Callable[[T], None], what: T) -> None:
        """Something has come in from outside: play all that was due before, then this."""
        if not self.on:
            return
        if self._acting:
            play(what)  # brought about by an event that is being played
            return
        self._acting = True
        try:
            self._engine.run(self.now())
            play(what)
        finally:
            self._acting = False
        self._arm()

    def _tick(self) -> None:
        self._timer = None
        due, now = self._engine.due(), self.now()
        if due is not None and due <= now:
            self._lags.append(now - due)
        self._acting = True
        try:
            self._engine.run(now)
        finally:
            self._acting = False
        self._arm()

    def _arm(self) -> None:
        due = self._engine.due()
        if due is None or not self.on:
            return
        if self._timer is not None:
            if self._timed <= due:
                return  # it looks again then
            self._timer.cancel()
        self._timed = due
        self._timer = self._loop.call_later(max(0.0, (due - self.now()) / 1e9), self._tick)

    def lag_ms(self, percent: float) -> float:
        """By how much events were late, in milliseconds, at a percentile of all."""
        return float(np.percentile(np.frombuffer(self._lags, dtype=np.int64), percent)) / 1e6 if self._lags else 0.0

"""Real-time execution of an engine's events on an asyncio event loop, interleaved with external events."""

from __future__ import annotations

import asyncio
from array import array
from collections.abc import Callable
from typing import TypeVar

import numpy as np

from rosechute.simulation.engine import Engine

T = TypeVar("T")


class Pump:
    """Driver of an engine in real time; `start` sets time 0.

    Events run no earlier than due. Their delay is recorded, since the results of a run that lags include the lag.
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
        """Return the nanoseconds since the start."""
        return int((self._loop.time() - self._zero) * 1e9)

    def start(self) -> None:
        """Start the clock."""
        self._zero = self._loop.time()
        self.on = True
        self._tick()

    def stop(self) -> None:
        """Run no more events and ignore external ones."""
        self.on = False
        if self._timer is not None:
            self._timer.cancel()

    async def until(self, time: int) -> None:
        """Wait until a time of the engine's clock, in nanoseconds."""
        while self.on and self.now() < time:
            await asyncio.sleep((time - self.now()) / 1e9)

    def act(self, callback: Callable[[T], None], argument: T) -> None:
        """Process an external event: run all events due before it, then `callback(argument)`."""
        if not self.on:
            return
        if self._acting:
            callback(argument)  # raised by an event that is running
            return
        self._acting = True
        try:
            self._engine.run(self.now())
            callback(argument)
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
                return  # the timer fires in time
            self._timer.cancel()
        self._timed = due
        self._timer = self._loop.call_later(max(0.0, (due - self.now()) / 1e9), self._tick)

    def lag_ms(self, percent: float) -> float:
        """Return a percentile of the delay of events, in milliseconds."""
        return float(np.percentile(np.frombuffer(self._lags, dtype=np.int64), percent)) / 1e6 if self._lags else 0.0

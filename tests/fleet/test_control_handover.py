"""Tests of `hand_over`: the machine keeps serving until the others can continue without it or the timeout expires."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

from rosechute.control_plane import handover

from .data_site import VirtualTimeTestCase

CLOCK_STEP_S = 0.02  # the clock advances by this at each reading


class ScriptedClockTest(IsolatedAsyncioTestCase):
    """Uses a clock that advances at each reading."""

    async def run_hand_over(self, handed_over_after: int) -> tuple[float, int]:
        """Return the duration by that clock and the number of checks of `is_handed_over`."""
        readings = checks = 0

        class Replica:
            @property
            def is_handed_over(self) -> bool:
                nonlocal checks
                checks += 1
                return checks > handed_over_after

        def clock() -> float:
            nonlocal readings
            readings += 1
            return readings * CLOCK_STEP_S

        runtime: Any = SimpleNamespace(replica=Replica(), resign=mock.Mock())
        with (
            mock.patch.object(handover, "LINK_FLUSH_S", 0.0),
            mock.patch.object(handover, "HANDOVER_POLL_S", 0.0),
        ):
            await handover.hand_over(runtime, clock)
        runtime.resign.assert_called_once_with()
        return readings * CLOCK_STEP_S, checks

    async def test_returns_once_handed_over(self) -> None:
        duration_s, checks = await self.run_hand_over(3)
        self.assertEqual(checks, 4)
        self.assertLess(duration_s, handover.HANDOVER_TIMEOUT_S)

    async def test_returns_after_the_timeout(self) -> None:
        duration_s, _ = await self.run_hand_over(10**6)
        self.assertLess(duration_s, handover.HANDOVER_TIMEOUT_S + 0.1)


class SimulatedTimeTest(VirtualTimeTestCase):
    """Uses the simulated clock of the event loop."""

    def hand_over_s(self, handed_over_after_s: float) -> float:
        """Return the duration of the handover if the others can continue after `handed_over_after_s`."""
        durations: list[float] = []

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            started_at = loop.time()

            class Replica:
                @property
                def is_handed_over(self) -> bool:
                    return loop.time() - started_at >= handed_over_after_s

            runtime: Any = SimpleNamespace(replica=Replica(), resign=mock.Mock())
            await handover.hand_over(runtime, loop.time)
            runtime.resign.assert_called_once_with()
            durations.append(loop.time() - started_at)

        self.run_scenario(scenario)
        return durations[0]

    def test_keeps_serving_until_handed_over(self) -> None:
        self.assertTrue(0.3 <= self.hand_over_s(0.3) < 0.5)

    def test_returns_after_the_timeout_if_the_others_cannot_continue(self) -> None:
        timeout_s = handover.HANDOVER_TIMEOUT_S
        self.assertTrue(timeout_s <= self.hand_over_s(60.0) < timeout_s + 0.2)

    def test_waits_for_the_last_messages_to_be_sent(self) -> None:
        """The event loop sends the messages of `resign` later; closing the links immediately would drop them."""
        self.assertTrue(0.02 <= self.hand_over_s(0.0) < 0.2)

"""The handover of a core machine: it serves on until the others go on without it, and not for longer than it may."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

from rosechute.control_plane import handover

from .data_site import SiteCase

LOOK_S = 0.02  # by which each look at the clock moves it


class ScriptedClockTest(IsolatedAsyncioTestCase):
    """On a clock that moves by each look at it."""

    async def leave(self, handed_over_after: int) -> tuple[float, int]:
        """How long it took on that clock, and how often the replica was asked."""
        looks = asked = 0

        class Replica:
            @property
            def is_handed_over(self) -> bool:
                nonlocal asked
                asked += 1
                return asked > handed_over_after

        def clock() -> float:
            nonlocal looks
            looks += 1
            return looks * LOOK_S

        runtime: Any = SimpleNamespace(replica=Replica(), resign=mock.Mock())
        with (
            mock.patch.object(handover, "LINK_FLUSH_S", 0.0),
            mock.patch.object(handover, "HANDOVER_POLL_S", 0.0),
        ):
            await handover.hand_over(runtime, clock)
        runtime.resign.assert_called_once_with()
        return looks * LOOK_S, asked

    async def test_it_ends_once_it_has_handed_over(self) -> None:
        took_s, asked = await self.leave(3)
        self.assertEqual(asked, 4)
        self.assertLess(took_s, handover.HANDOVER_TIMEOUT_S)

    async def test_it_ends_in_time_where_the_others_cannot_go_on(self) -> None:
        took_s, _ = await self.leave(10**6)
        self.assertLess(took_s, handover.HANDOVER_TIMEOUT_S + 0.1)


class SimulatedTimeTest(SiteCase):
    """On the clock of the event loop, which moves by itself."""

    def hand_over_s(self, handed_over_after_s: float) -> float:
        """How long the end takes where the others go on without this machine after so long."""
        took: list[float] = []

        async def scene() -> None:
            loop = asyncio.get_running_loop()
            began = loop.time()

            class Replica:
                @property
                def is_handed_over(self) -> bool:
                    return loop.time() - began >= handed_over_after_s

            runtime: Any = SimpleNamespace(replica=Replica(), resign=mock.Mock())
            await handover.hand_over(runtime, loop.time)
            runtime.resign.assert_called_once_with()
            took.append(loop.time() - began)

        self.play(scene)
        return took[0]

    def test_it_serves_on_until_it_has_handed_over(self) -> None:
        self.assertTrue(0.3 <= self.hand_over_s(0.3) < 0.5)

    def test_it_ends_where_nobody_can_go_on_without_it(self) -> None:
        within = handover.HANDOVER_TIMEOUT_S
        self.assertTrue(within <= self.hand_over_s(60.0) < within + 0.2)

    def test_its_last_messages_have_time_to_leave(self) -> None:
        """What `resign` tells the others is sent by the loop: links that were closed at once would drop it."""
        self.assertTrue(0.02 <= self.hand_over_s(0.0) < 0.2)

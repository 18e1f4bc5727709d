"""Cores of 3 to 8 machines that bear the loss of one or two: one loss upon the other, as soon as the rules allow."""

from __future__ import annotations

import unittest
from random import Random

from tests.fleet.simulation.play import finish
from tests.fleet.simulation.worlds import SIZES, Stage, form

IN_TURN = 3  # losses of one kind, one after the other
NEVER_BACK_S = 10.0


def stage_of(size: int, tolerance: int) -> Stage:
    stage = form(size * 10 + tolerance, size, tolerance, Random(size))
    stage.operate((0.05, 0.5), 0.0)
    return stage


class Sizes(unittest.TestCase):
    def in_turn(self, kind: str) -> None:
        """As many machines as are borne have this loss, the next ones as soon as the rules allow."""
        for size, tolerance in sorted(set(SIZES)):
            with self.subTest(size=size, tolerance=tolerance, kind=kind):
                stage = stage_of(size, tolerance)
                for _ in range(IN_TURN):
                    stage.through(stage.losses.lose(kind))
                finish(stage.world, stage.history, stage.operators)

    def test_replacement_upon_replacement(self) -> None:
        self.in_turn("replaced")

    def test_planned_replacement_upon_planned_replacement(self) -> None:
        self.in_turn("replaced_as_planned")

    def test_disk_upon_disk_lost(self) -> None:
        self.in_turn("wiped")

    def test_newcomer_upon_newcomer_taken_away(self) -> None:
        self.in_turn("newcomer_is_taken_away")

    def test_last_loss_right_after_a_replacement(self) -> None:
        """The machines that never return go right after the others have been replaced."""
        for size, tolerance in sorted(set(SIZES)):
            for before in ("replaced", "replaced_as_planned", "wiped", "cut"):
                with self.subTest(size=size, tolerance=tolerance, before=before):
                    stage = stage_of(size, tolerance)
                    stage.through(stage.losses.lose(before))
                    stage.losses.lose("gone")
                    stage.expect_order()
                    stage.world.run_for(NEVER_BACK_S)
                    stage.expect_order()
                    finish(stage.world, stage.history, stage.operators)


if __name__ == "__main__":
    unittest.main()

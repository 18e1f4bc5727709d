"""Operators that race: one number on one base, with the same bytes, other bytes, or bytes that differ by a space.

Their orders go to different machines at once, on both sides of a cut; orders that were given once are sent again,
after one, ten or hundreds of later ones, at any machine.
"""

from __future__ import annotations

from random import Random

from rosechute.coordination import WriteRequest
from tests.fleet.simulation.checkers import History
from tests.fleet.simulation.operators import Operator, order_of
from tests.fleet.simulation.world import World

LATER_ORDERS = (1, 10, 500)  # after which an order is sent again
MOST_AT_ONCE = 8


class Races:
    """Several operators that meet on one base again and again."""

    def __init__(self, world: World, history: History, random: Random, pause: tuple[float, float]) -> None:
        self.world = world
        self.history = history
        self.random = random
        self.pause = pause
        self.operators: list[Operator] = []
        self.stopped = False
        self._count = 0
        self._due: list[tuple[int, WriteRequest]] = []  # sequence at which an order is sent again

    def start(self) -> None:
        self.world.after(self.random.uniform(*self.pause), self._meet)

    def _meet(self) -> None:
        if self.stopped:
            return
        self.operators = [each for each in self.operators if each.busy]
        if len(self.operators) < MOST_AT_ONCE:
            self._race()
            self._send_again()
        self.world.after(self.random.uniform(*self.pause), self._meet)

    def _race(self) -> None:
        self._count += 1
        base = self.history.newest_version()
        version = base + self.random.randint(1, 2)
        first = b'{"race": %d, "number": %d}' % (self._count, version)
        bodies = (first, first, first.replace(b":", b": ", 1), first + b" ", b'{"other": %d}' % self._count)
        for _ in range(self.random.randint(1, 4)):
            order = order_of(base, version, self.random.choice(bodies))
            self._give(order)
            self._plan(order)

    def _give(self, order: WriteRequest) -> None:
        operator = Operator(self.world, f"race {self._count}", (0.0, 0.0))
        operator.stopped = True
        operator.lose_answers = self.random.choice((0.0, 0.0, 0.5))
        operator.give_order(order)
        self.operators.append(operator)

    def _plan(self, order: WriteRequest) -> None:
        if self.random.random() < 0.3:
            after = self.random.choice(LATER_ORDERS)
            self._due.append((max(self.history.line, default=0) + after, order))

    def _send_again(self) -> None:
        newest = max(self.history.line, default=0)
        due = [order for sequence, order in self._due if sequence <= newest]
        self._due = [each for each in self._due if each[0] > newest]
        for order in due:
            self._give(order)

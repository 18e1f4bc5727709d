"""What those who watch a simulated world are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosechute.coordination import CommittedConfiguration, LeadershipGained, LeadershipLost, Outcome, WriteRequest

if TYPE_CHECKING:
    from tests.fleet.simulation.machine import Machine


class Violation(AssertionError):
    """A rule is broken. `check` names it."""

    def __init__(self, check: str, text: str) -> None:
        super().__init__(f"{check}: {text}")
        self.check = check


class Observer:
    """Looks on, and does nothing."""

    def check(self, machine: Machine) -> None:
        """This machine has handled something."""

    def on_boot(self, machine: Machine) -> None:
        """A process has started."""

    def on_end(self, machine: Machine) -> None:
        """A process ends."""

    def on_request(self, machine: Machine, request: int, order: WriteRequest | None) -> None:
        """A process takes up an order, or a read."""

    def on_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        """A process answers."""

    def on_committed(self, machine: Machine, configuration: CommittedConfiguration) -> None:
        """A process knows that this configuration stays."""

    def on_lease(self, machine: Machine, action: LeadershipGained | LeadershipLost) -> None:
        """A process leads, or leads no more."""

"""A machine that is cut off gives no answer of which it can't be certain, even where a guess would be right."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from rosechute.coordination import (
    NoConfiguration,
    Outcome,
    ReadResult,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from tests.fleet.simulation.checkers import History
from tests.fleet.simulation.machine import Machine
from tests.fleet.simulation.observer import Observer, Violation
from tests.fleet.simulation.world import World

LATEST_MESSAGE_S = 1.0  # what was sent before a cut has arrived by then
CERTAIN_ANSWERS = (VersionConflict, ReadResult, NoConfiguration)


@dataclass(frozen=True)
class _Asked:
    since: float
    digest: bytes
    known: int  # sequence that the machine knew to stay


class Certainty(Observer):
    """Judges answers of machines that have been cut off since well before they were asked."""

    def __init__(self, world: World, history: History, judged: Collection[str] | None = None) -> None:
        self.world = world
        self.history = history
        self.judged = judged
        self.answers = 0  # that were judged
        self._asked: dict[int, _Asked] = {}
        world.observers.append(self)

    def on_request(self, machine: Machine, request: int, order: WriteRequest | None) -> None:
        if not self.world.network.cuts:
            return
        _, known = self.history.told.get(machine.control, (0, 0))
        self._asked[request] = _Asked(self.world.now, order.digest if order is not None else b"", known)

    def on_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        asked = self._asked.pop(request, None)
        if asked is None or (self.judged is not None and "certain" not in self.judged):
            return
        cut_before = asked.since - LATEST_MESSAGE_S
        if isinstance(outcome, WriteAcknowledged):
            if self.history.place.get(asked.digest, 0) > asked.known and self._hears_nobody(machine, cut_before):
                raise Violation("certain", f"{machine.name}: acknowledged what it can't have heard of")
        elif self._without_majority(machine, cut_before):
            self.answers += 1
            if isinstance(outcome, CERTAIN_ANSWERS):
                raise Violation("certain", f"{machine.name}: {type(outcome).__name__} without a majority")

    def _without_majority(self, machine: Machine, cut_before: float) -> bool:
        """Whether no majority could be asked and answer since then."""
        assert machine.replica is not None
        view = machine.replica.view
        open_ = sum(not self._closed(machine, each.peer_address, cut_before) for each in view.acceptors)
        return open_ < view.majority

    def _closed(self, machine: Machine, peer_address: str, cut_before: float) -> bool:
        other = self.world.by_peer(peer_address)
        if other is machine:
            return False
        if other is None:
            return True
        network = self.world.network
        return network.is_cut(machine, other, cut_before) or network.is_cut(other, machine, cut_before)

    def _hears_nobody(self, machine: Machine, cut_before: float) -> bool:
        others = [each for each in self.world.machines if each is not machine and not each.removed]
        return bool(others) and all(self.world.network.is_cut(each, machine, cut_before) for each in others)

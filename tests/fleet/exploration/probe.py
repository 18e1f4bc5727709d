"""Recovery of a state: all faults end, and a write has to be acknowledged within a limit."""

from __future__ import annotations

import hashlib

from rosechute.coordination import Outcome, Redirect, WriteAcknowledged, WriteRequest
from tests.fleet.exploration.machine import Machine
from tests.fleet.exploration.world import World
from tests.fleet.simulation.checkers import Violation

RECOVERED_WITHIN_S = 4.0
SILENCE_S = 1.0  # an operator waits for so long before it asks another machine
FIRST_REQUEST = 1000


def recover(world: World) -> float:
    """End all faults and write; return the seconds until the acknowledgement. Raises `Violation`."""
    world.outcomes.clear()  # of an earlier path
    end_troubles(world)
    began, request = world.now, FIRST_REQUEST
    target = 0
    while world.now - began < RECOVERED_WITHIN_S:
        machine = world.machines[target % len(world.machines)]
        request += 1
        outcome = _ask(world, machine, request)
        if isinstance(outcome, WriteAcknowledged):
            return world.now - began
        target = _number(world, outcome.control_address) if isinstance(outcome, Redirect) else target + 1
    raise Violation("live", f"no order was acknowledged within {RECOVERED_WITHIN_S} s of calm")


def end_troubles(world: World) -> None:
    """Links join, and every machine runs; a process that was about to end has ended, and the next one runs."""
    world.heal(keep=True)
    for machine in world.machines:
        if machine.state.removed:
            continue
        if machine.frozen:
            machine.change(frozen=False, thawed_at=world.now)
        machine.change(hung=False)
        if machine.replica is not None and machine.replica._context.is_leaving:
            machine.stop(len(machine.state.queue))
        if not machine.up:
            machine.start()


def _ask(world: World, machine: Machine, request: int) -> Outcome | None:
    if machine.state.removed:
        return None
    line = world.ledger.line
    base = world.ledger.orders[line[max(line)]].version if line else 0
    body = f"{base + 1} on {base}, {request}".encode()
    world.propose_write(machine, WriteRequest(request, base, base + 1, body, hashlib.sha256(body).digest()))
    for _ in world.calm_moments(SILENCE_S):
        if request in world.outcomes:
            break
    return world.outcomes.pop(request, None)


def _number(world: World, control_address: str) -> int:
    return next(each.number for each in world.machines if each.control == control_address)

"""Where the searches begin: clusters that were brought, in calm, to a moment at which much can go wrong.

All begin with version 1 in force in a cluster whose machine 0 is the head and the leader, and the last one the tail.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from rosechute.coordination import Timing, WriteAcknowledged, WriteRequest
from rosechute.messages.coordination_pb2 import CoreMessage
from tests.fleet.exploration.choices import call
from tests.fleet.exploration.world import Link, World

FORMED_S = 3.0
WAIT_S = 5.0  # a root's moment comes within this time
HEAD = LEADER = 0


@dataclass(frozen=True, slots=True)
class Root:
    """A beginning, with the bounds of the part that is searched every time."""

    name: str
    make: Callable[[World], None]
    calls: tuple[str, ...] = ()  # of operators, that may come on the way
    disk_lost: bool = False  # a disk was lost just before: the loss of another one need not be borne


def formed(size: int, timing: Timing | None = None, judged: Collection[str] | None = None) -> World:
    """A cluster that runs calmly, with version 1 in force."""
    world = World(size, timing, judged)
    for machine in world.machines:
        machine.start(bootstrap=True)
    world.calm(FORMED_S)
    first = WriteRequest(0, 0, 1, b"1 on 0", b"the first order's digest")
    world.propose_write(world.machines[HEAD], first)
    world.calm(0.5)
    assert world.outcomes.pop(0) == WriteAcknowledged(1)
    return world


def begin(root: Root, size: int, timing: Timing | None = None, judged: Collection[str] | None = None) -> World:
    """The world at a root."""
    world = formed(size, timing, judged)
    root.make(world)
    return world


def until(world: World, condition: Callable[[], bool]) -> None:
    """Calm time until something is so."""
    for _ in world.calm_moments(WAIT_S):
        if condition():
            return
    raise AssertionError("the moment of this root does not come")


def losing(world: World, lost: Callable[[Link, CoreMessage], bool], condition: Callable[[], bool]) -> None:
    """Calm time until something is so, in which some messages are lost."""

    def now_so() -> bool:
        for link, queue in world.links.items():
            world.links[link] = tuple(each for each in queue if not lost(link, each))
        return condition()

    until(world, now_so)


def _is(message: CoreMessage, kind: str) -> bool:
    return message.WhichOneof("body") == kind


def on_its_way(world: World, kind: str, source: int | None = None) -> bool:
    """Whether a message of this kind is on a link."""
    return any(
        _is(each, kind)
        for link, queue in world.links.items()
        if source is None or link[0] == source
        for each in queue
    )


def _tail(world: World) -> int:
    return len(world.machines) - 1


def one_order(world: World) -> None:
    """An order has come to the head."""
    call(world, world.machines[HEAD], "order-one")


def order_at_the_tail(world: World) -> None:
    """An order has passed the head and the middle, and waits at the tail's door."""
    one_order(world)
    until(world, lambda: on_its_way(world, "chain_write", _tail(world) - 1))


def order_acknowledged(world: World) -> None:
    """An order has been acknowledged; those between head and tail don't know yet."""
    one_order(world)
    until(world, lambda: bool(world.ledger.newest_acknowledged() > 1))


def _seal(world: World) -> None:
    middle = world.machines[1]
    middle.stop(0)
    middle.start()


def epoch_being_sealed(world: World) -> None:
    """A member was restarted: the leader has asked for promises."""
    _seal(world)
    until(world, lambda: on_its_way(world, "prepare"))


def epoch_sealed(world: World) -> None:
    """The leader has its promises and has asked to accept the next view."""
    _seal(world)
    until(world, lambda: on_its_way(world, "accept"))


def two_proposers(world: World) -> None:
    """The leader asks to accept its second proposal; another acceptor, which missed that one, asks for promises."""
    epoch_being_sealed(world)
    first = _newest_round(world)
    losing(world, lambda link, message: _is(message, "accept"), lambda: _newest_round(world) > first)

    def missed(link: Link, message: CoreMessage) -> bool:
        return link[0] == LEADER and link[1] != 1 and (_is(message, "prepare") or _is(message, "accept"))

    losing(world, missed, lambda: on_its_way(world, "accept", LEADER))
    world.cuts = frozenset({(LEADER, 1)})
    others = [each.number for each in world.machines[1:]]
    losing(world, missed, lambda: any(on_its_way(world, "prepare", each) for each in others))
    world.cuts = frozenset()


def _newest_round(world: World) -> int:
    """The newest ballot for which the leader's requests for promises are on their way."""
    rounds = [
        message.prepare.ballot.round
        for link, queue in world.links.items()
        for message in queue
        if link[0] == LEADER and _is(message, "prepare")
    ]
    return max(rounds, default=0)


def member_leaving(world: World) -> None:
    """The tail is told to end and says so, with an order on its way."""
    order_at_the_tail(world)
    tail = world.machines[_tail(world)]
    tail.run(lambda replica: replica.resign(tail.now()))


def sealed_with_an_order(world: World) -> None:
    """An order is on its way through the chain as the leader asks for promises: a machine asks to join."""
    world.add_machine("another").start()
    until(world, lambda: on_its_way(world, "prepare"))
    call(world, world.machines[1], "order-one")


def order_crosses_the_seal(world: World) -> None:
    """The head has stored an order and passes it on, just before it asks for promises."""
    world.add_machine("another").start()
    until(world, lambda: _beats_until_join(world))
    call(world, world.machines[HEAD], "order-one")


def _beats_until_join(world: World) -> bool:
    leader = world.machines[LEADER].replica
    assert leader is not None
    new = world.machines[-1].replica
    assert new is not None
    peer = leader._context.failure_detector.peers.get(new.identity.id)
    readmit = leader._context.timing.readmit_after_s
    return peer is not None and peer.is_healthy and leader._context.now - peer.healthy_since > readmit - 0.06


def member_wiped(world: World) -> None:
    """The tail has lost its disk and comes back: the leader has asked for promises to take it in."""
    order_acknowledged(world)
    world.machines[_tail(world)].wipe()
    world.machines[_tail(world)].start()
    until(world, lambda: on_its_way(world, "prepare"))


def member_replaced(world: World) -> None:
    """The tail is gone for good, and another machine at a new address asks to join."""
    tail = world.machines[_tail(world)]
    tail.stop(0)
    tail.change(removed=True)
    world.calm(1.5)
    world.add_machine(tail.name).start()
    until(world, lambda: on_its_way(world, "prepare"))


def leader_frozen(world: World) -> None:
    """The leader has just renewed its lease, and freezes."""
    until(world, lambda: on_its_way(world, "lease_grant"))
    world.calm(0.01)
    world.machines[LEADER].change(frozen=True)


def leader_cut_off(world: World) -> None:
    """The leader has just renewed its lease, and hears nobody any more; a moment before its lease ends."""
    until(world, lambda: on_its_way(world, "lease_grant"))
    world.calm(0.01)
    world.cut_off(world.machines[LEADER], True, True)
    world.calm(1.0)


def head_deposed(world: World) -> None:
    """The head was frozen with an order on its way out; the others have gone on without it, and it wakes."""
    call(world, world.machines[HEAD], "order-one")
    world.machines[HEAD].sync()
    world.cut_off(world.machines[HEAD], True, True)
    world.calm(2.5)
    call(world, world.machines[1], "order-two")
    world.calm(0.2)
    assert world.ledger.newest_acknowledged() == 2, "the others go on"


def another_leader(world: World) -> None:
    """The head has lost the leader lease to the next member, as its requests for the lease were lost."""
    losing(
        world,
        lambda link, message: link[0] == LEADER and _is(message, "lease_request"),
        lambda: any(each.replica and each.replica.is_leader(each.now()) for each in world.machines[1:]),
    )


def late_write(world: World) -> None:
    """A write of the head is held in its link, while head and tail are restarted and the next view is adopted."""
    another_leader(world)
    world.calm(0.3)
    one_order(world)
    world.machines[HEAD].sync()
    world.cuts = frozenset({(HEAD, 1)})
    for machine in (world.machines[HEAD], world.machines[_tail(world)]):
        machine.stop(0)
        machine.start()
    head = world.machines[HEAD]
    epoch = _epoch(world, HEAD)
    until(world, lambda: _epoch(world, HEAD) > epoch and not head.state.queue)
    world.cuts = frozenset()


def _epoch(world: World, number: int) -> int:
    replica = world.machines[number].replica
    assert replica is not None
    return replica.view.epoch


def tail_deposed(world: World) -> None:
    """The tail was cut off, and the others have gone on without it."""
    world.cut_off(world.machines[_tail(world)], True, True)
    world.calm(2.5)
    call(world, world.machines[HEAD], "order-one")
    world.calm(0.2)
    assert world.ledger.newest_acknowledged() == 2, "the others go on"


def all_restarted(world: World) -> None:
    """Every machine lost power with an order on its way, and is back; they have just heard of each other."""
    order_at_the_tail(world)
    for machine in world.machines:
        machine.stop(0)
        machine.start()
    until(world, lambda: on_its_way(world, "prepare") or on_its_way(world, "lease_request"))


ROOTS = (
    Root("one_order", one_order, ("order-two", "order-next")),
    Root("order_at_the_tail", order_at_the_tail, ("order-two", "read-one")),
    Root("order_acknowledged", order_acknowledged, ("order-one-again", "order-two", "read-one")),
    Root("epoch_being_sealed", epoch_being_sealed, ("order-one",)),
    Root("epoch_sealed", epoch_sealed, ("order-one", "order-two")),
    Root("two_proposers", two_proposers, ("order-one",)),
    Root("member_leaving", member_leaving, ("order-one-again",)),
    Root("sealed_with_an_order", sealed_with_an_order, ("order-one-again",)),
    Root("order_crosses_the_seal", order_crosses_the_seal, ("order-one-again",)),
    Root("member_wiped", member_wiped, ("order-one-again", "read-one"), disk_lost=True),
    Root("member_replaced", member_replaced, ("order-one",), disk_lost=True),
    Root("leader_frozen", leader_frozen, ("order-one",)),
    Root("leader_cut_off", leader_cut_off),
    Root("head_deposed", head_deposed, ("order-one-again", "order-two-again", "read-one")),
    Root("late_write", late_write, ("order-two",)),
    Root("tail_deposed", tail_deposed, ("read-one",)),
    Root("all_restarted", all_restarted, ("order-one-again",)),
)
BY_NAME = {each.name: each for each in ROOTS}

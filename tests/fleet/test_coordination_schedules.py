"""Forced orders of events: view and acceptors, chain, leader lease. All checkers look after every step."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from rosechute.coordination import (
    LeadershipLost,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)
from tests.fleet.simulation.cluster import Cluster, kind
from tests.fleet.simulation.world import Machine

LEADS_AGAIN_WITHIN_S = 0.8  # shorter than a leader lease
ACKNOWLEDGED_WITHIN_S = 4.0
RECOVERED_WITHIN_S = 3.0
BACK_IN_CHAIN_WITHIN_S = 2.0
ANSWERED_WITHIN_S = 0.06  # three links of 4 ms and three syncs of 8 ms, and one sync that was under way at each


def deposed_head_refuses(cluster: Cluster) -> list[object]:
    """The head is cut off and deposed; an order on a version that it never saw reaches it, then the others.

    So does one that is stale for good: even that it may not refuse while it is cut off.
    """
    cluster.settle()
    head = cluster.role("head")
    cluster.world.network.cut_off(head)
    cluster.run(3.0)
    others = [each for each in cluster.machines if each is not head]
    new_head = cluster.role("head")
    assert new_head in others
    cluster.settle()
    order = cluster.make()
    at_old = cluster.propose_write(head, order)
    stale = cluster.propose_write(head, cluster.make(0, 1))
    cluster.run(1.2)
    at_new = cluster.propose_write(new_head, order)
    cluster.run(1.0)
    return [*at_old, *at_new, *stale]


def deposed_tail_reads(cluster: Cluster) -> list[object]:
    """The tail is cut off and deposed; an order is acknowledged by the others; a read reaches the old tail."""
    cluster.settle()
    tail = cluster.role("tail")
    cluster.world.network.cut_off(tail)
    cluster.run(3.0)
    cluster.settle()
    outcomes = cluster.read(tail)
    cluster.run(1.2)
    return list(outcomes)


def grantors_restart(cluster: Cluster) -> None:
    """The leader is frozen with a fresh lease; the machines that granted it restart at once and could grant again."""
    leader = cluster.role("leader")
    cluster.run(0.2)
    leader.freeze()
    for machine in cluster.machines:
        if machine is not leader:
            machine.kill()
            machine.start()
    cluster.run(3.0)
    leader.thaw()
    cluster.run(1.0)


def grantors_restart_after_another_leader(cluster: Cluster) -> None:
    """A second machine leads, then freezes with a fresh lease; its grantors restart, and the first one is back."""
    first = cluster.role("leader")
    first.freeze()
    cluster.run(3.0)
    first.thaw()
    cluster.run(2.0)
    second = cluster.role("leader")
    second.freeze()
    for machine in cluster.machines:
        if machine is not second:
            machine.kill()
            machine.start()
    cluster.run(3.0)
    second.thaw()
    cluster.run(1.0)


def write_in_a_sealed_epoch(cluster: Cluster) -> None:
    """All promise for the next view, whose acceptance is held up; meanwhile an order reaches the head."""
    cluster.settle()
    head, order = cluster.role("head"), cluster.make()
    held = cluster.world.network.capture(lambda source, target, message: kind(message) == "accept")
    new = cluster.world.add_machine("another", "10.9.1.1")
    new.start()  # it asks for a new view, in which all others stay
    assert cluster.run_until(held.__len__)
    cluster.propose_write(head, order)
    cluster.run(0.2)
    cluster.world.network.release(held)
    cluster.run(2.0)
    again = cluster.propose_write(cluster.role("head"), order)
    outcomes = cluster.read(cluster.role("tail"))
    cluster.run(1.0)
    assert again and isinstance(outcomes[0], ReadResult)


def head_and_tail_lost_after_the_answer(cluster: Cluster) -> list[object]:
    """The operator has its answer, the members between head and tail don't know yet that the write counts."""
    cluster.settle()
    head, tail = cluster.role("head"), cluster.role("tail")
    cluster.world.network.capture(lambda source, target, message: source is tail and target is not head)
    order = cluster.make()
    outcomes = cluster.propose_write(head, order)
    assert cluster.run_until(outcomes.__len__)
    head.kill()
    tail.kill()
    cluster.world.network.intercept = None
    cluster.run(4.0)
    reads = cluster.read(cluster.role("tail"))
    again = cluster.propose_write(cluster.role("head"), order)
    cluster.run(1.0)
    return [*outcomes, *reads, *again]


def wiped_machine_returns_first(cluster: Cluster) -> list[object]:
    """One machine misses an order; of the two others one loses its disk, the other returns last."""
    tail = cluster.role("tail")
    tail.freeze()
    cluster.run(3.0)
    order = cluster.settle()
    last, wiped = cluster.role("head"), cluster.role("tail")
    for machine in cluster.machines:
        if machine is wiped:
            machine.wipe()
        else:
            machine.power_loss()
    wiped.start()
    tail.start()
    cluster.run(4.0)
    outcomes: list[object] = []
    for machine in (wiped, tail):
        outcomes += cluster.read(machine)
    cluster.run(1.2)
    last.start()
    cluster.run(4.0)
    again = cluster.propose_write(cluster.role("head"), order)
    cluster.run(1.0)
    return [*outcomes, *again]


def orders_while_a_member_returns(cluster: Cluster) -> None:
    """A member comes back while one order follows the other; each of them stays."""
    back = cluster.role("tail")
    back.freeze()
    cluster.run(3.0)
    back.thaw()
    epoch = cluster.epoch()
    for _ in range(60):
        outcomes = cluster.propose_write(cluster.role("head"), cluster.make())
        assert cluster.run_until(lambda outcomes=outcomes: outcomes or cluster.epoch() > epoch, ANSWERED_WITHIN_S)
        if cluster.epoch() > epoch:
            break
    cluster.run(1.0)
    outcomes = cluster.read(cluster.role("tail"))
    cluster.run(1.0)
    assert isinstance(outcomes[0], ReadResult)


class ViewAndAcceptors(unittest.TestCase):
    def test_two_proposers_with_half_of_the_promises_each(self) -> None:
        for seed in range(4):
            cluster = Cluster(4, seed)
            cluster.settle()
            half = set(cluster.machines[:2])

            def across(source: Machine, target: Machine, message: Any, half: set[Machine] = half) -> bool:
                return kind(message) == "promise" and (source in half) != (target in half)

            cluster.world.network.capture(across)
            tail = cluster.role("tail")
            tail.kill()
            tail.start()
            cluster.run(4.0)
            cluster.world.network.intercept = None
            self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_slow_accept_after_the_decision_of_another(self) -> None:
        for seed in range(4):
            cluster = Cluster(4, seed)
            cluster.settle()
            leader = cluster.role("leader")
            epoch = cluster.epoch()
            held = cluster.world.network.capture(
                lambda source, target, message, leader=leader: source is leader and kind(message) == "accept"
            )
            victim = next(each for each in reversed(cluster.chain()) if each is not leader)
            victim.kill()
            victim.start()
            self.assertTrue(cluster.run_until(held.__len__), "the leader proposes")
            leader.freeze()
            self.assertTrue(cluster.run_until_epoch(epoch + 1, 6.0), "another one recovers the epoch")
            cluster.world.network.release(held)
            cluster.run(0.2)
            leader.thaw()
            cluster.run(1.0)
            self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_acceptor_promises_and_loses_its_disk(self) -> None:
        cluster = Cluster(3)
        cluster.settle()
        epoch = cluster.epoch()
        tail = cluster.role("tail")
        promised = cluster.replica(tail).identity.id
        held = cluster.world.network.capture(lambda source, target, message: kind(message) == "accept")
        head = cluster.role("head")
        middle = cluster.role("middle")
        middle.kill()
        middle.start()
        self.assertTrue(cluster.run_until(lambda: held, 4.0))
        tail.wipe()
        tail.start()
        new = cluster.replica(tail).identity.id
        self.assertNotEqual(promised, new)
        answers: list[str] = []

        def listen(source: Machine, target: Machine, message: Any) -> bool:
            acting = kind(message) in {"promise", "accepted", "confirmed", "lease_grant"}
            if source is tail and acting and cluster.replica(tail).view.epoch <= epoch:
                answers.append(kind(message))
            return False

        cluster.world.network.release(held)
        cluster.world.network.intercept = listen
        cluster.run(3.0)
        self.assertEqual(answers, [])
        self.assertGreater(cluster.epoch(), epoch)
        self.assertIn(new, cluster.newest_view().chain)
        self.assertTrue(head.up)
        self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_wiped_machine_returns_before_the_last_one_that_remembers(self) -> None:
        for seed in range(3):
            *reads, again = wiped_machine_returns_first(Cluster(3, seed))
            self.assertFalse([each for each in reads if isinstance(each, ReadResult)])
            self.assertIsInstance(again, WriteAcknowledged)

    def test_orders_while_a_member_returns(self) -> None:
        for size, seed in itertools.product((3, 4), range(3)):
            orders_while_a_member_returns(Cluster(size, seed))

    def test_head_and_tail_lost_right_after_the_answer(self) -> None:
        for seed in range(3):
            first, read, again = head_and_tail_lost_after_the_answer(Cluster(5, seed))
            assert isinstance(read, ReadResult)
            self.assertEqual(first, again)

    def test_two_wiped_and_a_third_that_returns(self) -> None:
        cluster = Cluster(5)
        order = cluster.settle()
        epoch = cluster.epoch()
        wiped, down = cluster.machines[:2], cluster.machines[2]
        down.kill()
        for machine in wiped:
            machine.wipe()
            machine.start()
        cluster.run(8.0)
        self.assertEqual(cluster.epoch(), epoch, "two of five with their memory decide nothing")
        reads = [cluster.read(each) for each in cluster.machines if each.up]
        cluster.run(1.2)
        self.assertFalse([each for outcomes in reads for each in outcomes if isinstance(each, ReadResult)])
        down.start()
        cluster.run(4.0)
        self.assertEqual(cluster.propose_write(cluster.role("head"), order), [WriteAcknowledged(order.version)])
        self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_two_wiped_of_three_never_decide(self) -> None:
        cluster = Cluster(3)
        cluster.settle()
        epoch = cluster.epoch()
        for machine in cluster.machines[:2]:
            machine.wipe()
            machine.start()
        cluster.run(20.0)
        self.assertEqual(cluster.epoch(), epoch)
        outcomes = [cluster.propose_write(each, cluster.make()) for each in cluster.machines]
        cluster.run(1.2)
        for each in outcomes:
            self.assertIsInstance(each[0], OutcomeUnknown | Redirect)

    def test_power_lost_at_every_step_of_a_view_change(self) -> None:
        for step, kept in itertools.product(range(0, 48, 4), (True, False)):
            with self.subTest(milliseconds=step, kept=kept):
                cluster = Cluster(3, seed=step)
                order = cluster.settle()
                cluster.world.random.random = (lambda: 0.0) if kept else (lambda: 0.9)  # type: ignore[method-assign]
                victim = cluster.role("middle")
                victim.kill()
                victim.start()
                cluster.run(0.02 + step / 1000)
                for machine in cluster.machines:
                    if machine.up:
                        machine.power_loss()
                    machine.start()
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                self.assertIn(order.digest, cluster.history.place)

    def test_power_lost_at_every_step_of_a_write(self) -> None:
        for step, kept in itertools.product(range(0, 40, 3), (True, False)):
            with self.subTest(milliseconds=step, kept=kept):
                cluster = Cluster(3, seed=step)
                cluster.settle()
                cluster.world.random.random = (lambda: 0.0) if kept else (lambda: 0.9)  # type: ignore[method-assign]
                order = cluster.make()
                outcomes = cluster.propose_write(cluster.role("head"), order)
                cluster.run(step / 1000)
                for machine in cluster.machines:
                    machine.power_loss()
                    machine.start()
                cluster.run(2.5)
                again = cluster.propose_write(cluster.role("head"), order)
                cluster.run(0.5)
                self.assertEqual(again, [WriteAcknowledged(order.version)], outcomes)

    def test_removed_machine_that_never_heard(self) -> None:
        for role in ("head", "middle", "tail"):
            with self.subTest(role=role):
                cluster = Cluster(3)
                cluster.settle()
                lone = cluster.role(role)
                cluster.world.network.cut_off(lone)
                cluster.run(1.4)
                self.assertFalse(cluster.replica(lone).is_leader(lone.now()), "the lease ends by the steady clock")
                cluster.run(2.0)
                cluster.settle()
                orders, reads = cluster.propose_write(lone, cluster.make()), cluster.read(lone)
                cluster.run(1.2)
                self.assertIsInstance(orders[0], OutcomeUnknown | Redirect)
                self.assertIsInstance(reads[0], OutcomeUnknown | Redirect)
                fresh = cluster.replica(lone).freshness(lone.now())
                assert fresh is not None
                self.assertGreater(fresh[1], 4.0)

    def test_all_killed_and_back_in_every_order(self) -> None:
        for order in itertools.permutations(range(3)):
            with self.subTest(order=order):
                cluster = Cluster(3, seed=sum(order[:2]))
                first = cluster.settle()
                for machine in cluster.machines:
                    machine.power_loss()
                machines = [cluster.machines[each] for each in order]
                machines[0].start()
                cluster.run(2.0)
                self.assertFalse(isinstance(_only(cluster, cluster.read(machines[0])), ReadResult))
                machines[1].start()
                self.assertLessEqual(cluster.operate(), RECOVERED_WITHIN_S)
                machines[2].start()
                cluster.run(BACK_IN_CHAIN_WITHIN_S)
                self.assertEqual(len(cluster.newest_view().chain), 3)
                self.assertEqual(
                    _only(cluster, cluster.propose_write(machines[2], first)), WriteAcknowledged(first.version)
                )

    def test_killed_at_once_with_sizes(self) -> None:
        for size in (3, 4, 5, 8):
            with self.subTest(size=size):
                cluster = Cluster(size)
                cluster.settle()
                for machine in cluster.machines:
                    machine.kill()
                cluster.run(0.5)
                for machine in cluster.machines:
                    machine.start()
                self.assertLessEqual(cluster.operate(), RECOVERED_WITHIN_S)

    def test_as_many_wiped_as_borne_while_the_others_lose_power(self) -> None:
        for size in (3, 4, 5, 8):
            borne = (size - 1) // 2
            for first in range(0, size, 2):
                with self.subTest(size=size, first=first):
                    cluster = Cluster(size, seed=first)
                    order = cluster.settle()
                    wiped = [cluster.machines[(first + each) % size] for each in range(borne)]
                    for machine in cluster.machines:
                        if machine in wiped:
                            machine.wipe()
                        else:
                            machine.power_loss()
                    for machine in cluster.machines:
                        machine.start()
                    self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                    self.assertIn(order.digest, cluster.history.place)
                    cluster.run(8.0)
                    self.assertEqual(len(cluster.newest_view().chain), size)

    def test_replacement_while_another_is_frozen(self) -> None:
        for frozen_role in ("head", "middle", "tail"):
            with self.subTest(frozen=frozen_role):
                cluster = Cluster(5)
                order = cluster.settle()
                frozen = cluster.role(frozen_role)
                old = next(each for each in cluster.machines if each is not frozen)
                frozen.freeze()
                old.kill()
                old.removed = True
                cluster.run(0.3)
                new = cluster.world.add_machine(old.name, "10.9.1.1")
                new.start()
                cluster.run(5.0)
                self.assertIn(cluster.replica(new).identity.id, cluster.newest_view().chain)
                frozen.thaw()
                cluster.run(BACK_IN_CHAIN_WITHIN_S)
                self.assertEqual(len(cluster.newest_view().chain), 5)
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                self.assertIn(order.digest, cluster.history.place)

    def test_one_way_cut_does_not_change_the_view_for_ever(self) -> None:
        for size, role, outward in itertools.product((3, 4), ("head", "middle", "tail", "leader"), (True, False)):
            with self.subTest(size=size, role=role, outward=outward):
                cluster = Cluster(size)
                cluster.settle()
                epoch = cluster.epoch()
                machine = cluster.role(role)
                cluster.world.network.cut_off(machine, inward=not outward, outward=outward)
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                cluster.run(8.0)
                self.assertLessEqual(cluster.operate(0.5), 0.5)
                self.assertLessEqual(cluster.epoch() - epoch, 2)
                cluster.world.network.heal()
                cluster.run(BACK_IN_CHAIN_WITHIN_S)
                self.assertEqual(len(cluster.newest_view().chain), size)

    def test_cut_between_two_members_only(self) -> None:
        for size in (3, 4):
            for pair in itertools.combinations(range(size), 2):
                with self.subTest(size=size, pair=pair):
                    cluster = Cluster(size)
                    cluster.settle()
                    epoch = cluster.epoch()
                    one, other = (cluster.chain()[each] for each in pair)
                    cluster.world.network.cut(one, other)
                    cluster.world.network.cut(other, one)
                    cluster.run(1.0)
                    self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                    cluster.run(8.0)
                    self.assertLessEqual(cluster.operate(), 1.0)
                    self.assertLessEqual(cluster.epoch() - epoch, 6)

    def test_machine_of_another_name_at_a_new_address(self) -> None:
        for size in (3, 4):
            cluster = Cluster(size)
            order = cluster.settle()
            old = cluster.role("head")
            old.kill()
            old.removed = True
            new = cluster.world.add_machine("another", "10.9.1.1")
            new.start()
            self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
            cluster.run(3.0)
            self.assertEqual(len(cluster.newest_view().acceptors), size)
            self.assertIn(cluster.replica(new).identity.id, cluster.newest_view().chain)
            self.assertIn(order.digest, cluster.history.place)

    def test_seeds_all_exchanged_in_turn(self) -> None:
        cluster = Cluster(3)
        order = cluster.settle()
        for number, old in enumerate(list(cluster.machines)):
            old.kill()
            old.removed = True
            new = cluster.world.add_machine(f"new-{number}", f"10.9.{number}.1")
            cluster.world.seed_list = [(each.control, each.peer) for each in cluster.machines if each is not new]
            new.start()
            cluster.run(5.0)
            self.assertIn(cluster.replica(new).identity.id, cluster.newest_view().chain)
        self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
        self.assertEqual(
            _only(cluster, cluster.propose_write(cluster.role("head"), order)), WriteAcknowledged(order.version)
        )


class Chain(unittest.TestCase):
    def test_head_fails_between_middle_and_tail(self) -> None:
        cluster = Cluster(3)
        cluster.settle()
        head, middle = cluster.role("head"), cluster.role("middle")
        order = cluster.make()
        held = cluster.world.network.capture(
            lambda source, target, message: kind(message) == "chain_write" and source is middle
        )
        first = cluster.propose_write(head, order)
        self.assertTrue(cluster.run_until(lambda: held))
        head.kill()
        cluster.world.network.intercept = None
        cluster.run(3.0)
        self.assertEqual(first, [])
        self.assertEqual(
            _only(cluster, cluster.propose_write(cluster.role("head"), order)), WriteAcknowledged(order.version)
        )
        cluster.world.network.release(held)
        self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_tail_fails_between_write_and_answer(self) -> None:
        for gone in (True, False):
            with self.subTest(gone=gone):
                cluster = Cluster(3)
                cluster.settle()
                head, tail = cluster.role("head"), cluster.role("tail")
                order = cluster.make()
                cluster.world.network.cut_off(tail, inward=False)
                outcomes = cluster.propose_write(head, order)
                cluster.run(0.05)
                tail.kill()
                cluster.world.network.heal(tail)
                if not gone:
                    tail.start()
                cluster.run(3.0)
                self.assertIsInstance(outcomes[0], WriteAcknowledged | OutcomeUnknown)
                again = cluster.propose_write(cluster.role("head"), order)
                self.assertEqual(_only(cluster, again), WriteAcknowledged(order.version))

    def test_middle_fails_at_every_step(self) -> None:
        for step in range(0, 30, 3):
            with self.subTest(milliseconds=step):
                cluster = Cluster(4, seed=step)
                cluster.settle()
                head, middle = cluster.role("head"), cluster.role("middle")
                order = cluster.make()
                cluster.propose_write(head, order)
                cluster.run(step / 1000)
                middle.kill()
                cluster.run(2.5)
                again = cluster.propose_write(cluster.role("head"), order)
                self.assertEqual(_only(cluster, again), WriteAcknowledged(order.version))

    def test_reads_through_a_view_change(self) -> None:
        for role in ("head", "tail", "leader"):
            with self.subTest(role=role):
                cluster = Cluster(4)
                cluster.settle()
                reads = []
                cluster.role(role).kill()
                for _ in range(150):
                    reads += [cluster.read(each) for each in cluster.machines if each.up]
                    cluster.run(0.02)
                cluster.run(1.2)
                self.assertTrue(all(len(each) == 1 for each in reads))
                self.assertIsInstance(_only(cluster, cluster.read(cluster.role("tail"))), ReadResult)

    def test_reads_that_fail_to_be_confirmed_are_answered_in_time(self) -> None:
        cluster = Cluster(3)
        cluster.settle()
        tail, middle = cluster.role("tail"), cluster.role("middle")
        cluster.world.network.capture(lambda source, target, message: kind(message) in {"confirmed", "accept"})
        middle.kill()
        middle.start()  # its restart seals the epoch
        first = cluster.read(tail)
        cluster.run(0.7)
        self.assertTrue(cluster.replica(tail)._context.replica_state.is_sealed)
        second = cluster.read(tail)  # waits for the next view; behind it the first one, once it can't be confirmed
        cluster.run(0.35)
        self.assertEqual((first, second), ([OutcomeUnknown()], []))
        cluster.run(0.65)
        self.assertEqual(second, [OutcomeUnknown()])

    def test_same_order_again(self) -> None:
        cluster = Cluster(3)
        head = cluster.role("head")
        order = cluster.make()
        under_way = [cluster.propose_write(head, order) for _ in range(3)]
        cluster.run(0.3)
        self.assertEqual(under_way, [[WriteAcknowledged(order.version)]] * 3)
        later = cluster.settle()
        for machine in cluster.machines:
            self.assertEqual(_only(cluster, cluster.propose_write(machine, order)), WriteAcknowledged(order.version))
        head.kill()
        cluster.run(3.0)
        self.assertEqual(
            _only(cluster, cluster.propose_write(cluster.role("head"), order)), WriteAcknowledged(order.version)
        )
        head.start()
        cluster.run(2.0)
        for machine in cluster.machines:
            machine.power_loss()
            machine.start()
        cluster.run(3.0)
        for each in (order, later):
            self.assertEqual(
                _only(cluster, cluster.propose_write(cluster.role("head"), each)), WriteAcknowledged(each.version)
            )

    def test_eight_orders_on_one_base(self) -> None:
        cluster = Cluster(3)
        orders = [cluster.make(0, 1 + each) for each in range(8)]
        outcomes = [cluster.propose_write(cluster.role("head"), each) for each in orders]
        cluster.run(1.0)
        self.assertEqual(sum(isinstance(each[0], WriteAcknowledged) for each in outcomes), 1)
        self.assertEqual(sum(isinstance(each[0], VersionConflict) for each in outcomes), 7)

    def test_deposed_head_does_not_refuse(self) -> None:
        for size in (3, 4):
            outcomes = deposed_head_refuses(Cluster(size))
            self.assertIsInstance(outcomes[0], OutcomeUnknown | Redirect)
            self.assertIsInstance(outcomes[1], WriteAcknowledged)
            self.assertIsInstance(outcomes[2], OutcomeUnknown | Redirect)

    def test_deposed_tail_does_not_answer_reads(self) -> None:
        for size in (3, 4):
            outcomes = deposed_tail_reads(Cluster(size))
            self.assertIsInstance(outcomes[0], OutcomeUnknown | Redirect)

    def test_no_write_in_a_sealed_epoch(self) -> None:
        write_in_a_sealed_epoch(Cluster(3))

    def test_hung_sync(self) -> None:
        for size, role in itertools.product((3, 4, 5), ("head", "middle", "tail")):
            with self.subTest(size=size, role=role):
                cluster = Cluster(size)
                cluster.settle()
                machine = cluster.role(role)
                machine.hang_disk(True)
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                self.assertNotIn(cluster.replica(machine).identity.id, cluster.newest_view().chain)
                cluster.settle()
                machine.hang_disk(False)
                cluster.run(BACK_IN_CHAIN_WITHIN_S)
                self.assertEqual(len(cluster.newest_view().chain), size)
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_single_troubles_leave_orders_in_time(self) -> None:
        troubles = {
            "kill": Machine.kill,
            "freeze": Machine.freeze,
            "cut": lambda machine: machine.world.network.cut_off(machine),
            "full": lambda machine: setattr(machine.disk, "full", True),
            "slow": lambda machine: setattr(machine.disk, "sync_s", 1.0),
            "hang": lambda machine: machine.hang_disk(True),
        }
        for size, role, name in itertools.product((3, 4), ("head", "middle", "tail", "leader"), troubles):
            with self.subTest(size=size, role=role, trouble=name):
                cluster = Cluster(size)
                cluster.settle()
                troubles[name](cluster.role(role))
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)
                cluster.run(1.0)
                self.assertLessEqual(cluster.operate(), ACKNOWLEDGED_WITHIN_S)

    def test_orders_of_four_megabytes(self) -> None:
        cluster = Cluster(3)
        order = cluster.make()
        large = type(order)(0, order.base_version, order.version, b"x" * 4_000_000, order.digest)
        cluster.settle(large)
        cluster.role("head").kill()
        cluster.run(3.0)
        outcome = _only(cluster, cluster.read(cluster.role("tail")))
        assert isinstance(outcome, ReadResult)
        self.assertEqual(len(outcome.body), 4_000_000)


class LeaderLease(unittest.TestCase):
    def test_holder_freezes_at_every_moment(self) -> None:
        for step in range(0, 320, 20):
            with self.subTest(milliseconds=step):
                cluster = Cluster(3, seed=step)
                leader = cluster.role("leader")
                cluster.run(step / 1000)
                leader.freeze()
                cluster.run(3.5)
                other = cluster.leader()
                self.assertIsNotNone(other)
                self.assertIsNot(other, leader)
                self.assertFalse(cluster.replica(leader).is_leader(leader.now()))
                actions = cluster.replica(leader).tick(leader.now())
                self.assertIsInstance(actions[0], LeadershipLost, "before anything else")
                cluster.history.claims.discard(leader)
                leader.thaw()
                cluster.run(1.0)

    def test_renewals_answered_late(self) -> None:
        cluster = Cluster(3)
        leader = cluster.role("leader")
        held = cluster.world.network.capture(
            lambda source, target, message: target is leader and kind(message) == "lease_grant"
        )
        cluster.run(1.5)
        self.assertFalse(cluster.replica(leader).is_leader(leader.now()))
        cluster.world.network.release(held)
        cluster.run(0.01)
        holder = cluster.leader()
        self.assertIsNot(holder, leader, "a grant counts from when it was asked")
        cluster.run(3.0)
        self.assertIsNotNone(cluster.leader())

    def test_grantors_restart_after_another_leader(self) -> None:
        for size, seed in itertools.product((3, 4, 5), range(3)):
            grantors_restart_after_another_leader(Cluster(size, seed))

    def test_last_leader_leads_again_at_once_after_all_were_killed(self) -> None:
        for size, seed in itertools.product((3, 4, 5, 8), range(3)):
            cluster = Cluster(size, seed)
            cluster.settle()
            leader = cluster.role("leader")
            for machine in cluster.machines:
                machine.kill()
            for machine in cluster.machines:
                machine.start()
            self.assertTrue(cluster.run_until(cluster.leader, LEADS_AGAIN_WITHIN_S))
            self.assertIs(cluster.leader(), leader)

    def test_grantors_restart(self) -> None:
        for size, seed in itertools.product((3, 4, 5), range(3)):
            grantors_restart(Cluster(size, seed))

    def test_cut_off_holder_stops_before_another_starts(self) -> None:
        for size in (3, 4, 5):
            cluster = Cluster(size)
            leader = cluster.role("leader")
            cluster.world.network.cut_off(leader)
            cluster.run(1.25)
            self.assertFalse(cluster.replica(leader).is_leader(leader.now()))
            self.assertTrue(cluster.run_until(lambda cluster=cluster: cluster.leader() is not None, 1.0))

    def test_holder_with_a_hung_disk_gives_way(self) -> None:
        cluster = Cluster(3)
        leader = cluster.role("leader")
        leader.hang_disk(True)
        cluster.propose_write(cluster.role("head"), cluster.make())
        cluster.run(1.6)
        self.assertIsNotNone(cluster.leader())
        self.assertIsNot(cluster.leader(), leader)

    def test_all_acceptors_renew_after_a_split_vote(self) -> None:
        cluster = Cluster(3)
        for machine in cluster.machines:
            machine.kill()
            machine.start()
        third = cluster.machines[2]
        held = cluster.world.network.capture(
            lambda source, target, message: kind(message) in {"lease_request", "heartbeat"} and source is third
        )
        cluster.run_until(lambda: cluster.leader() is not None)
        cluster.world.network.release(held)
        cluster.run(3.0)
        leader = cluster.role("leader")
        self.assertEqual(cluster.replica(leader)._leader_lease.count_granting_acceptors(), 3)

    def test_planned_end_of_a_process(self) -> None:
        for size, role in itertools.product((3, 4), ("head", "middle", "tail", "leader")):
            with self.subTest(size=size, role=role):
                cluster = Cluster(size)
                machine = cluster.role(role)
                machine.run(lambda replica, machine=machine: replica.resign(machine.now()))
                gone = cluster.replica(machine).identity.id
                self.assertTrue(
                    cluster.run_until(lambda cluster=cluster, gone=gone: gone not in cluster.newest_view().chain, 0.6)
                )
                machine.kill()
                self.assertLessEqual(cluster.operate(), 1.0)
                self.assertIsNotNone(cluster.leader())
                machine.start()
                cluster.run(BACK_IN_CHAIN_WITHIN_S)
                self.assertEqual(len(cluster.newest_view().chain), size)

    def test_candidates_at_once(self) -> None:
        for size, seed in itertools.product((3, 4, 8), range(3)):
            cluster = Cluster(size, seed)
            leader = cluster.role("leader")
            leader.kill()
            self.assertTrue(cluster.run_until(lambda cluster=cluster: cluster.leader() is not None, 3.0))


def _only(cluster: Cluster, outcomes: list[Any]) -> Any:
    cluster.run(1.2)
    (outcome,) = outcomes
    return outcome


if __name__ == "__main__":
    unittest.main()

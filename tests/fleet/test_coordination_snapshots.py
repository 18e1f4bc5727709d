"""Snapshots at every write, then starts from them: what a snapshot must keep, and what is seen where it doesn't.

Each schedule holds with whole snapshots, and fails for each field that a planted fault leaves out of them.
"""

from __future__ import annotations

import math
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

from rosechute.coordination import ReadResult, WriteAcknowledged, replica_state
from rosechute.coordination.proposer import Phase
from rosechute.messages import coordination_pb2 as pb
from tests.fleet.simulation.checkers import Violation
from tests.fleet.simulation.cluster import Cluster, kind
from tests.fleet.simulation.world import Machine

EVERY_WRITE = 1.0  # share of the writes that are snapshots
SEEDS = 5
ATTEMPTS = 20  # rounds of two proposers, until both are under way as the third machine is back
LEADS_AGAIN_WITHIN_S = 0.8  # shorter than a leader lease
SURPLUS_REMOVED_S = 3.0  # a silent acceptor beyond the size that is aimed at has been removed by then


class Missed(AssertionError):
    """A schedule did not come to what it must come to."""


def require(condition: object, text: str) -> None:
    if not condition:
        raise Missed(text)


# Schedules


def taken_order_again(cluster: Cluster) -> None:
    """Two orders are taken, all processes are killed and started, and the first order is sent again."""
    first = cluster.settle()
    cluster.settle()
    cluster.restart(cluster.machines)
    cluster.run(3.0)
    again = cluster.propose_write(cluster.role("head"), first)
    cluster.run(1.2)
    require(again == [WriteAcknowledged(first.version)], f"the repeated order got {again}")


def all_restarted(cluster: Cluster) -> None:
    """Two orders are taken, all processes are killed and started, and the operator goes on."""
    cluster.settle()
    cluster.settle()
    cluster.restart(cluster.machines)
    cluster.run(2.0)
    _read_everywhere(cluster)  # before an order: one on a version that a machine doesn't know waits for it
    cluster.operate()
    _read_everywhere(cluster)


def _read_everywhere(cluster: Cluster) -> None:
    reads = [cluster.read(each) for each in cluster.machines]
    cluster.run(1.2)
    require(any(isinstance(each, ReadResult) for outcomes in reads for each in outcomes), "nothing was read")


def only_middle_members_are_left(cluster: Cluster) -> None:
    """The operator has its answer, the members between head and tail don't know yet that the write counts.

    Head and tail don't return; the others are killed and started.
    """
    cluster.settle()
    head, tail = cluster.role("head"), cluster.role("tail")
    cluster.world.network.capture(lambda source, target, message: source is tail and target is not head)
    order = cluster.make()
    outcomes = cluster.propose_write(head, order)
    require(cluster.run_until(outcomes.__len__), "the order was not acknowledged")
    head.kill()
    tail.kill()
    cluster.restart(each for each in cluster.machines if each not in (head, tail))
    cluster.world.network.intercept = None
    cluster.run(4.0)
    cluster.read(cluster.role("tail"))
    cluster.propose_write(cluster.role("head"), order)
    cluster.run(1.0)


def sealed_epoch(cluster: Cluster) -> Machine:
    """The leader has sealed the epoch, and no promise reaches it. The leader."""
    cluster.settle()
    leader = cluster.role("leader")
    held = cluster.world.network.capture(lambda source, target, message: kind(message) == "promise")
    new = cluster.world.add_machine("another", "10.9.1.1")
    new.start()  # it asks for a new view
    require(cluster.run_until(lambda: len(held) >= 2), "all promise")
    new.kill()
    new.removed = True
    return leader


def restart_without_proposals(cluster: Cluster, machine: Machine) -> None:
    cluster.restart([machine])
    cluster.replica(machine)._membership.proposer.next_attempt_at = math.inf


def two_proposers_share_an_acceptor(cluster: Cluster) -> None:
    """Two machines that don't reach each other propose; the third promises both, then is killed and started.

    The accept of the lower ballot reaches it after that, then the one of the higher ballot.
    """
    shared = sealed_epoch(cluster)
    one, other = (each for each in cluster.machines if each is not shared)
    cluster.world.network.cut(one, other)
    cluster.world.network.cut(other, one)
    held: dict[Machine, Any] = {}

    def take(source: Machine, target: Machine, message: Any) -> bool:
        if kind(message) == "accept" and target is shared:
            held[source] = message
        return kind(message) == "accept"

    cluster.world.network.intercept = take
    restart_without_proposals(cluster, shared)
    for _ in range(ATTEMPTS):
        cluster.run_until(lambda: accepting(cluster, one) and accepting(cluster, other))
        restart_without_proposals(cluster, shared)
        cluster.run_until(lambda: {one, other} <= reached_by(cluster, shared), 0.4)
        if accepting(cluster, one) and accepting(cluster, other) and {one, other} <= reached_by(cluster, shared):
            break
    else:
        raise Missed("both propose, and the third machine is back")
    cluster.world.network.intercept = lambda source, target, message: kind(message) not in {"heartbeat", "accepted"}
    for source in sorted((one, other), key=lambda each: _ballot(held[each])):
        cluster.world.after(0.001, cluster.world.network._deliver, shared, shared.boots, held[source])
        cluster.run(0.03)
    cluster.world.network.intercept = None
    cluster.world.network.heal()
    cluster.replica(shared)._membership.proposer.next_attempt_at = 0.0
    cluster.operate()


def accepting(cluster: Cluster, machine: Machine) -> bool:
    return cluster.replica(machine)._membership.proposer.phase is Phase.ACCEPTING


def reached_by(cluster: Cluster, machine: Machine) -> set[Machine]:
    reached = cluster.replica(machine)._context.failure_detector.reachable_ids(machine.now())
    return {each for each in cluster.machines if cluster.replica(each).identity.id in reached}


def _ballot(accept: Any) -> tuple[int, str]:
    ballot = accept.accept.proposal.ballot
    return ballot.round, ballot.proposer


def decided_view_known_to_its_proposer_only(cluster: Cluster) -> None:
    """The leader decides a view with one other acceptor and is lost; that acceptor is killed and started."""
    cluster.settle()
    leader = cluster.role("leader")
    third = next(each for each in reversed(cluster.chain()) if each is not leader)
    second = next(each for each in cluster.machines if each not in (leader, third))
    epoch = cluster.epoch()

    def take(source: Machine, target: Machine, message: Any) -> bool:
        late = kind(message) in {"chosen", "decided"} or (kind(message) == "accept" and target is third)
        return late and source is leader

    cluster.world.network.intercept = take
    cluster.restart([third])
    require(
        cluster.run_until(lambda: cluster.replica(leader).view.epoch > epoch, 2.0), "the leader decides the next view"
    )
    leader.kill()
    cluster.world.network.intercept = None
    cluster.restart([second])
    cluster.operate(6.0)
    leader.start()
    cluster.run(3.0)


def leader_again_at_once(cluster: Cluster) -> None:
    """All processes are killed and started: the last leader need not wait for the end of its lease."""
    cluster.settle()
    leader = cluster.role("leader")
    cluster.restart(cluster.machines)
    require(cluster.run_until(cluster.leader, LEADS_AGAIN_WITHIN_S), "nobody leads")
    require(cluster.leader() is leader, "another machine leads")


def newcomer_restarted_before_it_joins(cluster: Cluster) -> None:
    """A machine that started with the system is cut off, killed and started before it is an acceptor."""
    late = cluster.world.add_machine("late", "10.0.9.1")
    cluster.world.network.cut_off(late)
    late.start(bootstrap=True)
    cluster.run(0.5)
    cluster.restart([late])
    cluster.run(0.5)
    cluster.world.network.heal()
    cluster.run(4.0)
    view = cluster.newest_view()
    require(
        view.target_size == len(view.acceptors) == len(cluster.machines), f"the core did not grow: {view.target_size}"
    )


def member_silent_after_a_restart(cluster: Cluster) -> None:
    """All processes are killed and started; one that falls silent later stays an acceptor."""
    cluster.settle()
    cluster.restart(cluster.machines)
    cluster.run(3.0)
    cluster.role("middle").kill()
    cluster.run(SURPLUS_REMOVED_S)
    acceptors = cluster.newest_view().acceptors
    require(len(acceptors) == len(cluster.machines), f"{len(acceptors)} acceptors are left")


# Planted faults


@dataclass(frozen=True)
class Lost:
    """A field that snapshots leave out, the schedule that shows it, and who objects."""

    clear: Callable[[pb.SnapshotRecord], None]
    schedule: Callable[[Cluster], object]
    size: int
    check: str  # of a Violation; empty where the schedule itself misses its end


def clear(*path: str) -> Callable[[pb.SnapshotRecord], None]:
    """Leave out the field at this path."""

    def call(whole: pb.SnapshotRecord) -> None:
        at: Any = whole
        for name in path[:-1]:
            at = getattr(at, name)
        at.ClearField(path[-1])

    return call


LOST = {
    "machine": Lost(clear("machine"), all_restarted, 3, ""),
    "identity": Lost(clear("machine", "machine", "id"), all_restarted, 3, ""),
    "newcomer": Lost(clear("machine", "newcomer"), newcomer_restarted_before_it_joins, 3, ""),
    "view": Lost(clear("view"), all_restarted, 3, ""),
    "epoch": Lost(clear("view", "epoch"), all_restarted, 3, ""),
    "acceptors": Lost(clear("view", "acceptors"), all_restarted, 3, ""),
    "chain": Lost(clear("view", "chain"), all_restarted, 3, "view"),
    "size": Lost(clear("view", "size"), member_silent_after_a_restart, 3, ""),
    "committed": Lost(clear("committed"), all_restarted, 3, "read"),
    "taken orders": Lost(clear("committed", "taken"), taken_order_again, 3, "refused"),
    "written": Lost(clear("written"), only_middle_members_are_left, 5, "read"),
    "promised": Lost(clear("promised"), two_proposers_share_an_acceptor, 3, "view"),
    "accepted": Lost(clear("accepted"), decided_view_known_to_its_proposer_only, 3, "view"),
    "term": Lost(clear("term"), all_restarted, 3, "term"),
    "grantee": Lost(clear("grantee"), leader_again_at_once, 3, ""),
}


class Snapshots(unittest.TestCase):
    def test_schedules_hold_with_whole_snapshots(self) -> None:
        for schedule, size in sorted({(each.schedule, each.size) for each in LOST.values()}, key=str):
            for seed in range(SEEDS):
                with self.subTest(schedule=schedule.__name__, seed=seed):
                    cluster = Cluster(size, seed, compaction=EVERY_WRITE)
                    schedule(cluster)
                    self.assertGreater(sum(each.disk.snapshots for each in cluster.machines), 0)

    def test_each_lost_field_is_found(self) -> None:
        for name, lost in LOST.items():
            with self.subTest(field=name):
                self._found(lost)

    def _found(self, lost: Lost) -> None:
        right = replica_state.ReplicaState.snapshot_record

        def whole(known: replica_state.ReplicaState) -> pb.Record:
            record = right(known)
            lost.clear(record.snapshot)
            return record

        judged = {lost.check}
        with (
            mock.patch.object(replica_state.ReplicaState, "snapshot_record", whole),
            self.assertRaises(AssertionError) as caught,
        ):
            for seed in range(SEEDS):
                lost.schedule(Cluster(lost.size, seed, judged, EVERY_WRITE))
        found = caught.exception.check if isinstance(caught.exception, Violation) else ""
        self.assertEqual(found, lost.check, caught.exception)


if __name__ == "__main__":
    unittest.main()

"""Planted faults for the checks of the kinds of worlds: cut-off machines, proper orders, members, disks."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable, Collection
from typing import Any
from unittest import mock

from rosechute.coordination import VersionConflict, chain, epoch_confirmer, membership, planning
from rosechute.coordination.failure_detector import FailureDetector
from rosechute.storage.record_store import RecordStore
from tests.fleet.simulated_disk import SimulatedDirectory
from tests.fleet.simulation.checkers import Violation
from tests.fleet.simulation.cluster import Cluster
from tests.fleet.simulation.play import play
from tests.fleet.simulation.worlds import Kind, play_world
from tests.fleet.test_coordination_schedules import deposed_tail_reads

SEEDS = 60


def acknowledged_behind_a_cut(cluster: Cluster) -> None:
    """The head hears nobody, and an order reaches it."""
    cluster.settle()
    head = cluster.role("head")
    cluster.world.network.cut_off(head, outward=False)
    cluster.run(1.5)
    cluster.propose_write(head, cluster.make())
    cluster.run(1.5)


def stale_order_behind_a_cut(cluster: Cluster) -> None:
    """The head is cut off and deposed; an order on an old version reaches it."""
    base = cluster.settle().version
    cluster.settle()
    head = cluster.role("head")
    cluster.world.network.cut_off(head)
    cluster.run(3.0)
    cluster.propose_write(head, cluster.make(base, base + 1))
    cluster.run(1.5)


class PlantedInWorlds(unittest.TestCase):
    def plant(self, target: Any, name: str, value: Any) -> None:
        patch = mock.patch.object(target, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    def objects(self, checks: Collection[str], worlds: Kind, first: int = 0) -> None:
        """Some seed of this kind of worlds makes one of these checks object; the others don't count here."""
        for seed in range(first, first + SEEDS):
            try:
                play_world(seed, worlds, judged=checks)
            except Violation as violation:
                if violation.check in checks:
                    return
        self.fail(f"no check objected in {SEEDS} seeds")

    def objects_to(self, check: str, schedule: Callable[[Cluster], object]) -> None:
        with self.assertRaises(Violation) as caught:
            for seed in range(5):
                schedule(Cluster(3, seed, {check}))
        self.assertEqual(caught.exception.check, check)

    # Answers of machines that are cut off

    def test_refusal_without_a_majority(self) -> None:
        self.plant(epoch_confirmer.EpochConfirmer, "confirm_epoch", lambda self, done, since: done(is_confirmed=True))
        self.plant(chain.Chain, "_is_partitioned", lambda self: False)
        self.objects_to("certain", stale_order_behind_a_cut)

    def test_read_without_a_majority(self) -> None:
        self.plant(epoch_confirmer.EpochConfirmer, "confirm_epoch", lambda self, done, since: done(is_confirmed=True))
        self.plant(chain.Chain, "_is_partitioned", lambda self: False)
        self.objects_to("certain", deposed_tail_reads)

    def test_acknowledgement_of_a_head_that_hears_nobody(self) -> None:
        right = chain.Chain._on_stored

        def stored(self: chain.Chain, epoch: int, sequence: int) -> None:
            right(self, epoch, sequence)
            self.on_committed(epoch, sequence)

        self.plant(chain.Chain, "_on_stored", stored)
        self.plant(chain.Chain, "_is_partitioned", lambda self: False)
        self.objects_to("certain", acknowledged_behind_a_cut)

    def test_schedules_hold_without_a_fault(self) -> None:
        for seed in range(5):
            acknowledged_behind_a_cut(Cluster(3, seed))
            stale_order_behind_a_cut(Cluster(3, seed))

    # Proper orders

    def test_proper_order_refused(self) -> None:
        def start(self: chain.Chain, pending: chain.PendingWrite) -> None:
            self._reply(pending, VersionConflict(self._context.replica_state.committed.version))

        self.plant(chain.Chain, "_start_write", start)
        self.objects({"proper"}, Kind.SHORT)

    # Members after a loss

    def test_empty_machine_does_not_join(self) -> None:
        self.plant(planning, "_join", lambda view, joiner, situation: None)
        self.objects({"joined"}, Kind.PACED)

    def test_surplus_acceptor_stays(self) -> None:
        right = planning._change_acceptors

        def change(view: Any, situation: Any) -> Any:
            changed = right(view, situation)
            return None if changed is not None and len(changed.acceptors) < len(view.acceptors) else changed

        self.plant(planning, "_change_acceptors", change)
        self.objects({"surplus"}, Kind.PACED)

    def test_returned_machine_does_not_catch_up(self) -> None:
        self.plant(FailureDetector, "is_readmittable", lambda self, now, machine_id: False)
        self.plant(membership.Membership, "fetch_if_behind", lambda self, sender, beat: None)
        self.objects({"behind"}, Kind.PACED)

    def test_running_process_taken_for_an_ended_one_for_ever(self) -> None:
        right = FailureDetector.on_heartbeat

        def on_heartbeat(self: FailureDetector, now: float, identity: Any, incarnation: int, heartbeat: Any) -> Any:
            peer = self.peers.get(identity.id)
            if peer is not None and incarnation in peer.past_incarnations:
                return peer
            return right(self, now, identity, incarnation, heartbeat)

        self.plant(FailureDetector, "on_heartbeat", on_heartbeat)
        self.objects({"joined", "behind", "surplus"}, Kind.RACES, first=36)

    def test_no_order_after_a_loss(self) -> None:
        self.plant(membership, "next_view_if_needed", lambda view, situation: None)
        self.objects({"live"}, Kind.PACED)

    # Disks

    def test_syncs_do_nothing(self) -> None:
        self.plant(SimulatedDirectory, "sync", lambda self, name: None)
        self.objects({"disk"}, Kind.DISKS)

    def test_snapshot_is_not_synced(self) -> None:
        right = SimulatedDirectory.sync

        def sync(self: SimulatedDirectory, name: str) -> None:
            if not name.endswith(".slot"):
                right(self, name)

        self.plant(SimulatedDirectory, "sync", sync)
        self.objects({"disk"}, Kind.DISKS)

    def test_log_goes_on_behind_a_write_that_failed(self) -> None:
        self.plant(RecordStore, "can_append", property(lambda self: True))
        right = RecordStore.append

        def append(self: RecordStore, batches: Any) -> Any:
            self._can_append = True
            return right(self, batches)

        self.plant(RecordStore, "append", append)
        self.objects({"disk"}, Kind.DISKS)

    def test_snapshot_over_the_slot_that_counts(self) -> None:
        right = RecordStore.write_snapshot

        def write_snapshot(self: RecordStore, records: Any) -> Any:
            self._current_slot = 1 - self._current_slot
            return right(self, records)

        self.plant(RecordStore, "write_snapshot", write_snapshot)
        self.objects({"disk"}, Kind.DISKS)


class TimeOfDay(unittest.TestCase):
    def test_steps_of_the_time_of_day_change_nothing(self) -> None:
        """Nothing that decides reads it: a world is the same under a time of day that steps by hours."""
        steps = iter(range(0, 10**9, 7200))
        for seed in range(3):
            with self.subTest(seed=seed):
                right = play(seed)
                with mock.patch.object(time, "time", lambda: float(next(steps) % 86_400)):
                    stepping = play(seed)
                self.assertEqual(right, stepping)


if __name__ == "__main__":
    unittest.main()

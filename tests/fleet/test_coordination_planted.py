"""Planted faults: each checker is shown to fail on the fault that it is there for.

Each plants one fault into otherwise right code and plays seeds, or a schedule, until the named checks object. The
same seeds and schedules hold without the fault (`test_coordination_random.py`, `test_coordination_schedules.py`).
"""

from __future__ import annotations

import unittest
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Any
from unittest import mock

from rosechute.coordination import (
    Replica,
    ReplicaConfig,
    acceptor,
    chain,
    commit_notifier,
    context,
    epoch_confirmer,
    freshness,
    leader_lease,
    lease_grantor,
    membership,
    proposer,
    replica_state,
    views,
)
from rosechute.coordination import replica as replica_module
from tests.fleet.simulation.checkers import Violation
from tests.fleet.simulation.cluster import Cluster
from tests.fleet.simulation.play import play
from tests.fleet.simulation.world import Machine, World
from tests.fleet.test_coordination_schedules import (
    deposed_head_refuses,
    deposed_tail_reads,
    grantors_restart,
    grantors_restart_after_another_leader,
    head_and_tail_lost_after_the_answer,
    wiped_machine_returns_first,
    write_in_a_sealed_epoch,
)

SEEDS = 60


class Planted(unittest.TestCase):
    def objects(
        self,
        checks: Collection[str],
        only: Collection[str],
        change: Callable[[World], None] | None = None,
        troubles: int = 4,
    ) -> None:
        """Some seed makes one of these checks object; the others don't count here."""
        for seed in range(SEEDS):
            try:
                play(seed, change, troubles, only, sizes=(3,), judged=checks)
            except Violation as violation:
                if violation.check in checks:
                    return
        self.fail(f"no check objected in {SEEDS} seeds")

    def objects_to(
        self,
        check: str,
        schedule: Callable[[Cluster], object],
        change: Callable[[Cluster], None] | None = None,
        size: int = 3,
    ) -> None:
        """A schedule makes this check object."""
        with self.assertRaises(Violation) as caught:
            for seed in range(5):
                cluster = Cluster(size, seed, {check})
                if change is not None:
                    change(cluster)
                schedule(cluster)
        self.assertEqual(caught.exception.check, check)

    def plant(self, target: Any, name: str, value: Any) -> None:
        patch = mock.patch.object(target, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    def test_sync_skipped(self) -> None:
        def change(world: World) -> None:
            world.skip_sync = True
            for machine in world.machines:
                machine.disk.sync_s = 1.0

        self.objects({"lost", "line", "read"}, {"power_loss_all"}, change)

    def test_wiped_machine_votes_as_before(self) -> None:
        def change(cluster: Cluster) -> None:
            def make(config: ReplicaConfig, saved: list[bytes], *rest: Any) -> Replica:
                return Replica(replace(config, bootstrap=not saved), saved, *rest)

            cluster.world.make_replica = make

        self.objects_to("read", wiped_machine_returns_first, change)

    def test_reads_of_a_deposed_tail(self) -> None:
        self.plant(epoch_confirmer.EpochConfirmer, "confirm_epoch", lambda self, done, since: done(is_confirmed=True))
        self.plant(chain.Chain, "_is_partitioned", lambda self: False)
        self.objects_to("read", deposed_tail_reads)

    def test_refusals_of_a_deposed_head(self) -> None:
        self.plant(epoch_confirmer.EpochConfirmer, "confirm_epoch", lambda self, done, since: done(is_confirmed=True))
        self.plant(chain.Chain, "_is_partitioned", lambda self: False)
        self.plant(chain.Chain, "_awaits_predecessor", lambda self, order: False)
        self.objects_to("refused", deposed_head_refuses)

    def test_sealed_acceptor_goes_on(self) -> None:
        self.plant(context.Context, "is_epoch_adopted", property(lambda self: True))
        self.objects_to("read", write_in_a_sealed_epoch)

    def test_proposal_from_an_old_state(self) -> None:
        self.plant(acceptor.Acceptor, "_send_promise", _without_written(acceptor.Acceptor._send_promise))
        self.plant(proposer.Proposer, "begin", _without_written(proposer.Proposer.begin))
        self.objects_to("read", head_and_tail_lost_after_the_answer, size=5)

    def test_promise_forgotten(self) -> None:
        self.plant(
            replica_state.ReplicaState, "_apply_accepted", lambda self, proposal: setattr(self, "accepted", None)
        )
        self.plant(
            replica_state.ReplicaState,
            "_apply_promise",
            lambda self, epoch, ballot: setattr(self, "promised", ballot),
        )
        self.objects({"view", "live"}, {"freeze_some", "cut_in_two", "bad_links", "kill_some"}, troubles=8)

    def test_grants_right_after_a_restart(self) -> None:
        right = lease_grantor.LeaseGrantor._may_grant

        def may_grant(self: lease_grantor.LeaseGrantor, *arguments: Any) -> bool:
            self.abstain_until = 0.0
            return right(self, *arguments)

        self.plant(lease_grantor.LeaseGrantor, "_may_grant", may_grant)
        self.plant(lease_grantor.LeaseGrantor, "is_free", lambda self: self.context.now >= self.granted_until)
        self.objects_to("lease", grantors_restart)

    def test_change_of_the_grantee_not_noted(self) -> None:
        right = replica_state.ReplicaState._apply_grantee

        def first_only(self: replica_state.ReplicaState, record: Any) -> None:
            if not self.grantee:
                right(self, record)

        self.plant(replica_state.ReplicaState, "_apply_grantee", first_only)
        self.objects_to("lease", grantors_restart_after_another_leader)

    def test_lease_by_a_clock_that_steps(self) -> None:
        class Stepping(Machine):
            def thaw(self) -> None:
                if self.frozen:
                    self.clock_step -= 3.0
                super().thaw()

        def change(world: World) -> None:
            for machine in world.machines:
                machine.__class__ = Stepping

        self.plant(
            leader_lease.LeaderLease,
            "is_held",
            lambda self, now: self.role is leader_lease.LeaseRole.LEADER and now < self.valid_until,
        )
        self.objects({"lease"}, {"freeze_one"}, change)

    def test_term_used_twice(self) -> None:
        self.plant(
            leader_lease.LeaderLease,
            "_become_candidate",
            _same_term(leader_lease.LeaderLease._become_candidate),
        )
        self.plant(lease_grantor.LeaseGrantor, "_may_grant", _any_term(lease_grantor.LeaseGrantor._may_grant))
        self.objects({"term"}, {"kill_one", "freeze_one"})

    def test_written_counts_before_it_is_synced(self) -> None:
        right = chain.Chain._store

        def store(self: chain.Chain, write: Any) -> None:
            right(self, write)
            self._on_stored(write.epoch, write.sequence)

        def change(world: World) -> None:
            for machine in world.machines:
                machine.disk.sync_s = 0.3

        self.plant(chain.Chain, "_store", store)
        self.objects({"lost", "line", "read"}, {"power_loss_all"}, change)

    def test_head_does_not_wait_for_the_tail(self) -> None:
        right = chain.Chain._on_stored

        def stored(self: chain.Chain, epoch: int, sequence: int) -> None:
            right(self, epoch, sequence)
            self.on_committed(epoch, sequence)

        self.plant(chain.Chain, "_on_stored", stored)
        self.objects({"lost", "line", "read", "back", "fresh"}, {"freeze_one", "cut_one", "kill_one"}, troubles=8)

    def test_taken_orders_forgotten(self) -> None:
        self.plant(replica_module.RegisterState, "applied_version", lambda self, digest: None)
        self.objects({"refused"}, {"kill_one"})

    def test_order_taken_twice(self) -> None:
        right = chain.Chain._start_next_write

        def following(self: chain.Chain) -> None:
            for pending in self._queue:
                object.__setattr__(pending.write, "base_version", self._context.replica_state.committed.version)
                object.__setattr__(pending.write, "version", self._context.replica_state.committed.version + 1)
            right(self)

        self.plant(replica_module.RegisterState, "applied_version", lambda self, digest: None)
        self.plant(chain.Chain, "_start_next_write", following)
        self.objects({"twice", "line", "refused"}, {"kill_one"})

    def test_freshness_without_a_majority(self) -> None:
        right = freshness.Freshness.update

        def update(self: freshness.Freshness) -> None:
            with mock.patch.object(type(self.context.replica_state.view), "majority", 1):
                right(self)

        self.plant(freshness.Freshness, "update", update)
        self.objects({"fresh"}, {"cut_one", "freeze_one", "cut_one_way", "cut_in_two"}, troubles=8)

    def test_committed_goes_back(self) -> None:
        right = commit_notifier.CommitNotifier.notify

        def notify(self: commit_notifier.CommitNotifier) -> None:
            self.last_sequence = 0
            right(self)

        self.plant(commit_notifier.CommitNotifier, "notify", notify)
        self.objects({"back"}, {"kill_one"})

    def test_order_without_an_answer(self) -> None:
        self.plant(chain.Chain, "_time_out_requests", lambda self, pending: None)
        self.objects({"answer"}, {"freeze_some", "cut_in_two", "kill_some"}, troubles=8)

    def test_no_view_is_proposed(self) -> None:
        self.plant(membership, "next_view_if_needed", lambda view, situation: None)
        self.objects({"live"}, {"kill_one", "replace"})


def _same_term(right: Callable[[leader_lease.LeaderLease], None]) -> Callable[[leader_lease.LeaderLease], None]:
    def become_candidate(self: leader_lease.LeaderLease) -> None:
        right(self)
        self.term = 7

    return become_candidate


def _any_term(right: Callable[..., bool]) -> Callable[..., bool]:
    def may_grant(self: lease_grantor.LeaseGrantor, *arguments: Any) -> bool:
        self.context.replica_state.term = views.LeaderTerm()
        return right(self, *arguments)

    return may_grant


def _without_written(right: Callable[..., None]) -> Callable[..., None]:
    """The newest write is left out where the machine doesn't know yet that it counts."""

    def call(self: Any, *arguments: Any) -> None:
        known = self._context.replica_state
        written, known.uncommitted = known.uncommitted, None
        right(self, *arguments)
        known.uncommitted = written

    return call

"""Faults planted in the distribution: for each checker of the simulated deployments, one that it must find."""

from __future__ import annotations

import math
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from rosechute.control_plane import endpoint_list_reader, quota_allocator, quota_policy, token_bucket
from rosechute.distribution import catch_up, confirmation, home_subscriptions, membership, store, values
from rosechute.distribution.endpoint_lists import EndpointLists
from rosechute.distribution.store import UpdateResult
from tests.fleet.distribution_checkers import Checkers
from tests.fleet.distribution_days import play as play_day
from tests.fleet.distribution_machines import ScriptedReplica
from tests.fleet.distribution_timeline import InvariantViolationError
from tests.fleet.distribution_world import World, setUpModule, tearDownModule  # noqa: F401
from tests.fleet.test_distribution_clusters import (
    calm,
    home_of,
    random_day,
    reading_under_way_while_another_machine_leads,
)
from tests.fleet.test_distribution_days import cut_off_with_the_leader, leaders_in_turn

SEEDS = range(100, 112)


class PlantedTest(unittest.TestCase):
    def found(self, play: Callable[[], object], what: str) -> None:
        with self.assertRaisesRegex(InvariantViolationError, what):
            play()

    def found_on_some_day(self, what: str, day: Callable[[int], object] = random_day) -> None:
        found = []
        for seed in SEEDS:
            try:
                day(seed)
            except InvariantViolationError as broken:
                found.append(str(broken))
                if what in found[-1]:
                    return
        self.fail(f"no day shows {what!r}; shown: {found}")

    def test_confirmed_as_of_when_the_answer_came(self) -> None:
        def on_answer(self: confirmation.Confirmation, sent_at: float, sequence: int, age_s: float) -> None:
            self.confirmed_at = max(self.confirmed_at, sent_at)

        with mock.patch.object(confirmation.Confirmation, "on_answer", on_answer):
            self.found_on_some_day("confirmed after a newer acknowledgement")

    def test_confirmed_whatever_is_applied(self) -> None:
        def on_answer(self: confirmation.Confirmation, sent_at: float, sequence: int, age_s: float) -> None:
            self.confirmed_at = max(self.confirmed_at, sent_at - age_s)

        with mock.patch.object(confirmation.Confirmation, "on_answer", on_answer):
            self.found_on_some_day("confirmed after a newer acknowledgement")

    def test_an_older_configuration_is_applied(self) -> None:
        def apply_configuration(self: store.TopicStore, update: object) -> UpdateResult:
            decoded = values.decode_configuration(update)  # type: ignore[arg-type]
            assert decoded is not None
            self._values[decoded.topic] = decoded
            return UpdateResult.APPLIED

        with mock.patch.object(store.TopicStore, "apply_configuration", apply_configuration):
            self.found_on_some_day("configuration back")

    def test_an_older_list_is_applied(self) -> None:
        original = store.TopicStore.apply_list

        def apply_list(self: store.TopicStore, update: object, now: float) -> UpdateResult:
            self._values.pop(f"list/{update.position.service}", None)  # type: ignore[attr-defined]
            return original(self, update, now)  # type: ignore[arg-type]

        with mock.patch.object(store.TopicStore, "apply_list", apply_list):
            self.found_on_some_day("list of")

    def test_deltas_are_applied_whatever_their_base(self) -> None:
        """Lists lose servers that a missed change had brought."""
        original = store.TopicStore.apply_list

        def apply_list(self: store.TopicStore, update: object, now: float) -> UpdateResult:
            old = self.service_list(update.position.service)  # type: ignore[attr-defined]
            if old is not None and not update.whole:  # type: ignore[attr-defined]
                update.base_revision = old.position.revision  # type: ignore[attr-defined]
            return original(self, update, now)  # type: ignore[arg-type]

        def play() -> None:
            world = calm(World(seed=1, edges=9, loss=0.1))
            for _ in range(60):
                world.change_list()
                world.run(0.5)

        play()
        with mock.patch.object(store.TopicStore, "apply_list", apply_list):
            self.found(play, "holds")

    def test_a_dead_home_is_waited_for(self) -> None:
        """Nobody fetches and nobody leaves a failing home."""

        def play() -> None:
            world = calm(World(seed=10, edges=9))
            world.kill(home_of(world, "config", 0))
            world.commit()
            world.run(8.0)

        def wait_for_ever(
            self: home_subscriptions.HomeSubscriptions, now: float, subscription: home_subscriptions._Subscription
        ) -> None:
            subscription.due_at = math.inf

        play()
        with (
            mock.patch.object(catch_up.CatchUp, "on_newer_position", lambda self, *told: None),
            mock.patch.object(home_subscriptions.HomeSubscriptions, "_to_direct", wait_for_ever),
            mock.patch.object(Checkers, "_check_fresh", lambda self, process: None),  # it would find it first
        ):
            self.found(play, "in force")

    def test_renewals_stop(self) -> None:
        def play() -> None:
            calm(World(seed=1))

        with mock.patch("rosechute.distribution.leader_search.RENEW_INTERVAL_S", 5.0):
            self.found(play, "confirmed long ago|in force")

    def test_the_list_is_pushed_only_once(self) -> None:
        original = EndpointLists._apply_service

        def apply_service(self: EndpointLists, now: float, service: str, servers: list[object]) -> bool:
            if self._store.service_list(service) is not None:
                return False
            return original(self, now, service, servers)  # type: ignore[arg-type]

        def play() -> None:
            world = calm(World(seed=1))
            world.change_list()
            world.run(3.0)

        play()
        with mock.patch.object(EndpointLists, "_apply_service", apply_service):
            self.found(play, "is behind")

    def test_a_reading_counts_for_a_later_term(self) -> None:
        original = endpoint_list_reader.EndpointListReader.__init__

        def initialise(self: Any, fetch: Any, rate: Any, held_term: Any, *rest: Any) -> None:
            original(self, fetch, rate, lambda: None if held_term() is None else 1, *rest)

        with mock.patch.object(endpoint_list_reader.EndpointListReader, "__init__", initialise):
            self.found(reading_under_way_while_another_machine_leads, "an older reading")

    def test_a_machine_that_is_cut_off_says_that_it_is_fresh(self) -> None:
        def freshness(self: ScriptedReplica, now: float) -> tuple[int, float] | None:
            return None if self.fresh is None else (self.fresh[0], 0.0)

        with mock.patch.object(ScriptedReplica, "freshness", freshness):
            self.found_on_some_day("confirmed after a newer acknowledgement", play_day)
            with mock.patch.object(Checkers, "_check_confirmed", lambda self, process: None):
                self.found_on_some_day("a request was run with a revoked key", play_day)

    def test_a_new_leader_begins_with_full_buckets(self) -> None:
        original = quota_allocator.QuotaAllocator._bucket

        def bucket(
            self: quota_allocator.QuotaAllocator, now: float, tenant: str, limit: quota_policy.TenantLimit
        ) -> token_bucket.TokenBucket:
            known = tenant in self._buckets
            found = original(self, now, tenant, limit)
            found.level = found.level if known else found.capacity
            return found

        with mock.patch.object(quota_allocator.QuotaAllocator, "_bucket", bucket):
            self.assertGreater(leaders_in_turn(41).quota_excess(), 0.0)

    def test_a_machine_that_leads_no_more_answers_on(self) -> None:
        """The lease is not asked before an answer, and its end is not noticed."""

        def holds(self: ScriptedReplica, now: float) -> bool:
            return self.lease_until > -math.inf

        with mock.patch.object(ScriptedReplica, "is_leader", holds):
            self.found(lambda: cut_off_with_the_leader(47), "edges told")
            with mock.patch.object(Checkers, "_check_total", lambda self, process: None):
                self.assertGreater(cut_off_with_the_leader(47).quota_excess(), 0.0)

    def test_leases_never_end(self) -> None:
        def play() -> None:
            world = calm(World(seed=1))
            world.kill(world.edge[0])
            world.run(10.0)

        play()
        with mock.patch.object(membership.Membership, "expire", lambda self, now: []):
            self.found(play, "edges told")

    def test_a_body_is_mixed_up(self) -> None:
        original = values.decode_configuration

        def decode(update: object) -> object:
            found = original(update)  # type: ignore[arg-type]
            assert found is not None
            return type(found)(found.sequence, found.version + 1, found.body, found.compressed)

        with mock.patch.object(store, "decode_configuration", decode):
            self.found(lambda: calm(World(seed=1)), "differs from what was committed")


if __name__ == "__main__":
    unittest.main()

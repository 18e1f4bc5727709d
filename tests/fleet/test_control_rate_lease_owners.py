"""Tests of `RateLeaseOwnerTracker` and of its use by `QuotaAllocator` and by the persisted state of a replica."""

from __future__ import annotations

import unittest

from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.quota_policy import (
    FULL_RATE_EXPIRY_S,
    LEASE_EXPIRY_S,
    PRUNE_INTERVAL_S,
    QuotaBounds,
    TenantLimit,
)
from rosechute.control_plane.rate_lease_owners import ANY_EDGE, OwnerStatement, RateLeaseOwnerTracker
from rosechute.control_plane.rate_leases import LeaseOwner
from rosechute.control_plane.token_bucket import TokenDemand
from rosechute.coordination.replica_state import ReplicaState, load_replica_state
from rosechute.coordination.views import RateLeaseOwners
from rosechute.messages import coordination_pb2 as pb
from rosechute.routing.lease_exchange import LeaseReport

from .rate_lease_builders import store_owners

A, B, C = "edge-a", "edge-b", "edge-c"
TERM_START = 100.0
LIMIT = TenantLimit(10_000.0, 10_000.0)


def names(*edges: str) -> frozenset[str]:
    return frozenset(edges)


def statement_of(*edges: str) -> OwnerStatement:
    return OwnerStatement(names(*edges))


def report(rate: float = 0.0, remaining_s: float = 0.0, no_lease_s: float = 0.0, tenant: str = "t") -> LeaseReport:
    return LeaseReport(tenant, rate, 4.0 * rate, remaining_s, 0.0, 3_000.0, 500.0, no_lease_s)


class UnknownEarlierOwnersTest(unittest.TestCase):
    """Any edge may own earlier leases: leases are granted to every edge until the first statement with names."""

    def setUp(self) -> None:
        self.owners = RateLeaseOwnerTracker(TERM_START, None)

    def test_nothing_is_granted_before_the_any_edge_statement_is_stored(self) -> None:
        self.assertFalse(self.owners.try_grant(TERM_START, A))
        self.assertEqual(self.owners.to_persist(TERM_START), ANY_EDGE)
        self.assertFalse(self.owners.try_grant(TERM_START, A), "being stored")
        self.owners.on_persisted(ANY_EDGE)
        self.assertTrue(self.owners.try_grant(TERM_START, A))

    def test_every_edge_is_granted_without_a_further_statement(self) -> None:
        store_owners(self.owners, TERM_START)
        self.assertTrue(self.owners.try_grant(TERM_START, A))
        self.assertIsNone(self.owners.to_persist(TERM_START + PRUNE_INTERVAL_S + 1.0))
        self.assertFalse(self.owners.has_all_reported)

    def test_only_named_edges_are_granted_while_the_first_names_are_stored(self) -> None:
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START, A)
        self.owners.on_earlier_leases_known()
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A))
        self.assertTrue(self.owners.try_grant(TERM_START, A))
        self.assertFalse(self.owners.try_grant(TERM_START, B))
        self.owners.on_persisted(statement_of(A))
        self.assertFalse(self.owners.try_grant(TERM_START, B))
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A, B))

    def test_edge_without_a_grant_is_not_in_the_first_names(self) -> None:
        self.owners.try_grant(TERM_START, B)
        store_owners(self.owners, TERM_START)
        self.owners.on_earlier_leases_known()
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of())

    def test_names_are_stated_first_if_leases_are_known_immediately(self) -> None:
        self.owners.on_earlier_leases_known()
        self.assertFalse(self.owners.try_grant(TERM_START, A))
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A))

    def test_first_names_are_the_granted_edges(self) -> None:
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START, A)
        self.owners.on_earlier_leases_known()
        self.assertEqual(self.owners.to_persist(TERM_START + LEASE_EXPIRY_S), statement_of(A))

    def test_edge_with_an_expired_lease_is_left_out(self) -> None:
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START, A)
        self.owners.try_grant(TERM_START + 1.0, B)
        self.owners.on_earlier_leases_known()
        self.assertEqual(self.owners.to_persist(TERM_START + LEASE_EXPIRY_S + 0.5), statement_of(B))


class KnownEarlierOwnersTest(unittest.TestCase):
    """Leases are granted only to edges that are in every statement a later leader may read."""

    def setUp(self) -> None:
        self.owners = RateLeaseOwnerTracker(TERM_START, names(A))

    def test_nothing_is_granted_before_the_first_statement_is_stored(self) -> None:
        self.assertFalse(self.owners.try_grant(TERM_START, A))
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A))
        self.assertFalse(self.owners.try_grant(TERM_START, A))
        self.owners.on_persisted(statement_of(A))
        self.assertTrue(self.owners.try_grant(TERM_START, A))
        self.assertFalse(self.owners.try_grant(TERM_START, B))

    def test_new_edge_is_granted_once_its_statement_is_stored(self) -> None:
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A))
        self.assertFalse(self.owners.try_grant(TERM_START, B))
        self.assertIsNone(self.owners.to_persist(TERM_START), "one statement at a time")
        self.owners.on_persisted(statement_of(A))
        self.assertEqual(self.owners.to_persist(TERM_START), statement_of(A, B))
        self.assertFalse(self.owners.try_grant(TERM_START, B), "its statement is not stored yet")
        self.assertTrue(self.owners.try_grant(TERM_START, A))
        self.owners.on_persisted(statement_of(A, B))
        self.assertTrue(self.owners.try_grant(TERM_START, B))
        self.assertIsNone(self.owners.to_persist(TERM_START))

    def test_new_edges_do_not_displace_each_other(self) -> None:
        store_owners(self.owners, TERM_START)
        for edge in (B, C):
            self.owners.try_grant(TERM_START, edge)
            store_owners(self.owners, TERM_START)
        self.assertTrue(self.owners.try_grant(TERM_START, B))
        self.assertTrue(self.owners.try_grant(TERM_START, C))

    def test_edge_missing_from_the_next_statement_is_not_granted(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START + LEASE_EXPIRY_S + 1.0, B)
        self.assertEqual(self.owners.to_persist(TERM_START + LEASE_EXPIRY_S + 1.0), statement_of(B))
        self.assertFalse(self.owners.try_grant(TERM_START + LEASE_EXPIRY_S + 1.0, A))

    def test_removed_edge_that_reports_is_stated_again(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        later = TERM_START + LEASE_EXPIRY_S + 1.0
        self.owners.try_grant(later, B)
        self.owners.to_persist(later)
        self.owners.try_grant(later, A)
        self.owners.on_persisted(statement_of(B))
        self.assertEqual(self.owners.to_persist(later), statement_of(A, B))

    def test_edge_without_a_report_is_kept(self) -> None:
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START + LEASE_EXPIRY_S + 1.0, B)
        self.assertEqual(self.owners.to_persist(TERM_START + LEASE_EXPIRY_S + 1.0), statement_of(A, B))

    def test_inactive_edges_are_pruned(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        self.assertIsNone(self.owners.to_persist(TERM_START + PRUNE_INTERVAL_S))
        self.assertEqual(self.owners.to_persist(TERM_START + PRUNE_INTERVAL_S + 0.1), statement_of())

    def test_unreported_edges_cause_no_pruning(self) -> None:
        store_owners(self.owners, TERM_START)
        self.assertIsNone(self.owners.to_persist(TERM_START + PRUNE_INTERVAL_S + 0.1))

    def test_pruning_interval_counts_from_the_last_statement(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START + 6.0, B)
        store_owners(self.owners, TERM_START + 6.0)
        self.assertIsNone(self.owners.to_persist(TERM_START + PRUNE_INTERVAL_S + 2.0))
        self.assertEqual(self.owners.to_persist(TERM_START + 6.1 + PRUNE_INTERVAL_S), statement_of())

    def test_released_edge_is_left_out_immediately(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        self.owners.on_released(A)
        self.assertEqual(self.owners.to_persist(TERM_START + 0.1), statement_of())
        self.assertFalse(self.owners.try_grant(TERM_START + 0.1, A))
        self.owners.on_persisted(statement_of())
        self.assertEqual(self.owners.to_persist(TERM_START + 0.1), statement_of(A), "another process has reported")

    def test_release_is_stated_once(self) -> None:
        store_owners(self.owners, TERM_START)
        self.owners.on_released(A)
        self.assertEqual(store_owners(self.owners, TERM_START + 0.1), names())
        self.assertIsNone(self.owners.to_persist(TERM_START + 0.2))

    def test_release_of_an_unstated_edge_needs_no_statement(self) -> None:
        self.owners.on_report(A)
        store_owners(self.owners, TERM_START)
        self.owners.try_grant(TERM_START, B)
        self.owners.on_released(B)
        self.assertIsNone(self.owners.to_persist(TERM_START + 0.1))

    def test_release_counts_as_a_report(self) -> None:
        self.owners.on_released(A)
        self.assertTrue(self.owners.has_all_reported)

    def test_unexpected_stored_statement_is_ignored(self) -> None:
        self.owners.to_persist(TERM_START)
        self.owners.try_grant(TERM_START, B)
        self.owners.on_persisted(statement_of(C))
        self.assertIsNone(self.owners.to_persist(TERM_START))
        self.assertFalse(self.owners.try_grant(TERM_START, C))

    def test_all_reported_once_each_edge_has_reported(self) -> None:
        owners = RateLeaseOwnerTracker(TERM_START, names(A, B))
        owners.on_report(A)
        self.assertFalse(owners.has_all_reported)
        owners.on_report(C)
        self.assertFalse(owners.has_all_reported)
        owners.on_report(B)
        self.assertTrue(owners.has_all_reported)

    def test_all_reported_without_earlier_owners(self) -> None:
        self.assertTrue(RateLeaseOwnerTracker(TERM_START, names()).has_all_reported)

    def test_unusable_report_makes_earlier_leases_unknown(self) -> None:
        owners = RateLeaseOwnerTracker(TERM_START, names(A))
        owners.on_unusable_report()
        owners.on_report(A)
        self.assertFalse(owners.has_all_reported)


class AllocatorInNewTermTest(unittest.TestCase):
    """Allocator of a leader that knows which edges may own leases of earlier terms."""

    def setUp(self) -> None:
        self.allocator = QuotaAllocator(QuotaBounds(8.0, 0.1, 110_000.0))
        self.allocator.configure(TERM_START, {"t": LIMIT, "free": None})
        self.number = 0

    def start_term(self, rate_lease_owners: frozenset[str] | None) -> None:
        self.allocator.leadership_gained(
            TERM_START, TERM_START + FULL_RATE_EXPIRY_S, TERM_START + LEASE_EXPIRY_S, rate_lease_owners
        )
        store_owners(self.allocator, TERM_START)

    def renew(self, now: float, edge: str, *reports: LeaseReport) -> float:
        """Return the granted rate."""
        self.number += 1
        grants = self.allocator.renew(now, LeaseOwner(edge, 1), self.number, reports)
        return sum(grant.rate for grant in grants)

    def tokens_issued(self, now: float) -> int:
        """Return the number of tokens issued to one large request."""
        (issued,) = self.allocator.issue(now, C, [TokenDemand("t", 100_000, 1)])
        return issued.tokens

    def test_full_rate_once_all_have_reported(self) -> None:
        self.start_term(names(A, B))
        self.renew(TERM_START + 0.1, A)
        self.renew(TERM_START + 0.1, B)
        self.assertGreater(
            self.tokens_issued(TERM_START + 1.0),
            0.45 * LIMIT.rate_per_s,
            "half of the level is issued beyond the minimum",
        )

    def test_existing_bucket_fills_at_full_rate_once_all_have_reported(self) -> None:
        self.start_term(names(A, B))
        self.tokens_issued(TERM_START + 0.05)
        self.renew(TERM_START + 0.1, A)
        self.renew(TERM_START + 0.1, B)
        self.assertGreater(self.tokens_issued(TERM_START + 1.0), 0.4 * LIMIT.rate_per_s)

    def test_reduced_rate_while_an_owner_has_not_reported(self) -> None:
        self.start_term(names(A, B))
        self.renew(TERM_START + 0.1, A)
        silent = self.tokens_issued(TERM_START + 1.0)
        self.start_term(None)
        self.assertEqual(silent, self.tokens_issued(TERM_START + 1.0))

    def test_reported_leases_reduce_the_rate(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(6_000.0, 4.0))
        self.assertLess(self.tokens_issued(TERM_START + 1.0), 0.25 * LIMIT.rate_per_s)

    def test_new_leases_are_granted_once_all_have_reported(self) -> None:
        self.start_term(names(A, B))
        self.assertEqual(self.renew(TERM_START + 0.1, A, report()), 0.0)
        self.renew(TERM_START + 0.2, B)
        self.assertGreater(self.renew(TERM_START + 0.6, A, report()), 0.0)

    def test_nothing_is_leased_during_an_earlier_no_lease_promise(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(no_lease_s=3.0))
        self.assertEqual(self.renew(TERM_START + 2.0, A, report()), 0.0)
        self.assertGreater(self.renew(TERM_START + 3.2, A, report()), 0.0)

    def test_lease_of_an_unlimited_tenant_has_to_expire(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(6_000.0, 4.0, tenant="free"))
        first = self.tokens_issued(TERM_START + 1.0)
        self.start_term(None)
        self.assertEqual(first, self.tokens_issued(TERM_START + 1.0))

    def test_promise_for_an_unlimited_tenant_has_to_expire(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(no_lease_s=3.0, tenant="free"))
        self.assertFalse(self.allocator.all_leases_known(TERM_START + 0.1))

    def test_empty_report_for_an_unlimited_tenant_is_usable(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(tenant="free"))
        self.assertTrue(self.allocator.all_leases_known(TERM_START + 0.1))

    def test_later_reports_do_not_change_the_time_when_leases_are_known(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A)
        issued = self.tokens_issued(TERM_START + 1.0)
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A)
        self.renew(TERM_START + 0.9, A)
        self.assertEqual(self.tokens_issued(TERM_START + 1.0), issued)

    def test_unstored_edge_is_granted_nothing(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report())
        self.assertEqual(self.renew(TERM_START + 0.2, B, report()), 0.0)
        self.assertEqual(store_owners(self.allocator, TERM_START + 0.3), names(A, B))
        self.assertGreater(self.renew(TERM_START + 0.7, B, report()), 0.0)

    def test_names_are_stored_when_earlier_leases_have_expired(self) -> None:
        self.start_term(None)
        self.renew(TERM_START + 1.0, A, report())
        self.assertIsNone(self.allocator.rate_lease_owners_to_persist(TERM_START + LEASE_EXPIRY_S - 0.1))
        self.assertEqual(self.allocator.rate_lease_owners_to_persist(TERM_START + LEASE_EXPIRY_S), statement_of(A))

    def test_report_before_the_first_stored_statement_is_applied(self) -> None:
        """Nothing is granted, so the edge keeps its lease, which reduces the unleased rate."""
        self.allocator.leadership_gained(
            TERM_START, TERM_START + FULL_RATE_EXPIRY_S, TERM_START + LEASE_EXPIRY_S, names(A)
        )
        self.assertEqual(self.renew(TERM_START + 0.01, A, report(6_000.0, 4.0)), 0.0)
        self.assertTrue(self.allocator.all_leases_known(TERM_START + 0.01))
        self.assertLess(self.tokens_issued(TERM_START + 1.0), 0.25 * LIMIT.rate_per_s)
        store_owners(self.allocator, TERM_START + 1.0)
        self.assertGreater(self.renew(TERM_START + 1.1, A, report(6_000.0, 2.9)), 0.0)

    def test_released_rate_is_issued_to_others_immediately(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A, report(6_000.0, 4.0))
        self.number += 1
        self.allocator.release(TERM_START + 0.2, LeaseOwner(A, 1), self.number)
        self.assertGreater(self.tokens_issued(TERM_START + 1.0), 0.3 * LIMIT.rate_per_s)
        self.assertEqual(store_owners(self.allocator, TERM_START + 0.3), names())

    def test_release_counts_as_a_report_to_a_new_leader(self) -> None:
        self.start_term(names(A, B))
        self.renew(TERM_START + 0.1, A)
        self.allocator.release(TERM_START + 0.2, LeaseOwner(B, 1), 9)
        self.assertTrue(self.allocator.all_leases_known(TERM_START + 0.2))

    def test_late_release_of_an_ended_process_does_not_affect_its_successor(self) -> None:
        self.start_term(names(A))
        self.renew(TERM_START + 0.1, A)
        self.allocator.renew(TERM_START + 0.2, LeaseOwner(A, 2), 1, [report()])
        self.allocator.release(TERM_START + 0.3, LeaseOwner(A, 1), 9)
        self.assertIsNone(store_owners(self.allocator, TERM_START + 0.4))
        self.assertGreater(
            sum(each.rate for each in self.allocator.renew(TERM_START + 0.7, LeaseOwner(A, 2), 2, [report()])), 0.0
        )

    def test_release_counts_in_a_new_term_despite_earlier_reports_of_another_process(self) -> None:
        self.start_term(names(A))
        self.allocator.renew(TERM_START + 0.1, LeaseOwner(A, 2), 1, [report()])
        self.start_term(names(A))
        self.allocator.release(TERM_START + 0.2, LeaseOwner(A, 1), 1)
        self.assertTrue(self.allocator.all_leases_known(TERM_START + 0.2))

    def test_report_older_than_a_release_is_ignored(self) -> None:
        self.start_term(names(A))
        self.allocator.release(TERM_START + 0.2, LeaseOwner(A, 1), 9)
        self.assertEqual(store_owners(self.allocator, TERM_START + 0.3), names())
        self.assertEqual(self.allocator.renew(TERM_START + 0.3, LeaseOwner(A, 1), 8, [report(6_000.0, 4.0)]), [])
        self.assertIsNone(
            store_owners(self.allocator, TERM_START + 0.4), "the ended process does not become an owner again"
        )

    def test_outdated_release_is_ignored(self) -> None:
        self.start_term(names(A))
        self.number = 5
        self.renew(TERM_START + 0.1, A)
        self.allocator.release(TERM_START + 0.2, LeaseOwner(A, 1), 6)
        self.assertIsNone(store_owners(self.allocator, TERM_START + 0.3))

    def test_promise_reported_before_the_first_stored_statement_is_kept(self) -> None:
        self.allocator.leadership_gained(
            TERM_START, TERM_START + FULL_RATE_EXPIRY_S, TERM_START + LEASE_EXPIRY_S, names(A)
        )
        self.renew(TERM_START + 0.01, A, report(no_lease_s=3.0))
        store_owners(self.allocator, TERM_START + 0.02)
        self.assertEqual(self.renew(TERM_START + 2.0, A, report()), 0.0)
        self.assertGreater(self.renew(TERM_START + 3.2, A, report()), 0.0)


class PersistedRecordTest(unittest.TestCase):
    """The newest record on disk is in force; a record of an earlier term is ignored."""

    def record(self, term: int, *edges: str) -> pb.Record:
        return pb.Record(rate_lease_owners=pb.RateLeaseOwnersRecord(term=term, edges=edges))

    def test_later_record_replaces_earlier_one(self) -> None:
        records = [self.record(3, A).SerializeToString(), self.record(3, A, B).SerializeToString()]
        self.assertEqual(load_replica_state(records).rate_lease_owners, RateLeaseOwners(3, names(A, B)))

    def test_record_of_an_earlier_term_is_ignored(self) -> None:
        replica_state = ReplicaState()
        replica_state.apply(self.record(4, A))
        replica_state.apply(self.record(3, B))
        self.assertEqual(replica_state.rate_lease_owners, RateLeaseOwners(4, names(A)))

    def test_snapshot_record_contains_the_owners(self) -> None:
        replica_state = ReplicaState()
        replica_state.apply(self.record(4, A, B))
        self.assertEqual(
            load_replica_state([replica_state.snapshot_record().SerializeToString()]).rate_lease_owners,
            RateLeaseOwners(4, names(A, B)),
        )

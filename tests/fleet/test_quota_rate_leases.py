"""Tests of rate leases: leases at edges, bounds kept by the leader, reports, no-lease promises and terms."""

from __future__ import annotations

import json
import math
import random
import unittest

from rosechute.configuration.process import Bounds
from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.quota_policy import (
    EMERGENCY_SHARE,
    LEASE_DURATION_S,
    LEASE_EXPIRY_S,
    LEASED_SHARE,
    NO_LEASE_S,
    QuotaBounds,
    TenantLimit,
)
from rosechute.control_plane.quota_service import QuotaService
from rosechute.control_plane.rate_leases import LeaseBudget, LeaseOwner, RateLeases, max_min_fair_level
from rosechute.control_plane.token_bucket import TokenDemand
from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport
from rosechute.routing.rate_lease import RateLease
from rosechute.routing.token_cache import TokenCache

from .rate_lease_builders import store_owners

BUDGET = LeaseBudget(900.0, 3000.0)
# Tokens issued per second by a new leader that does not know the earlier leases, at a rate of 1,000 tokens/s, a burst
# of 1,000 tokens and an overshoot of 0.1.
CONSERVATIVE_TOKENS_PER_S = (1.0 - LEASED_SHARE) * 1000.0 + EMERGENCY_SHARE * 0.1 * (8.0 * 1000.0 + 1000.0) / 8.0


def granted(rate: float, depth: float, deposit: int = 0) -> LeaseGrant:
    return LeaseGrant("t", rate, depth, 3.0, 0.5, 5.0, deposit, 0.4, 0.0)


def report(demand: float, held: LeaseGrant | None = None, remaining_s: float = LEASE_DURATION_S) -> LeaseReport:
    rate, depth = (held.rate, held.depth) if held is not None else (0.0, 0.0)
    return LeaseReport("t", rate, depth, remaining_s if rate else 0.0, 0.0, demand, 10.0)


class ExchangeTest(unittest.TestCase):
    def test_encoding_rounds_in_favor_of_the_limit(self) -> None:
        """Held leases are rounded up; granted leases and no-lease promises are rounded down."""
        sent = LeaseReport("t", 1.5, 2.5, 3.0004, 0.5, 10.0, 2.0, no_lease_s=1.0009)
        self.assertEqual(
            LeaseReport.from_message(sent.to_message()), LeaseReport("t", 1.5, 2.5, 3.001, 0.5, 10.0, 2.0, 1.0)
        )
        grant = LeaseGrant("t", 1.5, 2.5, 3.0009, 0.5, 5.0009, 7, 0.4009, 1.0009)
        self.assertEqual(
            LeaseGrant.from_message(grant.to_message()), LeaseGrant("t", 1.5, 2.5, 3.0, 0.5, 5.0, 7, 0.4, 1.0)
        )


class RateLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = RateLease()

    def test_bucket_fills_to_its_depth(self) -> None:
        self.lease.on_grant(0.0, 0.0, granted(100.0, 150.0))
        self.assertEqual(self.lease.available(1.0), 100)
        self.assertEqual(self.lease.available(2.0), 150)
        self.lease.use(120)
        self.assertEqual(self.lease.available(2.5), 80)

    def test_late_rate_applies_after_the_full_rate_period(self) -> None:
        self.lease.on_grant(0.0, 0.0, granted(100.0, 1000.0))
        self.assertEqual(self.lease.available(4.0), 350)

    def test_expiry_empties_the_bucket(self) -> None:
        self.lease.on_grant(0.1, 0.0, granted(100.0, 1000.0))
        self.assertGreater(self.lease.available(4.99), 300)
        self.assertEqual(self.lease.available(5.0), 0)
        self.assertEqual(self.lease.report(5.0, "t", 1.0, 1.0).rate, 0.0)

    def test_grant_after_a_suspension_adds_no_tokens_for_the_suspension(self) -> None:
        self.lease.on_grant(0.0, 0.0, granted(100.0, 1000.0))
        self.lease.on_grant(60.0, 59.9, granted(100.0, 1000.0))
        self.assertEqual(self.lease.available(60.0), 0)

    def test_late_deposit_is_void(self) -> None:
        self.lease.on_grant(0.3, 0.0, granted(100.0, 1000.0, 70))
        self.assertEqual(self.lease.available(0.3), 70)
        late = RateLease()
        late.on_grant(0.4, 0.0, granted(100.0, 1000.0, 70))
        self.assertEqual(late.available(0.4), 0)

    def test_lowered_depth_takes_effect_immediately(self) -> None:
        self.lease.on_grant(0.0, 0.0, granted(100.0, 1000.0))
        self.lease.on_grant(2.0, 2.0, granted(10.0, 50.0))
        self.assertEqual(self.lease.available(2.0), 50)

    def test_covers_at(self) -> None:
        self.lease.on_grant(0.0, 0.0, granted(100.0, 400.0))
        self.lease.advance(1.0)
        self.assertEqual(self.lease.covers_at(250), 2.5)
        self.assertEqual(self.lease.covers_at(325), 3.5)
        self.assertEqual(self.lease.covers_at(390), 4.8)
        self.assertEqual(self.lease.covers_at(401), math.inf)
        self.assertEqual(RateLease().covers_at(1), math.inf)


class RateLeasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = RateLeases(BUDGET, leases_known_at=0.0)
        self.a, self.b = LeaseOwner("a", 1), LeaseOwner("b", 1)

    def test_rate_moves_to_another_edge_after_confirmation(self) -> None:
        first = self.leases.renew(0.0, self.a, report(900.0))
        self.assertGreater(first.rate, 850.0)
        self.leases.renew(0.1, self.b, report(900.0))
        lowered = self.leases.renew(0.2, self.a, report(0.0, first))
        self.assertLess(lowered.rate, 500.0)
        early = self.leases.renew(0.3, self.b, report(900.0))
        self.assertLess(early.rate, 50.0)  # the answer to `a` may not have arrived
        self.leases.renew(0.4, self.a, report(0.0, lowered))
        self.assertGreater(self.leases.renew(0.5, self.b, report(900.0)).rate, 400.0)

    def test_unresponsive_edge_is_counted_until_its_lease_expires(self) -> None:
        self.leases.renew(0.0, self.a, report(900.0))
        for step in range(1, 12):
            grant = self.leases.renew(step * 0.45, self.b, report(900.0))
            self.assertLessEqual(grant.depth, BUDGET.depth)
        self.assertLess(grant.rate, 0.55 * BUDGET.rate)
        self.assertGreater(self.leases.renew(LEASE_EXPIRY_S + 0.1, self.b, report(900.0)).rate, 850.0)

    def test_restarted_edge_is_another_owner(self) -> None:
        self.leases.renew(0.0, self.a, report(900.0))
        self.assertLess(self.leases.renew(0.1, LeaseOwner("a", 2), report(900.0)).rate, 50.0)

    def test_leases_stay_within_the_budget_with_lost_messages(self) -> None:
        for seed in range(60):
            draw = random.Random(seed)
            leases = RateLeases(BUDGET, leases_known_at=0.0)
            held: dict[LeaseOwner, tuple[LeaseGrant, float]] = {}
            now = 0.0
            for _ in range(200):
                now += draw.expovariate(8.0)
                owner = LeaseOwner(draw.choice("abcdef"), draw.randrange(2))
                before = held.get(owner)
                left = 0.0 if before is None else before[1] - now
                lease = before[0] if before is not None and left > 0 else None
                grant = leases.renew(now, owner, report(draw.choice((0.0, 50.0, 400.0, 2000.0)), lease, left))
                if draw.random() < 0.7:
                    held[owner] = (grant, now + LEASE_DURATION_S)
                running = [lease for lease, until in held.values() if until > now]
                self.assertLessEqual(sum(each.depth for each in running), BUDGET.depth + 1e-6)
                full = [lease for lease, until in held.values() if until - LEASE_DURATION_S + lease.full_rate_s > now]
                late = sum(each.rate for each in running) - sum(each.rate for each in full)
                rate = sum(each.rate for each in full) + late * grant.late_rate_share
                self.assertLessEqual(rate, BUDGET.rate + 1e-6)

    def test_new_leader_grants_no_more_than_was_reported(self) -> None:
        old = self.leases.renew(0.0, self.a, report(900.0))
        new = RateLeases(BUDGET, leases_known_at=LEASE_EXPIRY_S)
        self.assertEqual(new.renew(0.1, self.b, report(900.0)).rate, 0.0)
        renewed = new.renew(0.2, self.a, report(900.0, old, 4.0))
        self.assertGreater(renewed.rate, 0.4 * old.rate)
        self.assertLessEqual(renewed.rate, old.rate)
        again = new.renew(0.3, self.a, report(900.0, renewed))
        self.assertLessEqual(again.rate + new.renew(0.4, self.b, report(900.0)).rate, old.rate + 1e-6)

    def test_nothing_is_leased_if_the_bucket_is_too_small(self) -> None:
        huge = LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 900.0, 2000.0)
        grant = self.leases.renew(0.0, self.a, huge)
        self.assertEqual((grant.rate, grant.no_lease_s), (0.0, NO_LEASE_S))

    def test_no_lease_promise_is_kept(self) -> None:
        self.leases.renew(0.0, self.a, LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 900.0, 2000.0))
        for step in range(1, 11):
            grant = self.leases.renew(step * 0.45, self.a, report(900.0))
            self.assertEqual((grant.rate, grant.no_lease_s), (0.0, 0.0))
        self.assertGreater(self.leases.renew(NO_LEASE_S, self.a, report(900.0)).rate, 0.0)

    def test_no_promise_while_leases_may_be_in_force(self) -> None:
        self.assertEqual(RateLeases(BUDGET, 5.0).renew(0.0, self.a, report(0.0)).no_lease_s, 0.0)

    def test_max_min_fair_level(self) -> None:
        self.assertEqual(max_min_fair_level([10.0, 50.0, 100.0], 90.0), 40.0)
        self.assertEqual(max_min_fair_level([10.0, 20.0], 90.0), 20.0)


class NewLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allocator = QuotaAllocator(QuotaBounds(8.0, 0.1, 0.0))
        self.allocator.leadership_gained(0.0, 3.0, 5.0)
        store_owners(self.allocator, 0.0)
        self.allocator.configure(0.0, {"t": TenantLimit(1000.0, 1000.0)})

    def issued(self, now: float) -> int:
        return sum(self.allocator.issue(now, "e", [TokenDemand("t", 10, 10)])[0].tokens for _ in range(200))

    def test_only_the_unleased_part_is_issued_until_leases_are_known(self) -> None:
        self.assertLessEqual(self.issued(1.0), CONSERVATIVE_TOKENS_PER_S + 10)
        self.assertLessEqual(self.issued(3.0), 2 * CONSERVATIVE_TOKENS_PER_S + 10)

    def test_promise_of_the_previous_leader_allows_the_full_rate(self) -> None:
        sent = LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 100.0, 500.0, no_lease_s=2.0)
        self.allocator.renew(0.0, LeaseOwner("e", 1), 1, [sent])
        self.assertGreater(self.issued(0.5), 300)

    def test_promise_survives_leader_changes(self) -> None:
        sent = LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 100.0, 500.0, no_lease_s=2.0)
        grant = self.allocator.renew(0.0, LeaseOwner("e", 1), 1, [sent])[0]
        self.assertEqual((grant.rate, grant.no_lease_s), (0.0, NO_LEASE_S))
        self.allocator.leadership_gained(2.0, 5.0, 7.0)
        sent = LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 100.0, 500.0, no_lease_s=3.0)
        self.allocator.renew(2.0, LeaseOwner("e", 1), 2, [sent])
        self.assertGreater(self.issued(2.5), 300)

    def test_expired_promise_does_not_allow_the_full_rate(self) -> None:
        sent = LeaseReport("t", 0.0, 0.0, 0.0, 0.0, 100.0, 500.0, no_lease_s=0.05)
        self.allocator.renew(0.0, LeaseOwner("e", 1), 1, [sent])
        self.assertLessEqual(self.issued(1.0), CONSERVATIVE_TOKENS_PER_S + 10)

    def test_outdated_report_is_ignored(self) -> None:
        self.assertEqual(len(self.allocator.renew(0.1, LeaseOwner("e", 1), 8, [report(10.0)])), 1)
        self.assertEqual(self.allocator.renew(0.2, LeaseOwner("e", 1), 7, [report(10.0)]), [])


class ReportTest(unittest.TestCase):
    """Reports in messages: handling of other terms, and which answers are applied."""

    def test_report_of_another_term_is_answered_with_the_term_only(self) -> None:
        service = QuotaService(Bounds(quota_overshoot=0.1, quota_slack=10_000.0))
        tenant = {"name": "t", "api_keys": ["k"], "rate_per_s": 1000, "burst": 1000}
        body = {"config_version": 1, "routes": [], "services": [], "tenants": [tenant]}
        service.configuration_committed(0.0, json.dumps(body).encode())
        service.leadership_gained(0.0, 7)
        store_owners(service._allocator, 0.0)
        request = pb.QuotaRequest(request=1, edge="e", boot=1, term=6)
        request.held.add(tenant="t", rate=100.0, depth=100.0, lifetime_ms=4000, demand=100.0, mean_request_tokens=5.0)
        answer = service.answer(0.1, request)
        self.assertEqual((answer.term, len(answer.granted)), (7, 0))
        request.term, request.request = 7, 2
        answer = service.answer(0.2, request)
        self.assertEqual(len(answer.granted), 1)
        self.assertLessEqual(answer.granted[0].rate, 100.0)
        self.assertGreater(answer.granted[0].rate, 0.0)

    def test_only_the_answer_to_the_newest_report_is_applied(self) -> None:
        cache = TokenCache()
        cache.acquire(0.0, "t", 10, lambda allowed, retry_s: None)
        self.assertEqual(len(cache.next_lease_reports(0.0, 1)), 1)
        self.assertEqual(cache.next_lease_reports(0.5, 2), [])
        self.assertEqual(len(cache.next_lease_reports(0.9, 3)), 1)
        cache.on_leases_granted(1.0, 1, 0, [granted(100.0, 100.0)])
        self.assertEqual(cache.available_tokens(1.5, "t"), 0)
        cache.on_leases_granted(1.5, 3, 0, [granted(100.0, 100.0)])
        self.assertEqual(cache.available_tokens(2.0, "t"), 50)
        cache.on_leases_granted(2.0, 3, 0, [granted(100.0, 500.0, 300)])
        self.assertEqual(cache.available_tokens(2.0, "t"), 50)

    def test_answer_of_another_term_makes_a_report_due(self) -> None:
        cache = TokenCache()
        cache.acquire(0.0, "t", 10, lambda allowed, retry_s: None)
        cache.next_lease_reports(0.0, 1)
        cache.on_leases_granted(0.01, 1, 9, [])
        self.assertEqual((cache.term, cache.next_report_at(0.01)), (9, 0.01))

    def test_reports_stop_without_demand_and_lease(self) -> None:
        cache = TokenCache()
        cache.acquire(0.0, "t", 10, lambda allowed, retry_s: None)
        self.assertTrue(cache.next_lease_reports(0.0, 1))
        cache.on_leases_granted(0.0, 1, 0, [granted(100.0, 100.0)])
        self.assertTrue(cache.next_lease_reports(4.5, 2))
        self.assertEqual(cache.next_report_at(5.1), math.inf)


class WithoutLeaderTest(unittest.TestCase):
    """A cache with a lease while no leader is known."""

    def setUp(self) -> None:
        self.cache = TokenCache()
        self.outcomes: list[tuple[str, bool]] = []
        self.cache.acquire(0.0, "t", 1, lambda allowed, retry_s: None)
        self.cache.tick(0.2, 0.2)
        self.cache.next_lease_reports(0.2, 1)
        self.cache.on_leases_granted(0.2, 1, 0, [granted(1000.0, 1000.0)])

    def acquire_tokens(self, now: float, name: str, tokens: int) -> None:
        decisions = self.cache.acquire(
            now, "t", tokens, lambda allowed, retry_s: self.outcomes.append((name, allowed))
        )
        for decision in decisions:
            decision.on_decision(decision.allowed, decision.retry_after_s)

    def tick(self, now: float) -> None:
        for decision in self.cache.tick(now, 1.0):
            decision.on_decision(decision.allowed, decision.retry_after_s)

    def test_available_tokens_are_used_immediately(self) -> None:
        self.acquire_tokens(1.0, "a", 700)
        self.assertEqual(self.outcomes, [("a", True)])

    def test_request_waits_for_tokens_available_soon(self) -> None:
        self.acquire_tokens(1.2, "a", 1000)
        self.acquire_tokens(1.2, "b", 150)
        self.assertAlmostEqual(self.cache.next_action_at(1.0), 1.35)
        self.tick(1.351)
        self.assertEqual(self.outcomes, [("a", True), ("b", True)])

    def test_request_for_tokens_not_available_soon_is_rejected(self) -> None:
        self.acquire_tokens(1.2, "a", 1000)
        self.acquire_tokens(1.2, "b", 240)
        self.tick(1.239)
        self.assertEqual(self.outcomes, [("a", True)])
        self.tick(1.241)
        self.assertEqual(self.outcomes, [("a", True), ("b", False)])


if __name__ == "__main__":
    unittest.main()

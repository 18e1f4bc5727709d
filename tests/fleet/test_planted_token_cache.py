"""The edge's side of quotas and rate leases, part by part: what is spent, asked, waited for, refused and reported."""

from __future__ import annotations

import math
import unittest
from typing import Any

from rosechute.routing import token_cache_policy
from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport
from rosechute.routing.rate_lease import RateLease
from rosechute.routing.token_cache import TokenCache
from rosechute.routing.token_cache_policy import (
    MAX_SLOW_LINK_WAIT_S,
    MAX_WAIT_S,
    NO_LEADER_WAIT_S,
    REPORT_AFTER_DEMAND_S,
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    SILENT_LEADER_WAIT_S,
)
from rosechute.routing.token_exchange import TokenIssue, TokenRequest
from rosechute.routing.waiting_queue import Decision


def grant(rate: float = 100.0, depth: float = 1000.0, **more: Any) -> LeaseGrant:
    known = {"full_rate_s": 3.0, "late_rate_share": 0.5, "lifetime_s": 5.0}
    return LeaseGrant("t", rate, depth, **(known | more))


class ExchangeTest(unittest.TestCase):
    """Over the link neither side believes in more than the other."""

    def test_report(self) -> None:
        told = LeaseReport("t", 1.5, 2.5, 1.0, 3.5, 4.5, 5.5, 2.0)
        self.assertEqual(LeaseReport.from_message(told.to_message()), told)

    def test_grant(self) -> None:
        told = LeaseGrant("t", 1.5, 2.5, 3.0, 0.5, 5.0, 7, 0.25, 2.0)
        self.assertEqual(LeaseGrant.from_message(told.to_message()), told)

    def test_what_is_held_is_rounded_up_and_what_is_granted_down(self) -> None:
        held = LeaseReport("t", 1.0, 1.0, 1.0001, 0.0, 0.0, 0.0, 1.0009).to_message()
        self.assertEqual((held.lifetime_ms, held.no_lease_ms), (1001, 1000))
        granted = LeaseGrant("t", 1.0, 1.0, 1.0009, 0.5, 1.0009, 0, 1.0009, 1.0009).to_message()
        times = (granted.full_rate_ms, granted.lifetime_ms, granted.deposit_lifetime_ms, granted.no_lease_ms)
        self.assertEqual(times, (1000, 1000, 1000, 1000))


class LeaseTest(unittest.TestCase):
    """A lease fills its bucket from the moment when its report was sent; both end together."""

    def setUp(self) -> None:
        self.lease = RateLease()

    def test_times_count_from_when_the_report_was_sent(self) -> None:
        self.lease.on_grant(1.0, 0.8, grant(no_lease_s=2.0))
        self.assertEqual(
            (self.lease.full_rate_until, self.lease.expires_at, self.lease.no_lease_until), (3.8, 5.8, 2.8)
        )
        self.assertEqual((self.lease.rate, self.lease.late_rate, self.lease.depth), (100.0, 50.0, 1000.0))

    def test_fills_from_the_grant_on(self) -> None:
        self.lease.on_grant(1.0, 0.8, grant())
        self.assertEqual(self.lease.available(1.0), 0)
        self.assertEqual(self.lease.available(2.0), 100)
        self.assertEqual(self.lease.available(4.8), 330, "the later part at the late rate")

    def test_time_does_not_go_back(self) -> None:
        self.lease.on_grant(1.0, 1.0, grant())
        self.lease.advance(2.0)
        self.lease.advance(1.5)
        self.assertEqual(self.lease.available(2.0), 100)

    def test_the_bucket_ends_with_the_lease(self) -> None:
        self.lease.on_grant(0.0, 0.0, grant())
        self.assertGreater(self.lease.available(4.99), 0)
        self.assertEqual(self.lease.available(5.0), 0)
        self.assertEqual((self.lease.rate, self.lease.depth, self.lease.level), (0.0, 0.0, 0.0))

    def test_an_answer_after_the_end_brings_nothing(self) -> None:
        self.lease.on_grant(10.0, 5.0, grant(deposit=7, deposit_lifetime_s=9.0))
        self.assertEqual((self.lease.available(10.0), self.lease.rate), (0, 0.0))

    def test_a_deposit(self) -> None:
        self.lease.on_grant(0.3, 0.0, grant(deposit=70, deposit_lifetime_s=0.4))
        self.assertEqual(self.lease.available(0.3), 70)
        self.lease.on_grant(0.7, 0.3, grant(deposit=70, deposit_lifetime_s=0.4))
        self.assertEqual(self.lease.available(0.7), 110, "void, and what the lease brought")
        self.lease.on_grant(0.8, 0.7, grant(depth=150.0, deposit=70, deposit_lifetime_s=0.4))
        self.assertEqual(self.lease.available(0.8), 150, "no more than the depth")

    def test_a_no_lease_promise_is_not_shortened(self) -> None:
        self.lease.on_grant(0.0, 0.0, grant(0.0, 0.0, no_lease_s=5.0))
        self.lease.on_grant(1.0, 1.0, grant(0.0, 0.0, no_lease_s=0.0))
        self.assertEqual(self.lease.report(1.0, "t", 0.0, 0.0).no_lease_s, 4.0)

    def test_report(self) -> None:
        self.lease.on_grant(0.0, 0.0, grant(no_lease_s=1.5))
        self.assertEqual(
            self.lease.report(1.0, "t", 8.0, 9.0), LeaseReport("t", 100.0, 1000.0, 4.0, 100.0, 8.0, 9.0, 0.5)
        )
        late = self.lease.report(6.0, "t", 8.0, 9.0)
        self.assertEqual((late.rate, late.depth, late.remaining_s, late.no_lease_s), (0.0, 0.0, 0.0, 0.0))

    def test_when_it_covers(self) -> None:
        self.lease.on_grant(0.0, 0.0, grant(depth=390.0))
        self.lease.advance(1.0)
        for tokens, at in ((100, 1.0), (250, 2.5), (300, 3.0), (350, 4.0), (391, math.inf)):
            self.assertEqual(self.lease.covers_at(tokens), at, tokens)
        self.lease.depth = 1000.0
        self.assertEqual(self.lease.covers_at(401), math.inf, "not before its end")
        self.lease.advance(3.5)
        self.assertEqual(self.lease.covers_at(350), 4.0)
        self.lease.late_rate = 0.0
        self.assertEqual(self.lease.covers_at(350), math.inf)
        self.assertEqual(RateLease().covers_at(0), -math.inf)


class TokenCacheTest(unittest.TestCase):
    """Requests get tokens in their order; those that can't have them in time are rejected."""

    def setUp(self) -> None:
        self.cache = TokenCache()
        self.told: list[tuple[str, bool, float]] = []
        self.requests = 0

    def carry_out(self, decisions: list[Decision]) -> None:
        for each in decisions:
            each.on_decision(each.allowed, each.retry_after_s)

    def spend(self, now: float, name: str, tokens: int, tenant: str = "t") -> None:
        def decided(allowed: bool, retry_s: float) -> None:
            self.told.append((name, allowed, round(retry_s, 6)))

        self.carry_out(self.cache.acquire(now, tenant, tokens, decided))

    def request_tokens(self, now: float) -> list[TokenRequest]:
        self.requests += 1
        return self.cache.next_token_requests(now, self.requests)

    def issue(self, now: float, tokens: int, retry_s: float = 0.0, lifetime_s: float = 0.4, number: int = 0) -> None:
        issues = [TokenIssue("t", tokens, lifetime_s, retry_s)]
        self.carry_out(self.cache.on_tokens_issued(now, number or self.requests, issues))

    def tick(self, now: float, leaderless_s: float | None = None) -> None:
        self.carry_out(self.cache.tick(now, leaderless_s))

    def lease(self, now: float, **more: Any) -> None:
        """A lease that is held from now on."""
        self.cache.next_lease_reports(now, 1000)
        self.carry_out(self.cache.on_leases_granted(now, 1000, self.cache.term, [grant(**more)]))

    def names(self) -> list[str]:
        return [name for name, allowed, _ in self.told if allowed]

    def test_waits_for_what_is_asked(self) -> None:
        self.spend(0.0, "a", 5)
        self.assertEqual((self.told, self.cache.has_waiting()), ([], True))
        (ask,) = self.request_tokens(0.0)
        self.assertEqual((ask.tenant, ask.tokens, ask.minimum), ("t", 5, 5))
        self.issue(0.01, 5)
        self.assertEqual((self.told, self.cache.has_waiting()), ([("a", True, 0.0)], False))
        self.assertEqual(self.cache.available_tokens(0.01, "t"), 0)

    def test_tokens_are_spent_once(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 12)
        self.spend(0.02, "b", 5)
        self.assertEqual(self.cache.available_tokens(0.02, "t"), 2)
        self.spend(0.03, "c", 5)
        self.assertEqual(self.names(), ["a", "b"])

    def test_tokens_expire_a_lifetime_after_the_request(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.2, 10)
        self.assertEqual((self.cache.available_tokens(0.39, "t"), self.cache.available_tokens(0.4, "t")), (5, 0))

    def test_tokens_that_come_after_their_life(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.4, 10)
        self.assertEqual((self.cache.available_tokens(0.4, "t"), self.names()), (0, []))

    def test_oldest_tokens_first(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.spend(0.05, "x", 7)
        self.issue(0.06, 9)
        self.request_tokens(0.06)
        self.issue(0.07, 9)
        self.assertEqual(self.names(), ["a", "x"])
        self.assertEqual(self.cache.available_tokens(0.41, "t"), 6)

    def test_in_their_order(self) -> None:
        self.spend(0.0, "large", 50)
        self.spend(0.0, "small", 1)
        self.request_tokens(0.0)
        self.issue(0.01, 10)
        self.assertEqual(self.names(), [])
        self.spend(0.02, "late", 1)
        self.assertEqual(self.names(), [], "nobody overtakes")

    def test_one_token_request_at_a_time(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.spend(0.01, "b", 5)
        self.assertEqual(self.request_tokens(0.01), [])
        (again,) = self.request_tokens(RESPONSE_TIMEOUT_S)
        self.assertEqual((again.tokens >= 10, again.minimum), (True, 5))

    def test_a_new_token_request_after_an_answer(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.spend(0.01, "b", 5)
        self.issue(0.02, 5)
        (ask,) = self.request_tokens(0.02)
        self.assertEqual(ask.minimum, 5)

    def test_available_tokens_are_not_requested_again(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.spend(0.01, "b", 50)
        self.issue(0.02, 15)
        (ask,) = self.request_tokens(0.02)
        self.assertEqual(ask.minimum, 40)

    def test_nothing_is_requested_where_nobody_waits_or_the_bucket_is_empty(self) -> None:
        self.assertEqual(self.request_tokens(0.0), [])
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.1)
        self.assertEqual(self.request_tokens(0.1), [])
        self.assertEqual(len(self.request_tokens(0.12)), 1)

    def test_prefetches_where_that_is_several_requests(self) -> None:
        for step in range(200):
            self.spend(step / 100, f"r{step}", 1)
        self.cache.tick(2.0, None)
        self.assertGreater(self.cache._tenants["t"].demand.prefetch_tokens(2.0), 10)
        self.assertEqual(self.cache._tenants["t"].demand.prefetch_tokens(6.0), 0)
        slow = TokenCache()
        slow.acquire(0.0, "t", 100, lambda *_: None)
        self.assertEqual(slow._tenants["t"].demand.prefetch_tokens(0.0), 0)

    def test_refused_at_once_where_the_leader_has_none_in_time(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.5)
        self.assertEqual(self.told, [("a", False, 0.5)])
        self.spend(0.05, "b", 5)
        self.assertEqual(self.told[1:], [("b", False, 0.46)])
        self.spend(0.05, "smaller", 4)
        self.assertEqual(len(self.told), 2, "the leader was not asked for so few")

    def test_waits_where_the_leader_has_some_soon(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.1)
        self.tick(0.24)
        self.assertEqual(self.told, [])
        self.tick(MAX_WAIT_S)
        self.assertEqual([allowed for _, allowed, _ in self.told], [False])

    def test_given_up_where_the_leader_is_silent(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.tick(SILENT_LEADER_WAIT_S - 0.001)
        self.assertEqual(self.told, [])
        self.tick(SILENT_LEADER_WAIT_S)
        self.assertEqual(self.told, [("a", False, 2.0)])

    def test_given_up_soon_where_there_is_no_leader(self) -> None:
        self.spend(0.0, "a", 5)
        self.tick(NO_LEADER_WAIT_S - 0.001, 1.8)
        self.assertEqual(self.told, [])
        self.tick(NO_LEADER_WAIT_S, 1.8)
        self.assertEqual(self.told, [("a", False, 0.3)])
        self.spend(1.0, "b", 5)
        self.tick(1.1, 0.5)
        self.assertEqual(self.told[1:], [("b", False, 1.5)])

    def test_without_a_leader_nobody_waits_behind_others(self) -> None:
        self.lease_held_with(10)
        self.tick(1.0, 0.1)
        self.spend(1.0, "large", 500)
        self.spend(1.0, "small", 5)
        self.assertEqual(self.names(), ["small"])

    def lease_held_with(self, stored: int) -> None:
        self.spend(0.0, "first", 1)
        self.tick(0.9, None)
        self.told.clear()
        self.lease(1.0, deposit=stored, deposit_lifetime_s=0.4)

    def test_leased_tokens_are_spent_behind_issued_ones(self) -> None:
        self.lease_held_with(10)
        self.spend(1.0, "a", 15)
        self.request_tokens(1.0)
        self.issue(1.01, 8)
        self.assertEqual(self.names(), ["a"])
        self.assertEqual(self.cache.available_tokens(1.01, "t"), 4)

    def test_waits_for_what_the_lease_brings_soon(self) -> None:
        self.lease_held_with(0)
        self.spend(1.0, "a", 18)
        self.assertAlmostEqual(self.cache.next_action_at(0.1), 1.18)
        self.tick(1.17, 0.1)
        self.assertEqual(self.told, [])
        self.tick(1.19, 0.1)
        self.assertEqual(self.names(), ["a"])

    def test_when_to_come_back_where_the_lease_will_cover(self) -> None:
        self.lease_held_with(0)
        self.spend(1.0, "a", 100)
        self.tick(1.0 + NO_LEADER_WAIT_S, 0.1)
        self.assertEqual(self.told, [("a", False, 0.96)])

    def test_a_grant_serves_those_that_wait(self) -> None:
        self.spend(0.0, "a", 5)
        self.lease(0.05, deposit=9, deposit_lifetime_s=0.4)
        told = self.cache.on_leases_granted(0.1, 1000, 0, [grant()])
        self.assertEqual(told, [], "the report was answered")
        self.assertEqual((self.names(), self.cache.available_tokens(0.05, "t")), (["a"], 4))

    def test_tenants_by_themselves(self) -> None:
        self.spend(0.0, "a", 5)
        self.spend(0.0, "b", 5, "u")
        asks = self.request_tokens(0.0)
        self.assertEqual([each.tenant for each in asks], ["t", "u"])
        self.issue(0.01, 5)
        self.assertEqual(self.names(), ["a"])
        self.assertEqual(self.cache.available_tokens(0.0, "nobody"), 0)

    def test_answers_to_nothing_that_was_asked(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 5, number=99)
        self.assertEqual(self.told, [])
        self.issue(0.01, 5)
        self.issue(0.02, 5, number=self.requests)
        self.assertEqual(self.cache.available_tokens(0.02, "t"), 0, "an answer counts once")

    def test_asks_that_were_never_answered_are_forgotten(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.tick(2.0)
        self.assertEqual(len(self.cache._in_flight._sent_at), 1)
        self.tick(2.01)
        self.assertEqual(self.cache._in_flight._sent_at, {})

    def test_patience_follows_the_time_that_answers_take(self) -> None:
        now = 0.0
        for _ in range(40):
            self.spend(now, "a", 5)
            self.request_tokens(now)
            self.issue(now + 0.15, 5)
            now += 1.0
        self.assertAlmostEqual(self.cache._in_flight.timeout_s(RESPONSE_TIMEOUT_S), 0.45, delta=0.01)
        self.told.clear()
        self.spend(now, "b", 5)
        self.request_tokens(now)
        self.tick(now + 0.44)
        self.assertEqual(self.told, [])
        self.tick(now + 0.46)
        self.assertEqual(len(self.told), 1)
        self.cache._in_flight.round_trip_s = 9.0
        self.assertEqual(self.cache._in_flight.timeout_s(RESPONSE_TIMEOUT_S), MAX_SLOW_LINK_WAIT_S)

    def test_patience_with_a_leader_that_has_answered(self) -> None:
        self.cache._in_flight.round_trip_s = 0.15
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.1)
        self.cache._in_flight.round_trip_s = 0.15
        self.tick(0.44)
        self.assertEqual(self.told, [])
        self.tick(0.46)
        self.assertEqual(len(self.told), 1)

    def test_a_leader_that_is_gone_is_not_waited_for(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.1)
        self.tick(0.05, 0.5)
        self.assertEqual(self.told, [("a", False, 1.5)], "what it said of its bucket is void")

    def test_when_to_come_back_to_a_leader_that_said_when(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 0, retry_s=0.29)
        self.told.clear()
        self.spend(0.1, "b", 5)
        self.tick(0.22)
        self.assertEqual(self.told, [("b", False, 0.08)])

    def test_a_smaller_request_waits_on_where_a_larger_one_is_refused(self) -> None:
        self.spend(0.0, "large", 50)
        self.request_tokens(0.0)
        self.spend(0.0, "small", 5)
        self.issue(0.01, 0, retry_s=0.5)
        self.assertEqual(self.told, [("large", False, 0.5)])

    def test_void_tokens_behind_others_that_live_longer(self) -> None:
        self.spend(0.0, "a", 5)
        self.request_tokens(0.0)
        self.issue(0.01, 8, lifetime_s=9.0)
        self.spend(1.0, "b", 10)
        self.request_tokens(1.0)
        self.issue(1.2, 10, lifetime_s=0.1)
        self.assertEqual((self.names(), self.cache.available_tokens(1.2, "t")), (["a"], 3))

    def test_something_is_asked_for_where_the_lease_covers_meanwhile(self) -> None:
        self.lease_held_with(0)
        self.spend(1.0, "a", 18)
        self.request_tokens(1.0)
        (ask,) = self.request_tokens(1.21)
        self.assertEqual((ask.minimum, ask.tokens >= 1), (1, True))

    def test_an_ask_that_asks_for_nothing_is_not_remembered(self) -> None:
        self.request_tokens(0.0)
        self.assertEqual(self.cache._in_flight._sent_at, {})

    def test_when_something_is_due(self) -> None:
        self.assertEqual(self.cache.next_action_at(None), math.inf)
        self.spend(0.0, "a", 5)
        self.assertEqual(self.cache.next_action_at(None), -math.inf, "to be asked for")
        self.assertEqual(self.cache.next_action_at(0.1), NO_LEADER_WAIT_S)
        self.request_tokens(0.0)
        self.assertEqual(self.cache.next_action_at(None), RESPONSE_TIMEOUT_S)
        self.issue(0.01, 0, retry_s=0.2)
        self.assertAlmostEqual(self.cache.next_action_at(None), 0.21)

    # Reports

    def test_reported_while_there_is_demand_or_a_lease(self) -> None:
        self.assertEqual(self.cache.next_report_at(0.0), math.inf)
        self.spend(0.0, "a", 8)
        (told,) = self.cache.next_lease_reports(0.0, 7)
        self.assertEqual((told.tenant, told.demand, told.mean_request_tokens), ("t", 1.0, 8.0))
        self.assertEqual(self.cache.next_report_at(REPORT_AFTER_DEMAND_S - 0.01), REPORT_TIMEOUT_S)
        self.assertEqual(self.cache.next_report_at(REPORT_AFTER_DEMAND_S), math.inf)
        self.lease(2.0)
        self.assertLess(self.cache.next_report_at(6.9), math.inf)
        self.assertEqual(self.cache.next_report_at(7.0), math.inf)

    def test_a_report_of_nothing_is_none(self) -> None:
        self.assertEqual(self.cache.next_lease_reports(0.0, 7), [])
        self.spend(0.1, "a", 8)
        self.assertEqual(len(self.cache.next_lease_reports(0.1, 8)), 1)

    def test_tenants_without_demand_are_not_reported(self) -> None:
        self.spend(0.0, "a", 8, "u")
        self.spend(REPORT_AFTER_DEMAND_S, "b", 8)
        self.assertEqual([each.tenant for each in self.cache.next_lease_reports(REPORT_AFTER_DEMAND_S, 7)], ["t"])

    def test_demand_fades(self) -> None:
        self.spend(0.0, "a", 8)
        (told,) = self.cache.next_lease_reports(3.0, 7)
        self.assertAlmostEqual(told.demand, math.exp(-3.0 / 8.0))
        self.spend(3.0, "b", 16)
        (told,) = self.cache.next_lease_reports(4.0, 8)
        self.assertAlmostEqual(told.demand, (math.exp(-3.0 / 8.0) + 2.0) * math.exp(-1.0 / 8.0))
        self.assertAlmostEqual(told.mean_request_tokens, 8.8)

    def test_reports_are_spaced(self) -> None:
        self.spend(0.0, "a", 8)
        self.cache.next_lease_reports(0.0, 7)
        self.assertEqual(self.cache.next_lease_reports(REPORT_TIMEOUT_S - 0.01, 8), [])
        self.assertEqual(len(self.cache.next_lease_reports(REPORT_TIMEOUT_S, 9)), 1)
        self.cache.on_leases_granted(1.0, 9, 0, [])
        self.assertEqual(self.cache.next_report_at(1.0), REPORT_TIMEOUT_S + REPORT_INTERVAL_S)

    def test_only_the_answer_to_the_newest_report_counts_and_once(self) -> None:
        self.spend(0.0, "a", 8)
        self.cache.next_lease_reports(0.0, 7)
        self.cache.next_lease_reports(1.0, 8)
        self.cache.on_leases_granted(1.1, 7, 0, [grant(deposit=5, deposit_lifetime_s=9.0)])
        self.assertEqual(self.cache.available_tokens(1.1, "t"), 0)
        for _ in range(2):
            self.cache.on_leases_granted(1.1, 8, 0, [grant(deposit=5, deposit_lifetime_s=9.0)])
        self.assertEqual(self.cache.available_tokens(1.1, "t"), 5)
        lease = self.cache._tenants["t"].lease
        self.assertEqual(lease.expires_at, 6.0, "from when the report was sent")

    def test_another_term_is_reported_to_at_once(self) -> None:
        self.spend(0.0, "a", 8)
        self.cache.next_lease_reports(0.0, 7)
        self.cache.on_leases_granted(0.1, 7, 4, [])
        self.assertEqual((self.cache.term, self.cache.next_report_at(0.1)), (4, 0.1))
        self.cache.next_lease_reports(0.1, 8)
        self.cache.on_leases_granted(0.2, 8, 4, [])
        self.assertEqual(self.cache.next_report_at(0.2), 0.1 + REPORT_INTERVAL_S)

    def test_a_leader_of_a_new_term_gets_a_report_at_once_even_an_empty_one(self) -> None:
        self.cache.on_leader_known(1.0, 3)
        self.assertEqual((self.cache.term, self.cache.next_report_at(1.0)), (3, 1.0))
        self.assertEqual(self.cache.next_lease_reports(1.0, 7), [])
        self.assertTrue(self.cache.is_newest_report(7))
        self.assertEqual(self.cache.next_report_at(1.0), 1.0 + REPORT_TIMEOUT_S)
        self.cache.on_leases_granted(1.1, 7, 3, [])
        self.assertEqual(self.cache.next_report_at(1.1), math.inf)

    def test_an_answer_of_another_term_makes_a_report_due_even_an_empty_one(self) -> None:
        self.cache.on_leader_known(1.0, 3)
        self.cache.next_lease_reports(1.0, 7)
        self.cache.on_leases_granted(1.1, 7, 4, [])
        self.assertEqual((self.cache.term, self.cache.next_report_at(1.1)), (4, 1.1))

    def test_the_first_report_to_a_new_leader_passes_on_a_no_lease_promise(self) -> None:
        self.spend(0.0, "a", 8)
        self.cache.next_lease_reports(0.0, 1)
        self.cache.on_leases_granted(0.0, 1, 0, [grant(0.0, 0.0, no_lease_s=9.0)])
        self.assertEqual(self.cache.next_lease_reports(6.0, 2), [], "the leader that promised it knows")
        self.cache.on_leader_known(6.0, 3)
        (report,) = self.cache.next_lease_reports(6.0, 3)
        self.assertEqual((report.tenant, report.rate, report.no_lease_s), ("t", 0.0, 3.0))
        self.cache.on_leader_known(9.0, 4)
        self.assertEqual(self.cache.next_lease_reports(9.0, 4), [], "the promise has expired")

    def test_a_term_that_is_not_newer_makes_no_report_due(self) -> None:
        self.cache.on_leader_known(1.0, 3)
        self.cache.next_lease_reports(1.0, 7)
        for term in (3, 2):
            self.cache.on_leader_known(1.2, term)
            self.assertEqual((self.cache.term, self.cache.next_report_at(1.2)), (3, 1.0 + REPORT_TIMEOUT_S))

    def test_grants_for_tenants_that_are_not_known_here(self) -> None:
        self.spend(0.0, "a", 8)
        self.cache.next_lease_reports(0.0, 7)
        told = LeaseGrant("u", 1.0, 1.0, 3.0, 0.5, 5.0)
        self.assertEqual(self.cache.on_leases_granted(0.1, 7, 0, [told]), [])
        self.request_tokens(0.1)
        self.assertEqual(self.cache.on_tokens_issued(0.1, self.requests, [TokenIssue("u", 5, 0.4, 0.0)]), [])


class TimesTest(unittest.TestCase):
    """The times fit together."""

    def test_an_ask_is_answered_and_repeated_before_its_request_gives_up(self) -> None:
        self.assertLess(RESPONSE_TIMEOUT_S, SILENT_LEADER_WAIT_S)
        self.assertGreater(RESPONSE_TIMEOUT_S, 0.05)
        self.assertLess(SILENT_LEADER_WAIT_S, MAX_WAIT_S)
        self.assertLess(MAX_WAIT_S, MAX_SLOW_LINK_WAIT_S)
        self.assertLess(NO_LEADER_WAIT_S, token_cache_policy.ACCRUAL_WAIT_S)
        self.assertGreater(NO_LEADER_WAIT_S, 0.02)

    def test_reports(self) -> None:
        self.assertLess(REPORT_INTERVAL_S, REPORT_TIMEOUT_S)
        self.assertGreater(REPORT_INTERVAL_S, 0.2)
        self.assertGreater(REPORT_AFTER_DEMAND_S, REPORT_TIMEOUT_S)
        self.assertGreater(token_cache_policy.LEASE_DEMAND_SPAN_S, token_cache_policy.DEMAND_SPAN_S)
        self.assertGreater(token_cache_policy.DEMAND_SPAN_S, 0.5)
        self.assertGreater(token_cache_policy.PREFETCH_S, 0.1)

    def test_when_to_come_back(self) -> None:
        self.assertGreater(token_cache_policy.MIN_RETRY_AFTER_S, 0.2)
        self.assertGreater(token_cache_policy.MIN_LEASE_RETRY_AFTER_S, 0.02)
        self.assertGreater(token_cache_policy.ELECTION_S, 1.0)

"""Each guard that fences what acts for the core outside of it, taken away: a test by name must fail without it.

The table of docs/fleet/guarantees-fencing.md names the same tests.
"""

from __future__ import annotations

import contextlib
import gc
import io
import logging
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from rosechute.control_plane import quota_allocator, rate_leases
from rosechute.control_plane.core_machine import CoreMachine
from rosechute.control_plane.endpoint_list_reader import EndpointListReader
from rosechute.control_plane.quota_service import QuotaService
from rosechute.data_plane.plane import DataPlane
from rosechute.distribution import confirmation, publisher, store
from rosechute.distribution.catch_up import CatchUp
from rosechute.distribution.endpoint_lists import EndpointLists
from rosechute.distribution.leader_search import LeaderSearch
from rosechute.distribution.publisher import Publisher
from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.routing import rate_lease
from rosechute.routing.tenant_tokens import TenantTokens
from rosechute.routing.token_cache import TokenCache
from tests.fleet.distribution_world import setUpModule, tearDownModule  # noqa: F401

Plant = Callable[[], AbstractContextManager[Any]]

MESSAGE_ORDER = "tests.fleet.test_distribution_message_order"
DAYS = "tests.fleet.test_distribution_days"
LEASES = "tests.fleet.test_quota_rate_leases"
READER = "tests.fleet.test_control_endpoint_list_reader.EndpointListReaderTest"
CORE = "tests.fleet.test_control_core_machine.CoreMachineTest"
TERMS = "tests.fleet.test_data_plane_protocol"


def fails(name: str) -> bool:
    """Whether the test of this name fails; it must exist. What it logs or leaves behind is suppressed."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    logging.disable()
    with contextlib.redirect_stderr(io.StringIO()):
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        gc.collect()
    logging.disable(logging.NOTSET)
    if result.testsRun != 1 or result.errors:
        raise LookupError(f"{name}: {result.testsRun} tests, {result.errors}")
    return bool(result.failures)


def lease_is_not_checked_before_an_answer() -> AbstractContextManager[Any]:
    original = CoreMachine._refresh_publisher

    def inform(self: CoreMachine, now: float, replica: Any) -> None:
        with mock.patch.object(replica, "is_leader", lambda at: True):
            original(self, now, replica)

    return mock.patch.object(CoreMachine, "_refresh_publisher", inform)


def reading_of_another_term_counts() -> AbstractContextManager[Any]:
    original = EndpointListReader.__init__

    def initialise(self: EndpointListReader, fetch: Any, rate: Any, held_term: Any, *others: Any) -> None:
        original(self, fetch, rate, lambda: None if held_term() is None else 1, *others)

    return mock.patch.object(EndpointListReader, "__init__", initialise)


def reading_counts_without_the_lease() -> AbstractContextManager[Any]:
    original = EndpointListReader.__init__

    def initialise(self: EndpointListReader, fetch: Any, rate: Any, held_term: Any, *others: Any) -> None:
        original(self, fetch, rate, lambda: 1, *others)

    return mock.patch.object(EndpointListReader, "__init__", initialise)


def lists_of_earlier_terms_are_sent() -> AbstractContextManager[Any]:
    return mock.patch.object(EndpointLists, "sendable", lambda self, topic, is_leader: self._store.get(topic))


def a_follower_grants_tokens() -> AbstractContextManager[Any]:
    def answer(self: Any, now: float, connection: Any, request: Any) -> list[Any]:
        issue = self._on_quota(now, request)
        return [publisher.SendMessage(connection, publisher.pb.Distribution(quota_issue=issue))] if issue else []

    return mock.patch.object(Publisher, "_on_quota_request", answer)


def members_of_an_earlier_term_are_kept() -> AbstractContextManager[Any]:
    original = Publisher.leadership_gained

    def gained(self: Any, now: float, term: int) -> list[Any]:
        kept = self._membership
        told = original(self, now, term)
        self._membership = kept
        return told

    return mock.patch.object(Publisher, "leadership_gained", gained)


def answers_of_older_terms_are_followed() -> AbstractContextManager[Any]:
    def accept_leader(self: LeaderSearch, now: float, address: str, term: int) -> bool:
        self._to_attached(now, address, term)
        return True

    return mock.patch.object(LeaderSearch, "accept_leader", accept_leader)


def announcements_of_older_terms_are_probed() -> AbstractContextManager[Any]:
    def on_leadership_announced(self: LeaderSearch, now: float, address: str, term: int) -> None:
        self._candidate, self._next_at = address, now

    return mock.patch.object(LeaderSearch, "on_leadership_announced", on_leadership_announced)


def unasked_answers_confirm() -> AbstractContextManager[Any]:
    return mock.patch.object(LeaderSearch, "on_answer", lambda self, now, address, request: now)


def confirmed_when_the_answer_came() -> AbstractContextManager[Any]:
    def on_answer(self: Any, sent_at: float, sequence: int, age_s: float) -> None:
        self.confirmed_at = max(self.confirmed_at, sent_at)

    return mock.patch.object(confirmation.Confirmation, "on_answer", on_answer)


def confirmed_whatever_is_applied() -> AbstractContextManager[Any]:
    def on_answer(self: Any, sent_at: float, sequence: int, age_s: float) -> None:
        self.confirmed_at = max(self.confirmed_at, sent_at - age_s)

    return mock.patch.object(confirmation.Confirmation, "on_answer", on_answer)


def a_core_machine_reports_no_age() -> AbstractContextManager[Any]:
    original = Publisher._answer

    def answer(self: Any, now: float, renew: Any) -> Any:
        told = original(self, now, renew)
        told.config_age_ms = 0
        return told

    return mock.patch.object(Publisher, "_answer", answer)


def older_configurations_are_applied() -> AbstractContextManager[Any]:
    def take(self: Any, update: Any) -> UpdateResult:
        configuration = store.decode_configuration(update)
        assert configuration is not None
        self._values[configuration.topic] = configuration
        return UpdateResult.APPLIED

    return mock.patch.object(TopicStore, "apply_configuration", take)


def older_lists_are_applied() -> AbstractContextManager[Any]:
    original = TopicStore.apply_list

    def take(self: Any, update: Any, now: float) -> UpdateResult:
        self._values.pop(f"list/{update.position.service}", None)
        return original(self, update, now)

    return mock.patch.object(TopicStore, "apply_list", take)


def the_edge_forgets_its_lease() -> AbstractContextManager[Any]:
    return mock.patch.object(DataPlane, "_is_lease_valid", lambda self: True)


def token_lifetimes_count_from_the_arrival() -> AbstractContextManager[Any]:
    original = TenantTokens.on_issue

    def on_issue(self: Any, now: float, sent_at: float, issue: Any) -> Any:
        return original(self, now, now, issue)

    return mock.patch.object(TenantTokens, "on_issue", on_issue)


def any_answer_grants() -> AbstractContextManager[Any]:
    original = TokenCache.on_leases_granted

    def granted(self: Any, now: float, request: int, term: int, grants: Any) -> Any:
        return original(self, now, self._reports.newest_request, term, grants)

    return mock.patch.object(TokenCache, "on_leases_granted", granted)


def reports_of_any_term_are_accepted() -> AbstractContextManager[Any]:
    original = QuotaService._renew

    def renew(self: Any, now: float, request: Any, issue: Any) -> None:
        request.term = self._term
        original(self, now, request, issue)

    return mock.patch.object(QuotaService, "_renew", renew)


def overtaken_reports_are_accepted() -> AbstractContextManager[Any]:
    original = quota_allocator.QuotaAllocator.renew

    def renew(self: Any, now: float, owner: Any, number: int, reports: Any) -> Any:
        self._newest_reports.clear()
        return original(self, now, owner, number, reports)

    return mock.patch.object(quota_allocator.QuotaAllocator, "renew", renew)


def a_restarted_edge_is_the_same_owner() -> AbstractContextManager[Any]:
    original = rate_leases.RateLeases.renew

    def renew(self: Any, now: float, owner: Any, report: Any) -> Any:
        return original(self, now, rate_leases.LeaseOwner(owner.edge, 0), report)

    return mock.patch.object(rate_leases.RateLeases, "renew", renew)


def a_new_leader_assumes_that_nothing_is_leased() -> AbstractContextManager[Any]:
    original = quota_allocator.QuotaAllocator.leadership_gained

    def gained(self: Any, now: float, late_rate_from: float, leases_known_at: float) -> None:
        original(self, now, now, now)

    return mock.patch.object(quota_allocator.QuotaAllocator, "leadership_gained", gained)


def a_new_leader_starts_with_full_buckets() -> AbstractContextManager[Any]:
    original = quota_allocator.QuotaAllocator._bucket

    def bucket(self: Any, now: float, tenant: str, limit: Any) -> Any:
        known = tenant in self._buckets
        found = original(self, now, tenant, limit)
        if not known:
            found.level = found.capacity
        return found

    return mock.patch.object(quota_allocator.QuotaAllocator, "_bucket", bucket)


def a_rate_lease_never_ends() -> AbstractContextManager[Any]:
    original = rate_lease.RateLease.advance

    def advance(self: Any, now: float) -> None:
        if self.rate > 0.0:
            self.expires_at = max(self.expires_at, now + 1.0)
        original(self, now)

    return mock.patch.object(rate_lease.RateLease, "advance", advance)


def core_machines_at_new_addresses_are_ignored() -> AbstractContextManager[Any]:
    return mock.patch.object(LeaderSearch, "set_core", lambda self, addresses: None)


def topics_that_are_behind_are_not_fetched() -> AbstractContextManager[Any]:
    return mock.patch.object(CatchUp, "on_newer_position", lambda self, *reported: None)


def peers_are_not_probed() -> AbstractContextManager[Any]:
    return mock.patch.object(LeaderSearch, "set_peers", lambda self, addresses: None)


GUARDS: tuple[tuple[Plant, str], ...] = (
    (
        lease_is_not_checked_before_an_answer,
        f"{CORE}.test_after_lease_expiry_during_suspension_no_answer_as_leader_and_no_tokens",
    ),
    (reading_of_another_term_counts, f"{READER}.test_list_read_in_an_earlier_term_is_discarded"),
    (reading_counts_without_the_lease, f"{READER}.test_list_is_delivered_only_if_the_lease_is_still_held"),
    (
        lists_of_earlier_terms_are_sent,
        f"{MESSAGE_ORDER}.EarlierTermTest.test_a_list_of_an_earlier_term_is_given_to_no_subscriber",
    ),
    (
        lists_of_earlier_terms_are_sent,
        f"{MESSAGE_ORDER}.EarlierTermTest.test_a_list_of_an_earlier_term_is_neither_fetched_nor_reported",
    ),
    (a_follower_grants_tokens, f"{CORE}.test_after_lease_expiry_during_suspension_no_answer_as_leader_and_no_tokens"),
    (
        members_of_an_earlier_term_are_kept,
        f"{MESSAGE_ORDER}.EarlierTermTest.test_the_members_of_an_earlier_term_are_forgotten",
    ),
    (
        answers_of_older_terms_are_followed,
        f"{MESSAGE_ORDER}.LeaderTermTest.test_a_leader_of_an_older_term_is_not_followed",
    ),
    (
        announcements_of_older_terms_are_probed,
        f"{MESSAGE_ORDER}.LeaseChangeTest.test_an_announcement_of_an_older_term_is_not_probed",
    ),
    (
        unasked_answers_confirm,
        f"{MESSAGE_ORDER}.ConfirmationTest.test_a_late_answer_to_an_older_renewal_moves_nothing_forward",
    ),
    (
        confirmed_when_the_answer_came,
        f"{MESSAGE_ORDER}.ConfirmationTest.test_an_answer_confirms_as_of_its_renewal_less_its_age",
    ),
    (
        confirmed_whatever_is_applied,
        f"{MESSAGE_ORDER}.ConfirmationTest.test_nothing_is_confirmed_while_a_newer_one_is_missing",
    ),
    (a_core_machine_reports_no_age, f"{CORE}.test_renewal_answer_of_the_leader"),
    (a_core_machine_reports_no_age, f"{DAYS}.CutOffLeaderTest.test_edges_are_cut_off_with_it"),
    (older_configurations_are_applied, f"{DAYS}.ManyChangesTest.test_hundreds_of_changes_between_losses"),
    (older_lists_are_applied, f"{MESSAGE_ORDER}.ListOrderTest.test_an_older_snapshot_changes_nothing"),
    (the_edge_forgets_its_lease, f"{TERMS}.CredentialTest.test_waiting_request_is_not_sent_after_lease_expiry"),
    (
        token_lifetimes_count_from_the_arrival,
        "tests.fleet.test_distribution_token_cache.TokenCacheTest.test_tokens_expire_a_lifetime_after_the_request",
    ),
    (any_answer_grants, f"{LEASES}.ReportTest.test_only_the_answer_to_the_newest_report_is_applied"),
    (
        reports_of_any_term_are_accepted,
        f"{LEASES}.ReportTest.test_report_of_another_term_is_answered_with_the_term_only",
    ),
    (overtaken_reports_are_accepted, f"{LEASES}.NewLeaderTest.test_outdated_report_is_ignored"),
    (a_restarted_edge_is_the_same_owner, f"{LEASES}.RateLeasesTest.test_restarted_edge_is_another_owner"),
    (
        a_new_leader_assumes_that_nothing_is_leased,
        f"{LEASES}.NewLeaderTest.test_only_the_unleased_part_is_issued_until_leases_are_known",
    ),
    (
        a_new_leader_starts_with_full_buckets,
        f"{LEASES}.NewLeaderTest.test_only_the_unleased_part_is_issued_until_leases_are_known",
    ),
    (a_rate_lease_never_ends, f"{LEASES}.RateLeaseTest.test_expiry_empties_the_bucket"),
    (
        core_machines_at_new_addresses_are_ignored,
        f"{DAYS}.ReplacedTest.test_every_core_machine_is_replaced_and_edges_follow",
    ),
    (
        peers_are_not_probed,
        f"{DAYS}.ReplacedTest.test_an_edge_that_was_away_while_all_were_replaced_asks_its_zone",
    ),
    (topics_that_are_behind_are_not_fetched, "tests.fleet.test_distribution_clusters.HomeTest.test_a_home_dies"),
)


class GuardsTest(unittest.TestCase):
    def test_without_each_guard_a_test_by_name_fails(self) -> None:
        for plant, name in GUARDS:
            with self.subTest(without=plant.__name__, test=name.rsplit(".", 1)[-1]), plant():
                self.assertTrue(fails(name), "nothing failed")


if __name__ == "__main__":
    unittest.main()

"""The publisher: lists are sent under the lease only, and only those read in its term."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.distribution import publisher
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.fan_out import SUBSCRIPTION_S
from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.publisher import Publisher, PublisherState
from rosechute.distribution.topics import CONFIG_TOPIC, Position, list_position
from rosechute.messages import distribution_pb2 as pb
from tests.fleet.distribution_builders import NOW, OTHER, TOPIC, sent, server


class PublisherTest(unittest.TestCase):
    """Lists are sent under the lease only, and only those that were read in its term."""

    def setUp(self) -> None:
        self.quotas: list[Any] = []
        self.publisher = Publisher(lambda now, request: self.quota(request))
        self.issue: pb.QuotaIssue | None = pb.QuotaIssue(request=5)

    def quota(self, request: Any) -> Any:
        self.quotas.append(request)
        return self.issue

    def lead(self, now: float = NOW, term: int = 3) -> Any:
        return self.publisher.leadership_gained(now, term)

    def receive(self, kind: str, body: Any, connection: str = "c1", now: float = NOW) -> Any:
        return self.publisher.receive(now, connection, pb.Distribution(**{kind: body}))

    def renew(self, name: str = "a", connection: str = "c1", now: float = NOW, zone: str = "z", **fields: Any) -> Any:
        known = {"request": 7, "edge": pb.Edge(name=name, zone=zone, address=f"{name}:7501"), "boot": 1}
        return self.receive("renew", pb.Renew(**(known | fields)), connection, now)  # type: ignore[arg-type]

    def answer(self, actions: Any) -> Any:
        ((_, answer),) = sent(actions, "renewed")
        return answer

    def test_a_follower_names_the_leader(self) -> None:
        self.publisher.set_leader_address(OTHER)
        answer = self.answer(self.renew())
        self.assertEqual((answer.request, answer.is_leader, answer.leader), (7, False, OTHER))
        self.assertEqual((answer.config_known, answer.lease_ms), (False, 0))

    def test_a_leader_answers(self) -> None:
        self.lead()
        self.publisher.set_leader_address(OTHER)
        answer = self.answer(self.renew())
        self.assertEqual((answer.is_leader, answer.leader, answer.members_term), (True, "", 3))
        self.assertEqual((answer.lease_ms, answer.edges_total, answer.request), (2000, 0, 7))
        self.assertEqual((answer.members_revision, len(answer.zone_edges)), (0, 0), "not known so early")
        answer = self.answer(self.renew(now=NOW + 1.0))
        self.assertEqual((answer.edges_total, answer.members_revision), (1, 1))
        self.assertEqual([(each.name, each.zone, each.address) for each in answer.zone_edges], [("a", "z", "a:7501")])
        answer = self.answer(self.renew(now=NOW + 1.1, members_term=3, members_revision=1))
        self.assertEqual(len(answer.zone_edges), 0)
        answer = self.answer(self.renew(now=NOW + 1.1, members_term=2, members_revision=1))
        self.assertEqual(len(answer.zone_edges), 1)

    def test_freshness_of_the_configuration(self) -> None:
        self.publisher.update_freshness(NOW, 4, 0.25)
        answer = self.answer(self.renew(now=NOW + 1.0))
        self.assertEqual((answer.config_known, answer.config_sequence, answer.config_age_ms), (True, 4, 1250))
        self.publisher.update_freshness(NOW, 9, 5.0)
        self.assertEqual(self.answer(self.renew()).config_sequence, 4, "an older word changes nothing")
        self.publisher.configuration_committed(NOW, 6, 6, b"body")
        self.assertEqual(self.answer(self.renew()).config_sequence, 6)

    def test_core_machines_are_sent_until_the_digest_matches(self) -> None:
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:2")])
        answer = self.answer(self.renew())
        self.assertEqual([(each.id, each.address, each.control) for each in answer.core], [("x", "x:1", "x:2")])
        self.assertNotEqual(answer.core_digest, 0)
        self.assertEqual(len(self.answer(self.renew(core_digest=answer.core_digest)).core), 0)
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:3")])
        self.assertEqual(len(self.answer(self.renew(core_digest=answer.core_digest)).core), 1)

    def test_searching_edges_are_notified_of_the_new_leader(self) -> None:
        self.renew(connection="old", now=NOW - publisher.SEARCHING_EDGE_S)
        self.renew(connection="c1", now=NOW - 0.5)
        self.renew(connection="gone", now=NOW - 0.5)
        self.publisher.connection_closed(NOW, "gone")
        observed = sent(self.lead(), "renewed")
        self.assertEqual([(to, each.is_leader, each.members_term) for to, each in observed], [("c1", True, 3)])
        self.assertEqual(self.lead(), [], "the same term again")
        self.assertEqual(sent(self.lead(term=4), "renewed"), [], "announced once")

    def test_gaining_the_same_term_twice_changes_nothing(self) -> None:
        self.lead()
        self.renew()
        self.lead(NOW + 0.5)
        self.assertEqual(self.publisher.edges_total(NOW + 1.0), 1)

    def test_a_new_term_knows_no_subscriptions(self) -> None:
        self.lead()
        self.receive("subscribe", pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a")))
        self.lead(term=4)
        self.assertEqual(self.publisher.endpoint_list_read(NOW + 1.0, [server(1)]), [])

    def test_a_new_term_resets_the_membership(self) -> None:
        self.lead()
        self.renew()
        self.assertEqual(self.publisher.edges_total(NOW + 1.0), 1)
        self.lead(NOW + 1.0, 4)
        self.assertEqual((self.publisher.term, self.publisher.edges_total(NOW + 2.0)), (4, 0))

    def test_the_loss_of_leadership_is_announced(self) -> None:
        self.publisher.set_leader_address(OTHER)
        self.assertEqual(self.publisher.leadership_lost(NOW), [])
        self.assertEqual(self.answer(self.renew()).leader, OTHER, "it was no leader")
        self.lead()
        self.renew()
        self.publisher.set_leader_address(OTHER)
        ((to, observed),) = sent(self.publisher.leadership_lost(NOW), "renewed")
        self.assertEqual((to, observed.is_leader, observed.leader), ("c1", False, ""))
        self.assertEqual((self.publisher.state, self.publisher.edges_total(NOW + 2.0)), (PublisherState.FOLLOWER, 0))
        self.assertEqual(self.answer(self.renew()).leader, "", "who leads now is not known")

    def test_quotas_of_the_leader_only(self) -> None:
        self.publisher.set_leader_address(OTHER)
        ((_, observed),) = sent(self.receive("quota_request", pb.QuotaRequest(request=5)), "renewed")
        self.assertEqual((observed.leader, self.quotas), (OTHER, []))
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:2")])
        ((_, observed),) = sent(self.receive("quota_request", pb.QuotaRequest(request=5)), "renewed")
        self.assertNotEqual(observed.core_digest, 0)
        self.lead()
        ((_, issue),) = sent(self.receive("quota_request", pb.QuotaRequest(request=5)), "quota_issue")
        self.assertEqual((issue.request, len(self.quotas)), (5, 1))
        self.issue = None
        self.assertEqual(self.receive("quota_request", pb.QuotaRequest(request=6)), [])

    def test_configurations_go_to_the_homes(self) -> None:
        self.lead()
        for name in "ab":
            self.renew(name, f"c-{name}")
        self.renew("c", "c-c", zone="y")
        observed = sent(self.publisher.configuration_committed(NOW, 1, 4, b"body"), "config")
        self.assertEqual(
            sorted(to for to, _ in observed), ["c-a", "c-b", "c-c"], "to all before the membership is complete"
        )
        observed = sent(self.publisher.configuration_committed(NOW + 1.0, 2, 5, b"body"), "config")
        expected = {f"c-{home_edge(CONFIG_TOPIC, 'ab')}", "c-c"}
        self.assertEqual({to for to, _ in observed}, expected)
        self.assertEqual((observed[0][1].sequence, observed[0][1].version), (2, 5))
        self.assertEqual(self.publisher.configuration_committed(NOW + 1.0, 2, 5, b"body"), [])
        self.assertEqual(self.publisher.configuration_committed(NOW + 1.0, 1, 4, b"body"), [])

    def test_a_follower_publishes_nothing(self) -> None:
        self.assertEqual(self.publisher.configuration_committed(NOW, 1, 4, b"body"), [])
        self.assertEqual(self.publisher.endpoint_list_read(NOW, [server(1)]), [])
        self.assertEqual(self.publisher._store.lists(), [])

    def test_lists_by_term_and_revision(self) -> None:
        self.lead()
        self.renew()
        ((_, first),) = sent(self.publisher.endpoint_list_read(NOW, [server(1)]), "list")
        self.assertEqual((first.position.term, first.position.revision), (3, 1))
        self.assertEqual(self.publisher.endpoint_list_read(NOW, [server(1)]), [], "the same again")
        ((_, second),) = sent(self.publisher.endpoint_list_read(NOW, [server(2)]), "list")
        self.assertEqual((second.position.revision, second.whole), (2, False))
        self.lead(term=4)
        self.renew()
        self.publisher.endpoint_list_read(NOW, [server(2)])
        self.assertEqual(self.publisher._store.position(TOPIC), (4, 1))

    def test_a_service_that_is_not_listed_any_more_is_empty(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.publisher.endpoint_list_read(NOW, [])
        (value,) = self.publisher._store.lists()
        self.assertEqual((value.servers, value.position), ({}, (3, 2)))

    def test_a_service_that_only_edges_know_is_empty_once_the_list_was_read(self) -> None:
        self.lead()
        lists = [list_position("gone", Position(2, 5))]
        self.renew(lists=lists)
        self.assertEqual(self.publisher._store.lists(), [])
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.renew(lists=lists)
        self.assertEqual(self.publisher._store.position("list/gone"), (3, 1))
        self.lead(term=4)
        self.renew(lists=lists)
        self.assertEqual(self.publisher._store.position("list/gone"), (3, 1), "the list was not read in this term")

    def test_a_service_that_is_listed_stays_as_it_was_read(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.renew(lists=[list_position("svc", Position(2, 5))])
        self.renew(lists=[list_position("svc", Position(3, 1))])
        self.assertEqual(self.publisher._store.position(TOPIC), (3, 1))

    def test_lists_are_not_sent_without_the_lease(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.assertEqual(self.receive("fetch", pb.Fetch(topic="list/none")), [])
        self.publisher.leadership_lost(NOW)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC)), [])

    def test_a_follower_accepts_no_subscriptions(self) -> None:
        self.publisher.configuration_committed(NOW, 1, 4, b"body")
        self.assertEqual(self.receive("subscribe", pb.Subscribe(topic=CONFIG_TOPIC, edge=pb.Edge(name="a"))), [])

    def test_lists_of_an_earlier_term_are_not_sent(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.assertEqual(len(self.answer(self.renew()).lists), 1)
        self.assertEqual(len(sent(self.receive("fetch", pb.Fetch(topic=TOPIC)), "list")), 1)
        self.lead(term=4)
        self.assertEqual(len(self.answer(self.renew()).lists), 0)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC), "c2"), [])
        self.publisher.leadership_lost(NOW)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC), "c3"), [])

    def test_the_configuration_is_fetched_from_anybody(self) -> None:
        self.publisher.configuration_committed(NOW, 1, 4, b"body")
        ((_, observed),) = sent(self.receive("fetch", pb.Fetch(topic=CONFIG_TOPIC)), "config")
        self.assertEqual(observed.sequence, 1)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic="list/none")), [])

    def test_a_fetch_is_not_answered_twice_while_the_snapshot_is_in_flight(self) -> None:
        self.publisher.configuration_committed(NOW, 1, 4, b"body")

        def fetched(now: float, connection: str = "c1") -> int:
            return len(sent(self.receive("fetch", pb.Fetch(topic=CONFIG_TOPIC), connection, now), "config"))

        self.assertEqual((fetched(NOW), fetched(NOW + 1.99), fetched(NOW + 2.0)), (1, 0, 1))
        self.assertEqual(fetched(NOW + 2.0, "c2"), 1)
        self.publisher.configuration_committed(NOW, 2, 5, b"body")
        self.assertEqual((fetched(NOW + 2.1), fetched(NOW + 2.1, "c2")), (1, 1))
        self.publisher.tick(NOW + 2.1)
        self.publisher.connection_closed(NOW + 2.1, "c1")
        self.assertEqual((fetched(NOW + 2.2), fetched(NOW + 2.2, "c2")), (1, 0))
        self.publisher.tick(NOW + 5.0)
        self.assertEqual(self.publisher._recent_fetches._sent, {})

    def test_edges_whose_home_fails_follow_the_leader(self) -> None:
        self.receive("subscribe", pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a")))
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        subscribe = pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a"))
        ((to, observed),) = sent(self.receive("subscribe", subscribe), "list")
        self.assertEqual((to, observed.position.revision), ("c1", 1))
        for name in "bcd":
            self.renew(name, f"c-{name}")
        observed = sent(self.publisher.endpoint_list_read(NOW + 1.0, [server(2)]), "list")
        self.assertIn("c1", [to for to, _ in observed])
        subscribe.list.CopyFrom(list_position("svc", Position(3, 2)))
        self.assertEqual(self.receive("subscribe", subscribe), [], "it holds what there is")

    def test_a_subscription_gets_nothing_of_an_earlier_term(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.lead(term=4)
        self.assertEqual(self.receive("subscribe", pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a"))), [])

    def test_silent_edges_end(self) -> None:
        self.lead()
        self.renew()
        self.publisher.tick(NOW + 1.9)
        self.assertEqual(self.publisher.edges_total(NOW + 1.9), 1)
        self.publisher.tick(NOW + 2.0)
        self.assertEqual(self.publisher.edges_total(NOW + 2.0), 0)
        self.publisher.tick(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.publisher._fan_out.connections(), [])


if __name__ == "__main__":
    unittest.main()

"""The subscriber: answers to renewals, updates, fetches, and the relay to the zone."""

from __future__ import annotations

import math
import unittest
from typing import Any

from rosechute.distribution.actions import ConfigurationChanged, DialedLink, EdgesTotalChanged, ServersChanged
from rosechute.distribution.fan_out import SUBSCRIPTION_S
from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.home_subscriptions import SubscriptionState
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION, Position, list_position
from rosechute.distribution.values import Configuration
from rosechute.messages import distribution_pb2 as pb
from tests.fleet.distribution_builders import LEADER, NOW, OTHER, THIRD, TOPIC, edge, listed, sent, server


class SubscriberTest(unittest.TestCase):
    """An edge: what it holds never goes back, answers of earlier terms change nothing, news are passed on."""

    def setUp(self) -> None:
        self.edge = Subscriber(NOW, edge("me"), 7, [LEADER, OTHER, THIRD])
        self.asked: dict[str, int] = {}
        self.tick(NOW)

    def tick(self, now: float) -> list[Any]:
        return self.noted(self.edge.tick(now))

    def noted(self, actions: list[Any]) -> list[Any]:
        for connection, renew in sent(actions, "renew"):
            self.asked[connection.address] = renew.request
        return actions

    def receive(self, kind: str, body: Any, now: float = NOW, connection: Any = DialedLink(LEADER)) -> list[Any]:  # noqa: B008
        return self.noted(self.edge.receive(now, connection, pb.Distribution(**{kind: body})))

    def renewed(self, now: float = NOW, address: str = LEADER, **fields: Any) -> list[Any]:
        known = {"request": self.asked.get(address, 0), "is_leader": True, "members_term": 3, "config_known": True}
        return self.receive("renewed", pb.Renewed(**(known | fields)), now, DialedLink(address))

    def config(self, sequence: int, connection: Any = DialedLink(LEADER), now: float = NOW) -> list[Any]:  # noqa: B008
        update = (
            Configuration.from_body(sequence, sequence + 10, b"body %d" % sequence)
            .update_message(NO_POSITION, now)
            .config
        )
        return self.receive("config", update, now, connection)

    def test_fields_of_a_renewal(self) -> None:
        self.renewed(
            core=[pb.CoreMachine(address="x:1")],
            core_digest=9,
            zone_edges=[pb.Edge(name="me", zone="z")],
            members_revision=4,
        )
        self.config(2)
        self.receive("list", listed(server(1)).update_message(NO_POSITION, NOW).list)
        self.edge.leave(NOW + 0.1)
        ((to, renew),) = sent(self.tick(NOW + 0.1), "renew")
        self.assertEqual(to, DialedLink(LEADER))
        self.assertEqual((renew.edge.name, renew.edge.zone, renew.edge.address), ("me", "z", "me:7501"))
        self.assertEqual((renew.boot, renew.config_sequence, renew.leaving), (7, 2, True))
        self.assertEqual([(each.service, each.term, each.revision) for each in renew.lists], [("svc", 3, 1)])
        self.assertEqual((renew.members_term, renew.members_revision, renew.core_digest), (3, 4, 9))
        self.assertIn("x:1", self.edge.addresses())

    def test_confirmed_by_answers_to_its_own_renewals_only(self) -> None:
        self.renewed(request=99, config_age_ms=0)
        self.assertEqual(self.edge.confirmed_at, -math.inf)
        self.renewed(NOW + 0.2, config_age_ms=300)
        self.assertEqual(self.edge.confirmed_at, NOW - 0.3)
        self.setUp()
        self.renewed(config_known=False)
        self.assertEqual(self.edge.confirmed_at, -math.inf)
        self.setUp()
        self.renewed(is_leader=False, address=OTHER)
        self.assertEqual(self.edge.confirmed_at, NOW, "any core machine may confirm")

    def test_answers_that_came_on_another_link(self) -> None:
        answer = pb.Renewed(request=self.asked[LEADER], is_leader=True, members_term=3)
        self.receive("renewed", answer, NOW, "inbound")
        self.assertFalse(self.edge.is_attached)

    def test_a_leader_of_an_earlier_term_is_not_followed(self) -> None:
        self.renewed(members_term=3)
        self.assertEqual((self.edge.is_attached, self.edge.leader), (True, LEADER))
        self.renewed(address=OTHER, members_term=2, edges_total=9)
        self.assertEqual((self.edge.leader, self.edge.edges_total), (LEADER, 0))

    def test_the_number_of_edges(self) -> None:
        self.assertEqual(self.renewed(edges_total=4)[0], EdgesTotalChanged(4))
        self.tick(NOW + 0.4)
        self.assertEqual(self.renewed(NOW + 0.4, edges_total=4), [])
        self.tick(NOW + 0.8)
        self.renewed(NOW + 0.8, edges_total=0)
        self.assertEqual(self.edge.edges_total, 4, "not known is no number")

    def test_configurations_never_go_back(self) -> None:
        self.assertEqual(self.config(2)[0], ConfigurationChanged(2, 12, b"body 2"))
        for sequence in (2, 1):
            self.assertEqual(self.config(sequence), [])
        self.assertEqual(self.edge.position(CONFIG_TOPIC), (0, 2))
        self.renewed(config_sequence=2, config_age_ms=0)
        self.assertEqual(self.edge.confirmed_at, NOW)

    def test_lists_never_go_back(self) -> None:
        (changed,) = self.receive("list", listed(server(1), position=(3, 2)).update_message(NO_POSITION, NOW).list)
        self.assertEqual(changed, ServersChanged("svc", (3, 2), (server(1),)))
        self.assertEqual(self.receive("list", listed(position=(3, 1)).update_message(NO_POSITION, NOW).list), [])
        self.assertEqual(self.receive("list", listed(position=(2, 9)).update_message(NO_POSITION, NOW).list), [])
        self.assertEqual(self.edge.positions(), {TOPIC: (3, 2)})

    def test_a_gap_is_repaired_by_fetching_a_snapshot(self) -> None:
        update = listed(server(1), position=(3, 2)).update_message(NO_POSITION, NOW).list
        update.whole, update.base_revision = False, 1
        ((to, fetch),) = sent(self.receive("list", update), "fetch")
        self.assertEqual((to, fetch.topic), (DialedLink(LEADER), TOPIC))

    def test_updates_are_relayed_to_subscribers(self) -> None:
        self.receive("list", listed(server(1)).update_message(NO_POSITION, NOW).list)
        subscribe = pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="b"))
        actions = self.receive("subscribe", subscribe, connection="b")
        ((to, answer),) = sent(actions, "subscribed")
        self.assertEqual((to, answer.topic, answer.list.revision), ("b", TOPIC, 1))
        self.assertEqual([to for to, _ in sent(actions, "list")], ["b"])
        value = listed(server(2), position=(3, 2)).update_message(NO_POSITION, NOW).list
        self.assertEqual([to for to, _ in sent(self.receive("list", value), "list")], ["b"])
        self.edge.connection_closed(NOW, "b")
        value = listed(server(3), position=(3, 3)).update_message(NO_POSITION, NOW).list
        self.assertEqual(sent(self.receive("list", value), "list"), [])

    def test_subscriptions_to_the_configuration(self) -> None:
        self.config(2)
        subscribe = pb.Subscribe(topic=CONFIG_TOPIC, edge=pb.Edge(name="b"), config_sequence=1)
        actions = self.receive("subscribe", subscribe, connection="b")
        self.assertEqual(sent(actions, "subscribed")[0][1].config_sequence, 2)
        self.assertEqual(len(sent(actions, "config")), 1)
        subscribe.config_sequence = 2
        self.assertEqual(sent(self.receive("subscribe", subscribe, connection="c"), "config"), [])

    def test_fetched_here(self) -> None:
        self.config(2)
        ((to, observed),) = sent(self.receive("fetch", pb.Fetch(topic=CONFIG_TOPIC), connection="b"), "config")
        self.assertEqual((to, observed.sequence), ("b", 2))
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC), connection="b"), [])

    def test_a_newer_reported_position_is_fetched(self) -> None:
        fetches = sent(self.renewed(config_sequence=5), "fetch")
        self.assertEqual([(to, each.topic) for to, each in fetches], [(DialedLink(LEADER), CONFIG_TOPIC)])
        self.config(4)
        self.assertEqual(len(sent(self.tick(NOW + 0.5), "fetch")), 1)
        self.config(5)
        self.assertEqual(sent(self.tick(NOW + 9.0), "fetch"), [])

    def test_the_configuration_is_fetched_from_the_core_machines_in_turn(self) -> None:
        observed = sent(self.renewed(address=OTHER, is_leader=False, config_sequence=5), "fetch")
        asked = [to for to, _ in observed]
        for step in range(1, 60):
            asked += [to for to, _ in sent(self.tick(NOW + step / 10), "fetch")]
        self.assertEqual(asked[:5], [DialedLink(each) for each in (OTHER, OTHER, LEADER, LEADER, OTHER)])

    def test_a_home_has_a_short_time_to_bring_it(self) -> None:
        self.renewed()
        self.config(4)
        self.tick(NOW + 0.4)
        self.assertEqual(sent(self.renewed(NOW + 0.4, config_sequence=5), "fetch"), [])
        self.assertEqual(sent(self.tick(NOW + 0.54), "fetch"), [])
        self.assertEqual(len(sent(self.tick(NOW + 0.56), "fetch")), 1)

    def test_lists_are_fetched_from_the_leader_only(self) -> None:
        observed = self.renewed(lists=[list_position("svc", Position(3, 1))])
        self.assertEqual([to for to, _ in sent(observed, "fetch")], [DialedLink(LEADER)])
        self.edge.connection_closed(NOW, DialedLink(LEADER))
        self.assertEqual(sent(self.tick(NOW + 0.6), "fetch"), [])

    def test_the_home_of_its_zone_is_followed(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(CONFIG_TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        ((to, subscribe),) = sent(self.renewed(zone_edges=edges, members_revision=2), "subscribe")
        self.assertEqual(
            (to, subscribe.topic, subscribe.edge.name), (DialedLink(f"{other}:7501"), CONFIG_TOPIC, "me")
        )
        self.assertIn(f"{other}:7501", self.edge.addresses())
        self.config(3, DialedLink(f"{other}:7501"))
        self.assertIs(self.edge.subscription_state(CONFIG_TOPIC), SubscriptionState.SUBSCRIBED)
        observed = sent(self.edge.connection_closed(NOW, DialedLink(f"{other}:7501")), "subscribe")
        self.assertEqual([(to, each.config_sequence) for to, each in observed], [(DialedLink(LEADER), 3)])
        self.tick(NOW + 0.4)
        again = sent(self.renewed(NOW + 0.4, members_term=4), "subscribe")
        self.assertEqual([to for to, _ in again], [DialedLink(LEADER)], "another leader knows nothing of it")

    def test_one_subscription_at_the_leader_per_term_where_a_home_fails(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(CONFIG_TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.renewed(zone_edges=edges, members_revision=2)
        self.edge.connection_closed(NOW, DialedLink(f"{other}:7501"))
        self.tick(NOW + 0.4)
        self.assertEqual(sent(self.renewed(NOW + 0.4), "subscribe"), [])

    def test_a_subscription_to_a_list_reports_the_position_held(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.receive("list", listed(server(1)).update_message(NO_POSITION, NOW).list)
        observed = sent(self.renewed(zone_edges=edges, members_revision=2), "subscribe")
        (asked,) = [each for _, each in observed if each.topic == TOPIC]
        self.assertEqual((asked.list.service, asked.list.term, asked.list.revision), ("svc", 3, 1))

    def test_no_fetch_while_a_subscription_at_the_home_is_in_flight(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(CONFIG_TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.assertEqual(sent(self.renewed(zone_edges=edges, members_revision=2, config_sequence=4), "fetch"), [])

    def test_the_answer_of_a_home(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(CONFIG_TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.renewed(zone_edges=edges, members_revision=2)
        answer = pb.Subscribed(topic=CONFIG_TOPIC)
        self.receive("subscribed", answer, connection="inbound")
        self.assertIs(self.edge.subscription_state(CONFIG_TOPIC), SubscriptionState.SUBSCRIBING)
        self.receive("subscribed", answer, connection=DialedLink(f"{other}:7501"))
        self.assertIs(self.edge.subscription_state(CONFIG_TOPIC), SubscriptionState.SUBSCRIBED)

    def test_since_when_there_is_no_leader(self) -> None:
        self.assertEqual(self.edge.leaderless_since(), NOW)
        self.renewed()
        self.assertIsNone(self.edge.leaderless_since())
        self.tick(NOW + 0.4)
        self.tick(NOW + 0.95)
        self.assertEqual((self.edge.is_attached, self.edge.leaderless_since()), (False, None))
        self.tick(NOW + 2.0)
        self.assertAlmostEqual(self.edge.leaderless_since() or 0.0, NOW + 1.65)

    def test_a_leader_that_announces_itself_is_probed_at_once(self) -> None:
        actions = self.receive("renewed", pb.Renewed(is_leader=True, members_term=3), NOW + 0.05, DialedLink(THIRD))
        self.assertFalse(self.edge.is_attached)
        self.assertEqual(sent(actions, "renew")[0][0], DialedLink(THIRD))

    def test_an_answer_that_comes_twice(self) -> None:
        self.renewed()
        self.renewed()
        self.assertTrue(self.edge.is_attached)

    def test_an_unasked_answer_of_a_follower_is_not_followed_by_a_probe(self) -> None:
        for request, leads in ((0, False), (99, True)):
            self.setUp()
            body = pb.Renewed(request=request, is_leader=leads, members_term=3)
            self.assertEqual(sent(self.receive("renewed", body, NOW + 0.05, DialedLink(THIRD)), "renew"), [])

    def test_core_machines_come_from_the_leader_once_it_is_known(self) -> None:
        self.renewed(core=[pb.CoreMachine(address="x:1")], core_digest=9)
        self.renewed(address=OTHER, is_leader=False, core=[pb.CoreMachine(address="y:1")])
        self.tick(NOW + 0.4)
        self.renewed(NOW + 0.4)
        self.assertIn("x:1", self.edge.addresses())
        self.assertNotIn("y:1", self.edge.addresses())

    def test_every_other_fetch_of_the_configuration_goes_to_the_reporting_machine(self) -> None:
        self.renewed()
        observed = self.renewed(address=OTHER, is_leader=False, config_sequence=5)
        self.assertEqual([to for to, _ in sent(observed, "fetch")], [DialedLink(LEADER)])
        self.assertEqual([to for to, _ in sent(self.tick(NOW + 0.5), "fetch")], [DialedLink(OTHER)])

    def test_a_machine_that_is_not_the_leader(self) -> None:
        observed = self.renewed(
            NOW + 0.01, OTHER, is_leader=False, leader=THIRD, core=[pb.CoreMachine(address="x:1")]
        )
        self.assertEqual(sent(observed, "renew")[0][0], DialedLink(THIRD))
        self.assertIn("x:1", self.edge.addresses())

    def test_an_edge_does_not_probe_itself(self) -> None:
        zone = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in ("b", "me", "c")]
        self.renewed(zone_edges=zone, members_revision=1)
        self.edge.connection_closed(NOW + 0.1, DialedLink(LEADER))
        asked = [to.address for step in range(40) for to, _ in sent(self.tick(NOW + 0.1 + step / 10), "renew")]
        self.assertEqual(set(asked), {LEADER, OTHER, THIRD, "b:7501", "c:7501"})

    def test_a_searching_peer_gets_the_leader_while_attached(self) -> None:
        """Nothing else: an edge knows of no freshness, and an old leader's name would lead astray."""

        def answers(now: float) -> list[Any]:
            return sent(self.receive("renew", pb.Renew(request=9), now, "peer"), "renewed")

        self.assertEqual(answers(NOW), [])
        self.renewed(config_age_ms=0)
        self.assertEqual(answers(NOW + 0.1), [("peer", pb.Renewed(request=9, leader=LEADER))])
        self.edge.connection_closed(NOW + 0.2, DialedLink(LEADER))
        self.assertEqual(answers(NOW + 0.2), [], "the last leader is remembered, and does not answer")

    def test_when_it_is_to_be_called(self) -> None:
        self.assertAlmostEqual(self.edge.next_wake(), NOW + 0.1)
        self.renewed()
        self.assertAlmostEqual(self.edge.next_wake(), NOW + 0.4)

    def test_messages_of_a_later_kind(self) -> None:
        self.assertEqual(self.edge.receive(NOW, DialedLink(LEADER), pb.Distribution()), [])

    def test_followers_that_are_silent_end(self) -> None:
        subscribe = pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="b"))
        self.receive("subscribe", subscribe, connection="b")
        self.tick(NOW + SUBSCRIPTION_S + 1.1)
        value = listed(server(2), position=(3, 2)).update_message(NO_POSITION, NOW).list
        self.assertEqual(sent(self.receive("list", value, NOW + 6.2), "list"), [])


if __name__ == "__main__":
    unittest.main()

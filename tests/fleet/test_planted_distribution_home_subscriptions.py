"""Subscriptions at home edges, and at the leader while a home fails."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from rosechute.distribution import home_subscriptions
from rosechute.distribution.fan_out import SUBSCRIPTION_S
from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.home_subscriptions import HomeSubscriptions, SubscriptionRequest, SubscriptionState
from tests.fleet.distribution_builders import NOW, TOPIC, edge


class HomeSubscriptionsTest(unittest.TestCase):
    """One state for each topic; a home that fails is left alone for a while."""

    def setUp(self) -> None:
        self.homes = HomeSubscriptions("me")
        self.homes.add_topic(NOW, TOPIC)
        self.home = edge(next(name for name in ("a", "b", "c", "d") if home_edge(TOPIC, [name, "me"]) == name))

    def with_home(self) -> None:
        self.homes.set_zone_edges(NOW, [edge("me"), self.home])

    def test_the_leader_sends_by_itself_where_no_home_is_known(self) -> None:
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.LOCAL)
        self.assertEqual((self.homes.due(NOW), self.homes.next_due()), ([], math.inf))
        self.homes.set_zone_edges(NOW, [edge("me")])
        self.assertEqual((self.homes.state(TOPIC), self.homes.zone_size()), (SubscriptionState.LOCAL, 1))

    def test_subscribes_at_the_home(self) -> None:
        self.with_home()
        self.assertEqual(
            (self.homes.state(TOPIC), self.homes.next_due()),
            (SubscriptionState.SUBSCRIBING, -math.inf),
        )
        self.assertEqual(self.homes.addresses(), {self.home.address})
        self.assertEqual(self.homes.due(NOW), [SubscriptionRequest(TOPIC, self.home.address)])
        self.assertEqual((self.homes.due(NOW), self.homes.next_due()), ([], NOW + 0.5))
        self.homes.on_home_message(NOW + 0.1, TOPIC, "elsewhere")
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.SUBSCRIBING)
        self.homes.on_home_message(NOW + 0.1, "list/unknown", self.home.address)
        self.homes.on_home_message(NOW + 0.1, TOPIC, self.home.address)
        self.assertEqual(
            (self.homes.state(TOPIC), self.homes.next_due()),
            (SubscriptionState.SUBSCRIBED, NOW + 2.1),
        )

    def test_renews_the_subscription_in_time(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.homes.on_home_message(NOW, TOPIC, self.home.address)
        self.assertEqual(self.homes.due(NOW + 1.99), [])
        self.assertEqual(self.homes.due(NOW + 2.0), [SubscriptionRequest(TOPIC, self.home.address)])
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.SUBSCRIBING)
        self.assertLess(home_subscriptions.RESUBSCRIBE_S + home_subscriptions.HOME_TIMEOUT_S, SUBSCRIPTION_S)

    def test_a_silent_home_is_left_for_the_leader_for_a_while(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.assertEqual(self.homes.due(NOW + 0.49), [])
        self.assertEqual(self.homes.due(NOW + 0.5), [SubscriptionRequest(TOPIC, None)])
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.DIRECT)
        self.homes.on_home_message(NOW + 0.6, TOPIC, self.home.address)
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.DIRECT)
        self.assertEqual(self.homes.due(NOW + 2.49), [])
        self.assertEqual(self.homes.due(NOW + 2.5), [SubscriptionRequest(TOPIC, self.home.address)])

    def test_a_link_that_ended(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.homes.on_home_message(NOW, TOPIC, self.home.address)
        self.homes.on_home_failure(NOW, "elsewhere")
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.SUBSCRIBED)
        self.homes.on_home_failure(NOW, self.home.address)
        self.assertIs(self.homes.state(TOPIC), SubscriptionState.DIRECT)
        self.homes.due(NOW)
        self.homes.on_home_failure(NOW + 1.0, self.home.address)
        self.assertEqual(self.homes.next_due(), NOW + 2.0, "suspected once")

    def test_direct_subscriptions_are_renewed_at_a_new_leader(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.homes.on_leader_changed()
        self.assertEqual(self.homes.due(NOW), [])
        self.homes.on_home_failure(NOW, self.home.address)
        self.homes.due(NOW)
        self.homes.on_leader_changed()
        self.assertEqual(self.homes.due(NOW), [SubscriptionRequest(TOPIC, None)])

    def test_other_members(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.homes.set_zone_edges(NOW, [edge("me"), self.home])
        self.assertEqual(self.homes.due(NOW), [], "the same home is not asked again")
        moved = replace(self.home, address="moved:1")
        self.homes.set_zone_edges(NOW, [edge("me"), moved])
        self.assertEqual(self.homes.due(NOW), [SubscriptionRequest(TOPIC, "moved:1")])
        self.homes.set_zone_edges(NOW, [edge("me")])
        self.assertEqual((self.homes.state(TOPIC), self.homes.addresses()), (SubscriptionState.LOCAL, set()))
        self.assertEqual((self.homes.due(NOW + 9), self.homes.next_due()), ([], math.inf))

    def test_a_pending_request_is_dropped_with_its_home(self) -> None:
        self.with_home()
        self.homes.set_zone_edges(NOW, [edge("me")])
        self.assertEqual(self.homes.due(NOW), [])

    def test_a_topic_is_added_once(self) -> None:
        self.with_home()
        self.homes.due(NOW)
        self.homes.add_topic(NOW, TOPIC)
        self.assertEqual(self.homes.due(NOW), [])
        self.homes.add_topic(NOW, "list/new")
        self.assertIn(self.homes.state("list/new"), (SubscriptionState.SUBSCRIBING, SubscriptionState.LOCAL))


if __name__ == "__main__":
    unittest.main()

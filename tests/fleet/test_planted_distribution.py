"""The parts of the distribution one by one: nothing goes back or is told under an old term, nobody is missed."""

from __future__ import annotations

import math
import unittest
import zlib
from dataclasses import replace
from typing import Any

from rosechute.distribution import catch_up, home_subscriptions, leader_search, membership, publisher
from rosechute.distribution.actions import (
    ConfigurationChanged,
    DialedLink,
    EdgesTotalChanged,
    SendMessage,
    ServersChanged,
)
from rosechute.distribution.catch_up import CatchUp
from rosechute.distribution.confirmation import PENDING_LIMIT, Confirmation
from rosechute.distribution.fan_out import SUBSCRIPTION_S, FanOut
from rosechute.distribution.hints import HINT_LIFETIME_S, Hints
from rosechute.distribution.home_edges import home_edge, rendezvous_weight
from rosechute.distribution.home_subscriptions import HomeSubscriptions, SubscriptionRequest, SubscriptionState
from rosechute.distribution.leader_search import LeaderSearch, SearchState
from rosechute.distribution.membership import EdgeIdentity, Membership
from rosechute.distribution.publisher import CoreAddress, Publisher, PublisherState
from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.values import (
    CONFIG_TOPIC,
    NO_POSITION,
    Configuration,
    ListedServer,
    decode_configuration,
    decode_servers,
    is_unchanged,
    list_position,
    list_topic,
    next_service_list,
    reported_positions,
    service_of,
    topic_position,
)
from rosechute.messages import distribution_pb2 as pb

NOW = 1000.0
TOPIC = list_topic("svc")
LEADER, OTHER, THIRD = "10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500"


def server(number: int, **fields: Any) -> ListedServer:
    known = {"zone": "z", "slots": 4, "ready": True}
    return ListedServer(f"i-{number}", "svc", f"10.3.0.{number}:80", **(known | fields))


def edge(name: str, zone: str = "z") -> EdgeIdentity:
    return EdgeIdentity(name, zone, f"{name}:7501")


def listed(*servers: ListedServer, position: tuple[int, int] = (3, 1), old: Any = None) -> Any:
    return next_service_list(old, "svc", position, servers, NOW)


def sent(actions: Any, kind: str) -> list[tuple[Any, Any]]:
    """Connection and body of each message of a kind."""
    sends = [(each.connection, each.message) for each in actions if isinstance(each, SendMessage)]
    return [(to, getattr(message, kind)) for to, message in sends if message.WhichOneof("body") == kind]


class ValuesTest(unittest.TestCase):
    """Values go over links unchanged, whole or as their changes."""

    def test_configuration(self) -> None:
        value = Configuration.from_body(4, 7, b"body" * 50)
        update = value.update_message(NO_POSITION, NOW).config
        self.assertEqual((update.sequence, update.version), (4, 7))
        self.assertEqual(decode_configuration(update), value)
        self.assertEqual((value.topic, value.position), (CONFIG_TOPIC, (0, 4)))

    def test_a_body_that_is_cut_or_broken(self) -> None:
        whole = zlib.compress(b"body" * 50)
        for body in (whole[:-3], b"nonsense", b""):
            self.assertIsNone(decode_configuration(pb.ConfigUpdate(sequence=1, version=1, body=body)))

    def test_servers(self) -> None:
        cold = server(1, cold_until=NOW + 2.5, zone="y", slots=9, ready=False)
        value = listed(cold, server(2))
        update = value.update_message(NO_POSITION, NOW).list
        self.assertEqual((update.position, update.whole), (list_position("svc", (3, 1)), True))
        self.assertEqual(decode_servers(update, NOW), [cold, server(2)])
        self.assertEqual(decode_servers(update, NOW + 1.0)[0].cold_until, NOW + 3.5, "by the clock of the receiver")
        self.assertEqual(value.update_message(NO_POSITION, NOW + 9.0).list.servers[0].cold_remaining_ms, 0)

    def test_changes_against_the_base_only(self) -> None:
        old = listed(server(1), server(2))
        value = listed(server(2), server(3), position=(3, 2), old=old)
        self.assertEqual((value.base, value.changed, value.removed), ((3, 1), (server(3),), ("i-1",)))
        delta = value.update_message((3, 1), NOW).list
        self.assertEqual((delta.whole, delta.base_revision), (False, 1))
        self.assertEqual(([each.id for each in delta.servers], list(delta.removed)), (["i-3"], ["i-1"]))
        for held in (NO_POSITION, (2, 1), (3, 0)):
            whole = value.update_message(held, NOW).list
            self.assertEqual((whole.whole, whole.base_revision, len(whole.servers)), (True, 0, 2), held)
            self.assertEqual(list(whole.removed), [])

    def test_no_changes_across_terms(self) -> None:
        value = listed(server(1), position=(4, 1), old=listed(server(1)))
        self.assertEqual(value.base, NO_POSITION)
        self.assertTrue(value.update_message((3, 1), NOW).list.whole)

    def test_servers_that_are_the_same_keep_their_entry(self) -> None:
        first = server(1, cold_until=NOW + 2.0)
        old = listed(first)
        value = listed(replace(first, cold_until=NOW + 2.1), position=(3, 2), old=old)
        self.assertIs(value.servers["i-1"], first)
        self.assertTrue(is_unchanged(value))
        self.assertFalse(is_unchanged(listed(position=(3, 2), old=old)))
        self.assertFalse(is_unchanged(listed(server(1), server(2), position=(3, 2), old=old)))

    def test_a_message_is_encoded_once_for_a_moment(self) -> None:
        value = listed(server(1, cold_until=NOW + 2.0))
        self.assertIs(value.update_message(NO_POSITION, NOW), value.update_message(NO_POSITION, NOW))
        self.assertEqual(value.update_message(NO_POSITION, NOW + 1.0).list.servers[0].cold_remaining_ms, 1000)

    def test_positions_in_messages(self) -> None:
        renew = pb.Renew(config_sequence=4, lists=[list_position("svc", (3, 2))])
        self.assertEqual(reported_positions(renew), {CONFIG_TOPIC: (0, 4), TOPIC: (3, 2)})
        self.assertEqual(topic_position(pb.Subscribe(topic=CONFIG_TOPIC, config_sequence=4)), (0, 4))
        subscribe = pb.Subscribe(topic=TOPIC, list=list_position("svc", (3, 2)))
        self.assertEqual(topic_position(subscribe), (3, 2))
        self.assertEqual(service_of(TOPIC), "svc")


class StoreTest(unittest.TestCase):
    """Nothing that is held ever goes back."""

    def setUp(self) -> None:
        self.store = TopicStore()

    def take(
        self, position: tuple[int, int], *servers: ListedServer, base: int = 0, removed: Any = ()
    ) -> UpdateResult:
        whole = not base
        message = listed(*servers, position=position).update_message(NO_POSITION, NOW).list
        message.whole, message.base_revision = whole, base
        message.removed.extend(removed)
        return self.store.apply_list(message, NOW)

    def held(self) -> list[str]:
        found = self.store.service_list("svc")
        assert found is not None
        return sorted(found.servers)

    def test_newer_configurations_only(self) -> None:
        for sequence, taken in (
            (2, UpdateResult.APPLIED),
            (2, UpdateResult.STALE),
            (1, UpdateResult.STALE),
            (3, UpdateResult.APPLIED),
        ):
            update = (
                Configuration.from_body(sequence, sequence, b"body %d" % sequence)
                .update_message(NO_POSITION, NOW)
                .config
            )
            self.assertIs(self.store.apply_configuration(update), taken)
        found = self.store.configuration()
        assert found is not None
        self.assertEqual((found.sequence, found.body), (3, b"body 3"))

    def test_a_broken_configuration(self) -> None:
        self.assertIs(self.store.apply_configuration(pb.ConfigUpdate(sequence=9, body=b"x")), UpdateResult.INVALID)
        self.assertIsNone(self.store.configuration())

    def test_newer_lists_only_by_term_first(self) -> None:
        cases = (
            ((3, 5), UpdateResult.APPLIED),
            ((3, 5), UpdateResult.STALE),
            ((3, 4), UpdateResult.STALE),
            ((2, 9), UpdateResult.STALE),
        )
        for position, taken in (*cases, ((4, 1), UpdateResult.APPLIED)):
            self.assertIs(self.take(position, server(position[1])), taken, position)
        self.assertEqual((self.held(), self.store.position(TOPIC)), (["i-1"], (4, 1)))

    def test_changes_to_what_is_held(self) -> None:
        self.take((3, 1), server(1), server(2), server(3))
        self.assertIs(self.take((3, 2), server(2, slots=9), server(4), base=1, removed=["i-1"]), UpdateResult.APPLIED)
        found = self.store.service_list("svc")
        assert found is not None
        self.assertEqual(sorted(found.servers), ["i-2", "i-3", "i-4"])
        self.assertEqual(found.servers["i-2"].slots, 9)

    def test_old_changes_are_no_gap(self) -> None:
        self.take((3, 3), server(1))
        self.assertIs(self.take((3, 2), server(2), base=1), UpdateResult.STALE)

    def test_changes_to_something_else_are_a_gap(self) -> None:
        self.assertIs(self.take((3, 2), server(1), base=1), UpdateResult.GAP)
        self.take((3, 1), server(1))
        self.assertIs(self.take((3, 3), server(2), base=2), UpdateResult.GAP)
        self.assertIs(self.take((4, 2), server(2), base=1), UpdateResult.GAP)
        self.assertEqual(self.held(), ["i-1"])

    def test_a_list_without_a_service(self) -> None:
        self.assertIs(self.store.apply_list(pb.ListUpdate(whole=True), NOW), UpdateResult.INVALID)

    def test_values(self) -> None:
        value = listed(server(1))
        self.assertIs(self.store.put(value), UpdateResult.APPLIED)
        self.assertIs(self.store.put(listed(position=(2, 9))), UpdateResult.STALE)
        self.assertEqual((self.store.lists(), self.store.topics()), ([value], [TOPIC]))
        self.assertEqual(self.store.position("list/other"), NO_POSITION)


class ConfirmationTest(unittest.TestCase):
    """Confirmed is only what the configuration in force covers, as of the older of two moments."""

    def setUp(self) -> None:
        self.confirmation = Confirmation()

    def test_as_of_the_sending_less_the_age(self) -> None:
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.told(NOW, 0, 0.25)
        self.assertEqual(self.confirmation.confirmed_at, NOW - 0.25)

    def test_never_goes_back(self) -> None:
        self.confirmation.told(NOW, 0, 0.0)
        self.confirmation.told(NOW, 0, 5.0)
        self.assertEqual(self.confirmation.confirmed_at, NOW)

    def test_a_newer_configuration_has_to_be_held_first(self) -> None:
        self.confirmation.told(NOW, 2, 0.0)
        self.confirmation.told(NOW + 1, 2, 0.0)
        self.confirmation.told(NOW + 1, 2, 9.0)
        self.confirmation.told(NOW + 2, 3, 0.0)
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.held(2)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 1)
        self.confirmation.held(1)
        self.confirmation.told(NOW + 1.5, 2, 0.0)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 1.5)
        self.confirmation.told(NOW - 5, 4, 0.0)
        self.confirmation.held(4)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 2)
        self.assertEqual(self.confirmation._pending, {})

    def test_the_newest_are_kept(self) -> None:
        for sequence in range(1, PENDING_LIMIT + 3):
            self.confirmation.told(NOW + sequence, sequence, 0.0)
        self.assertEqual(len(self.confirmation._pending), PENDING_LIMIT)
        self.confirmation.held(2)
        self.assertEqual(self.confirmation.confirmed_at, -math.inf)
        self.confirmation.held(3)
        self.assertEqual(self.confirmation.confirmed_at, NOW + 3)


class HintsTest(unittest.TestCase):
    def test_taken_once(self) -> None:
        hints = Hints()
        hints.put("a", "x", NOW)
        hints.put("a", "y", NOW)
        hints.put("b", "x", NOW)
        self.assertEqual((hints.take("a"), hints.take("a"), hints.take("b")), (["x", "y"], [], ["x"]))

    def test_old_ones_end(self) -> None:
        hints = Hints()
        hints.put("a", "x", NOW)
        hints.put("a", "y", NOW + 1)
        hints.expire(NOW + HINT_LIFETIME_S - 0.1)
        self.assertEqual(len(hints._missed["a"]), 2)
        hints.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(hints.take("a"), ["y"])
        hints.put("a", "x", NOW)
        hints.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(hints._missed, {})
        self.assertGreater(HINT_LIFETIME_S, SUBSCRIPTION_S)


class FanOutTest(unittest.TestCase):
    """Each target gets what it lacks; what may be lost with a connection is handed over on the next one."""

    def setUp(self) -> None:
        self.store = TopicStore()
        self.fan_out = FanOut(self.store)
        self.store.put(listed(server(1)))

    def spoke(self, name: str = "a", connection: str = "c1", now: float = NOW, **told: Any) -> list[Any]:
        return sent(self.fan_out.spoke(now, name, connection, {TOPIC: told["held"]} if told else {}), "list")

    def publish(self, *names: str, now: float = NOW) -> list[Any]:
        return sent(self.fan_out.publish(now, TOPIC, names), "list")

    def advance(self, revision: int) -> None:
        old = self.store.service_list("svc")
        self.store.put(listed(server(revision), position=(3, revision), old=old))

    def test_sent_once(self) -> None:
        self.spoke()
        self.assertEqual([to for to, _ in self.publish("a")], ["c1"])
        self.assertEqual(self.publish("a"), [])
        self.advance(2)
        ((_, update),) = self.publish("a")
        self.assertFalse(update.whole, "the changes to what was sent")

    def test_not_what_it_holds_already(self) -> None:
        self.spoke(held=(3, 1))
        self.assertEqual(self.publish("a"), [])
        self.spoke("b", "c2", held=(9, 1))
        self.assertEqual(self.publish("b"), [])

    def test_handed_over_to_those_that_could_not_be_reached(self) -> None:
        self.assertEqual(self.publish("a"), [])
        ((to, _),) = self.spoke()
        self.assertEqual(to, "c1")
        self.assertEqual(self.spoke(), [])

    def test_what_was_not_told_back_is_handed_over_on_another_connection(self) -> None:
        self.spoke()
        self.publish("a")
        ((to, update),) = self.spoke(connection="c2")
        self.assertEqual((to, update.whole), ("c2", True))

    def test_what_was_told_back_is_not(self) -> None:
        self.spoke()
        self.publish("a")
        self.spoke(held=(3, 1))
        self.assertEqual(self.spoke(connection="c2"), [])

    def test_a_connection_that_closed(self) -> None:
        self.spoke()
        self.spoke("b", "c2")
        self.publish("a", "b")
        self.fan_out.connection_closed(NOW, "c1")
        self.assertEqual(self.fan_out.connections(), ["c2"])
        self.advance(2)
        self.assertEqual([to for to, _ in self.publish("a", "b")], ["c2"])
        self.assertEqual([to for to, _ in self.spoke(connection="c3")], ["c3"])

    def test_subscriptions_end(self) -> None:
        self.fan_out.subscribe(NOW, TOPIC, "a")
        self.fan_out.subscribe(NOW + 1, TOPIC, "b")
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["a", "b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S - 0.1)
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["a", "b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S + 1)
        self.assertEqual((self.fan_out.subscribers(TOPIC), self.fan_out._subscribed), ([], {}))

    def test_silent_targets_are_forgotten_and_what_they_missed_is_kept(self) -> None:
        self.spoke()
        self.publish("a")
        self.fan_out.expire(NOW + SUBSCRIPTION_S - 0.1)
        self.assertEqual(self.fan_out.connections(), ["c1"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.connections(), [])
        self.assertEqual(len(self.spoke(now=NOW + 6.0)), 1)

    def test_speaking_keeps_a_target(self) -> None:
        self.spoke()
        self.spoke(now=NOW + 4.0)
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.connections(), ["c1"])

    def test_old_hints_end(self) -> None:
        self.publish("a")
        self.fan_out.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(self.spoke(now=NOW + HINT_LIFETIME_S), [])

    def test_cleared(self) -> None:
        self.spoke()
        self.publish("b")
        self.fan_out.subscribe(NOW, TOPIC, "a")
        self.fan_out.clear()
        self.assertEqual((self.fan_out.connections(), self.fan_out.subscribers(TOPIC)), ([], []))
        self.assertEqual(self.spoke("b"), [])

    def test_nothing_without_a_value(self) -> None:
        self.spoke()
        self.assertEqual(self.fan_out.publish(NOW, "list/other", ["a"]), [])


class CatchUpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.behind = CatchUp()

    def test_fetched_ever_more_rarely_until_held(self) -> None:
        self.behind.told("x", (0, 4), LEADER, NOW)
        self.assertEqual(self.behind.next_due(), NOW)
        times = []
        for step in range(0, 700):
            for topic, source, attempt in self.behind.due(NOW + step / 100):
                self.assertEqual((topic, source, attempt), ("x", LEADER, len(times)))
                times.append(step / 100)
        self.assertEqual(times, [0.0, 0.5, 1.5, 3.5, 5.5])
        self.behind.held("x", (0, 3))
        self.assertLess(self.behind.next_due(), math.inf)
        self.behind.held("x", (0, 4))
        self.assertEqual(self.behind.next_due(), math.inf)
        self.behind.held("x", (0, 4))

    def test_newer_news_of_another_begins_anew(self) -> None:
        self.behind.told("x", (0, 4), LEADER, NOW)
        self.behind.due(NOW)
        self.behind.told("x", (0, 4), OTHER, NOW)
        self.assertEqual(self.behind.due(NOW + 0.5), [("x", LEADER, 1)])
        self.behind.told("x", (0, 5), OTHER, NOW + 9.0)
        self.assertEqual(self.behind.due(NOW + 1.5), [("x", OTHER, 0)])
        self.behind.held("x", (0, 4))
        self.assertLess(self.behind.next_due(), math.inf)

    def test_times(self) -> None:
        self.assertGreater(catch_up.PATIENCE_S, 0.05)
        self.assertGreater(catch_up.PATIENCE_PER_EDGE_S, 0.0)


class MembershipTest(unittest.TestCase):
    """Edges live by their leases; nothing is told of them before all have had the time to renew."""

    def setUp(self) -> None:
        self.members = Membership(NOW)

    def renew(self, name: str, zone: str = "z", now: float = NOW, boot: int = 1, leaving: bool = False) -> bool:
        return self.members.renew(now, edge(name, zone), boot, leaving)

    def test_settled_after_a_while(self) -> None:
        self.renew("a")
        self.assertEqual((self.members.settled(NOW + 0.99), self.members.total(NOW + 0.99)), (False, 0))
        self.assertEqual((self.members.settled(NOW + 1.0), self.members.total(NOW + 1.0)), (True, 1))
        self.assertGreater(membership.MEMBERSHIP_GRACE_S, 2 * membership.RENEW_INTERVAL_S)
        self.assertGreater(membership.MEMBERSHIP_LEASE_S, 3 * membership.RENEW_INTERVAL_S)

    def test_new_or_started_anew(self) -> None:
        self.assertEqual([self.renew("a"), self.renew("a"), self.renew("a", boot=2)], [True, False, True])

    def test_leases_end(self) -> None:
        self.assertIsNone(self.members.next_expiry())
        self.renew("a")
        self.renew("b", now=NOW + 1)
        self.assertEqual(self.members.next_expiry(), NOW + 2.0)
        self.assertEqual(self.members.expire(NOW + 1.99), [])
        before = self.members.revision("z")
        self.assertEqual(self.members.expire(NOW + 2.0), ["a"])
        self.assertEqual((self.members.names(), self.members.revision("z")), (["b"], before + 1))

    def test_each_change_of_a_zone_counts(self) -> None:
        revisions = [self.members.revision("z")]
        for change in (
            lambda: self.renew("a"),
            lambda: self.renew("a", leaving=True),
            lambda: self.members.renew(NOW, EdgeIdentity("a", "z", "moved"), 1, True),
        ):
            change()
            revisions.append(self.members.revision("z"))
        self.assertEqual(revisions, [0, 1, 2, 3])
        self.members.renew(NOW, EdgeIdentity("a", "z", "moved"), 1, True)
        self.assertEqual(self.members.revision("z"), 3)
        self.renew("a", "y")
        self.assertEqual((self.members.revision("z"), self.members.revision("y")), (4, 1))

    def test_who_leaves_is_counted_and_no_home(self) -> None:
        self.renew("a")
        self.renew("b", leaving=True)
        self.renew("c", "y")
        self.assertEqual(self.members.zones(), {"z": ["a"], "y": ["c"]})
        self.assertEqual(self.members.zone_edges("z"), [edge("a")])
        self.assertEqual((self.members.names(), self.members.total(NOW + 1)), (["a", "b", "c"], 3))


class HomesTest(unittest.TestCase):
    def test_the_same_home_whatever_the_order(self) -> None:
        names = [f"edge-{number}" for number in range(8)]
        for topic in ("x", "y", "z"):
            found = home_edge(topic, names)
            self.assertEqual(found, home_edge(topic, names[::-1]))
            self.assertEqual(found, max(names, key=lambda name, topic=topic: rendezvous_weight(topic, name)))  # type: ignore[misc]
            self.assertEqual(
                home_edge(topic, [name for name in names if name != "edge-0" or found == "edge-0"]), found
            )
        self.assertIsNone(home_edge("x", []))
        self.assertGreater(len({home_edge(f"topic-{number}", names) for number in range(40)}), 4)


class HomeLinksTest(unittest.TestCase):
    """One state for each topic; a home that fails is left alone for a while."""

    def setUp(self) -> None:
        self.links = HomeSubscriptions("me")
        self.links.add(NOW, TOPIC)
        self.home = edge(next(name for name in ("a", "b", "c", "d") if home_edge(TOPIC, [name, "me"]) == name))

    def with_home(self) -> None:
        self.links.members(NOW, [edge("me"), self.home])

    def test_the_leader_sends_by_itself_where_no_home_is_known(self) -> None:
        self.assertIs(self.links.state(TOPIC), SubscriptionState.LOCAL)
        self.assertEqual((self.links.due(NOW), self.links.next_due()), ([], math.inf))
        self.links.members(NOW, [edge("me")])
        self.assertEqual((self.links.state(TOPIC), self.links.zone_size()), (SubscriptionState.LOCAL, 1))

    def test_asks_the_home_and_follows_it(self) -> None:
        self.with_home()
        self.assertEqual((self.links.state(TOPIC), self.links.next_due()), (SubscriptionState.SUBSCRIBING, -math.inf))
        self.assertEqual(self.links.addresses(), {self.home.address})
        self.assertEqual(self.links.due(NOW), [SubscriptionRequest(TOPIC, self.home.address)])
        self.assertEqual((self.links.due(NOW), self.links.next_due()), ([], NOW + 0.5))
        self.links.answered(NOW + 0.1, TOPIC, "elsewhere")
        self.assertIs(self.links.state(TOPIC), SubscriptionState.SUBSCRIBING)
        self.links.answered(NOW + 0.1, "list/unknown", self.home.address)
        self.links.answered(NOW + 0.1, TOPIC, self.home.address)
        self.assertEqual((self.links.state(TOPIC), self.links.next_due()), (SubscriptionState.SUBSCRIBED, NOW + 2.1))

    def test_asks_again_in_time(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.links.answered(NOW, TOPIC, self.home.address)
        self.assertEqual(self.links.due(NOW + 1.99), [])
        self.assertEqual(self.links.due(NOW + 2.0), [SubscriptionRequest(TOPIC, self.home.address)])
        self.assertIs(self.links.state(TOPIC), SubscriptionState.SUBSCRIBING)
        self.assertLess(home_subscriptions.RESUBSCRIBE_S + home_subscriptions.HOME_SILENCE_S, SUBSCRIPTION_S)

    def test_a_silent_home_is_left_for_the_leader_for_a_while(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.assertEqual(self.links.due(NOW + 0.49), [])
        self.assertEqual(self.links.due(NOW + 0.5), [SubscriptionRequest(TOPIC, None)])
        self.assertIs(self.links.state(TOPIC), SubscriptionState.DIRECT)
        self.links.answered(NOW + 0.6, TOPIC, self.home.address)
        self.assertIs(self.links.state(TOPIC), SubscriptionState.DIRECT)
        self.assertEqual(self.links.due(NOW + 2.49), [])
        self.assertEqual(self.links.due(NOW + 2.5), [SubscriptionRequest(TOPIC, self.home.address)])

    def test_a_link_that_ended(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.links.answered(NOW, TOPIC, self.home.address)
        self.links.failed(NOW, "elsewhere")
        self.assertIs(self.links.state(TOPIC), SubscriptionState.SUBSCRIBED)
        self.links.failed(NOW, self.home.address)
        self.assertIs(self.links.state(TOPIC), SubscriptionState.DIRECT)
        self.links.due(NOW)
        self.links.failed(NOW + 1.0, self.home.address)
        self.assertEqual(self.links.next_due(), NOW + 2.0, "suspected once")

    def test_another_leader_is_asked_again(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.links.leader_found(NOW)
        self.assertEqual(self.links.due(NOW), [])
        self.links.failed(NOW, self.home.address)
        self.links.due(NOW)
        self.links.leader_found(NOW)
        self.assertEqual(self.links.due(NOW), [SubscriptionRequest(TOPIC, None)])

    def test_other_members(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.links.members(NOW, [edge("me"), self.home])
        self.assertEqual(self.links.due(NOW), [], "the same home is not asked again")
        moved = replace(self.home, address="moved:1")
        self.links.members(NOW, [edge("me"), moved])
        self.assertEqual(self.links.due(NOW), [SubscriptionRequest(TOPIC, "moved:1")])
        self.links.members(NOW, [edge("me")])
        self.assertEqual((self.links.state(TOPIC), self.links.addresses()), (SubscriptionState.LOCAL, set()))
        self.assertEqual((self.links.due(NOW + 9), self.links.next_due()), ([], math.inf))

    def test_what_was_to_be_asked_of_a_home_that_is_gone_is_not_asked(self) -> None:
        self.with_home()
        self.links.members(NOW, [edge("me")])
        self.assertEqual(self.links.due(NOW), [])

    def test_a_topic_is_added_once(self) -> None:
        self.with_home()
        self.links.due(NOW)
        self.links.add(NOW, TOPIC)
        self.assertEqual(self.links.due(NOW), [])
        self.links.add(NOW, "list/new")
        self.assertIn(self.links.state("list/new"), (SubscriptionState.SUBSCRIBING, SubscriptionState.LOCAL))


class LeaderSearchTest(unittest.TestCase):
    """Attached: renewals at the leader. Searching: the others in turn, the one that was named first."""

    def setUp(self) -> None:
        self.search = LeaderSearch(NOW, [LEADER, OTHER, THIRD, LEADER])

    def attach(self, now: float = NOW, address: str = LEADER, term: int = 3) -> None:
        asked = dict(self.search.due(now))
        self.search.answered(now, address, asked.get(address, 0))
        self.assertTrue(self.search.is_leader(now, address, term))

    def test_asks_two_at_once_in_turn(self) -> None:
        asked = [[address for address, _ in self.search.due(NOW + step / 10)] for step in range(3)]
        self.assertEqual(asked, [[LEADER, OTHER], [THIRD, LEADER], [OTHER, THIRD]])
        self.assertEqual(self.search.due(NOW + 0.25), [])
        self.assertAlmostEqual(self.search.next_due(), NOW + 0.3)

    def test_renews_at_the_leader_by_its_rhythm(self) -> None:
        self.attach()
        self.assertEqual((self.search.state, self.search.leader, self.search.term), (SearchState.ATTACHED, LEADER, 3))
        self.assertEqual(self.search.due(NOW + 0.39), [])
        self.assertEqual([address for address, _ in self.search.due(NOW + 0.4)], [LEADER])
        self.assertAlmostEqual(self.search.next_due(), NOW + 0.8)

    def test_answers_count_once_and_for_their_address(self) -> None:
        asked = dict(self.search.due(NOW))
        self.assertIsNone(self.search.answered(NOW, OTHER, asked[LEADER]))
        self.assertIsNone(self.search.answered(NOW, LEADER, 99))
        self.assertEqual(self.search.answered(NOW + 0.1, LEADER, asked[LEADER]), NOW)
        self.assertIsNone(self.search.answered(NOW + 0.1, LEADER, asked[LEADER]))

    def test_an_answer_settles_the_older_ones_of_its_address(self) -> None:
        first = dict(self.search.due(NOW))
        second = dict(self.search.due(NOW + 0.1))
        self.search.answered(NOW + 0.2, LEADER, second[LEADER])
        self.assertIsNone(self.search.answered(NOW + 0.2, LEADER, first[LEADER]))
        self.assertEqual(self.search.answered(NOW + 0.2, OTHER, first[OTHER]), NOW)

    def test_a_leader_of_an_earlier_term_is_none(self) -> None:
        self.attach(term=3)
        self.assertFalse(self.search.is_leader(NOW, OTHER, 2))
        self.assertEqual(self.search.leader, LEADER)
        self.assertTrue(self.search.is_leader(NOW, OTHER, 4))
        self.assertEqual((self.search.leader, self.search.term), (OTHER, 4))

    def test_a_silent_leader_is_sought_and_may_still_answer(self) -> None:
        self.attach()
        self.search.due(NOW + 0.4)
        self.assertEqual(self.search.due(NOW + 0.79), [])
        self.search.due(NOW + 0.8)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.assertEqual(self.search.next_due(), NOW + 0.9)
        asked = self.search.due(NOW + 0.9)
        self.assertIs(self.search.state, SearchState.SEARCHING)
        self.assertEqual(len(asked), 2)
        self.assertAlmostEqual(self.search.leaderless_since, NOW + 0.9 + leader_search.SILENT_GRACE_S)
        self.assertAlmostEqual(self.search.next_due(), NOW + 1.0)

    def test_a_slow_leader_that_answers_steadily_is_not_silent(self) -> None:
        self.attach()
        ((_, first),) = self.search.due(NOW + 0.4)
        ((_, second),) = self.search.due(NOW + 0.8)
        self.search.answered(NOW + 0.85, LEADER, first)
        self.search.is_leader(NOW + 0.85, LEADER, 3)
        self.assertEqual(self.search._silent_at(), NOW + 1.35)
        self.search.answered(NOW + 0.9, LEADER, second)
        self.assertEqual(self.search._silent_at(), math.inf)

    def test_not_the_leader_any_more(self) -> None:
        self.attach()
        self.search.not_leader(NOW + 0.1, OTHER, THIRD)
        self.assertIs(self.search.state, SearchState.ATTACHED, "another one says so")
        self.search.not_leader(NOW + 0.2, LEADER, THIRD)
        self.assertEqual((self.search.state, self.search.leaderless_since), (SearchState.SEARCHING, NOW + 0.2))
        self.assertEqual(self.search.due(NOW + 0.2)[0][0], THIRD, "the one that is named comes first")

    def test_named_by_itself_or_by_nobody(self) -> None:
        self.search.due(NOW)
        self.search.not_leader(NOW + 0.01, OTHER, THIRD)
        self.assertEqual(self.search.next_due(), NOW + 0.01)
        self.search.due(NOW + 0.01)
        self.search.not_leader(NOW + 0.02, THIRD, "")
        self.assertIsNone(self.search._named)
        self.search.not_leader(NOW + 0.02, THIRD, THIRD)
        self.assertIsNone(self.search._named)
        self.search.not_leader(NOW + 0.05, OTHER, THIRD)
        self.assertGreater(self.search.next_due(), NOW + 0.1, "it was asked just now")

    def test_told_unasked(self) -> None:
        self.search.due(NOW)
        self.search.leads_now(NOW + 0.01, OTHER, 5)
        self.assertEqual(self.search.due(NOW + 0.01)[0][0], OTHER)
        self.attach(NOW + 0.2, THIRD, 5)
        self.assertIsNone(self.search._named)
        self.search.leads_now(NOW + 0.3, OTHER, 6)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.search.closed(NOW + 0.3, THIRD)
        self.search.closed(NOW + 0.4, THIRD)
        self.assertEqual(self.search.leaderless_since, NOW + 0.3, "it was sought already")
        self.search.due(NOW + 0.3)
        self.search.leads_now(NOW + 0.31, OTHER, 4)
        self.assertIsNone(self.search._named, "of an earlier term")

    def test_a_link_that_ended(self) -> None:
        asked = dict(self.search.due(NOW))
        self.search.closed(NOW, LEADER)
        self.assertIsNone(self.search.answered(NOW, LEADER, asked[LEADER]))
        self.assertEqual(self.search.answered(NOW, OTHER, asked[OTHER]), NOW)
        self.search.not_leader(NOW, OTHER, THIRD)
        self.search.closed(NOW, THIRD)
        self.assertIsNone(self.search._named)
        self.attach(NOW + 0.2)
        self.search.closed(NOW + 0.2, OTHER)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.search.closed(NOW + 0.2, LEADER)
        self.assertEqual((self.search.state, self.search.leaderless_since), (SearchState.SEARCHING, NOW + 0.2))

    def test_who_was_named_stays_named_whatever_others_say(self) -> None:
        self.search.due(NOW)
        self.search.not_leader(NOW + 0.01, OTHER, THIRD)
        self.search.not_leader(NOW + 0.01, LEADER, "")
        self.search.closed(NOW + 0.01, LEADER)
        for step in range(4):
            asked = [address for address, _ in self.search.due(NOW + 0.01 + step)]
            self.assertEqual((asked[0], len(set(asked))), (THIRD, 2), "each one once")

    def test_renews_ahead_of_its_rhythm(self) -> None:
        self.attach()
        self.search.renew_now(NOW + 0.1)
        self.search.is_leader(NOW + 0.1, LEADER, 3)
        self.assertEqual([address for address, _ in self.search.due(NOW + 0.1)], [LEADER])

    def test_addresses(self) -> None:
        self.assertEqual((self.search.addresses(), self.search.knows_core()), ([LEADER, OTHER, THIRD], False))
        self.search.set_core(["x:1", OTHER, "x:1"])
        self.assertEqual(self.search.addresses(), ["x:1", OTHER, LEADER, THIRD])
        self.assertTrue(self.search.knows_core())
        self.search.set_seeds([THIRD, THIRD])
        self.assertEqual(self.search.addresses(), ["x:1", OTHER, THIRD])
        self.search.not_leader(NOW, OTHER, "y:1")
        self.assertEqual(self.search.addresses()[0], "y:1")

    def test_old_renewals_are_not_waited_for(self) -> None:
        asked = dict(self.search.due(NOW))
        self.search.due(NOW + 10.1)
        self.assertIsNone(self.search.answered(NOW + 10.1, LEADER, asked[LEADER]))
        for number in range(200):
            self.search.not_leader(NOW + 11 + number, OTHER, f"n{number}:1")
            self.search.due(NOW + 11 + number)
        self.assertLess(len(self.search._asked), 100)

    def peers_asked(self, now: float) -> list[str]:
        """The edges of the zone that are asked at a moment."""
        return [address for address, _ in self.search.due(now) if address in self.search.peers()]

    def test_edges_of_the_zone_are_asked_in_turn_where_the_core_is_not_found(self) -> None:
        self.search.set_peers(["b:1", "c:1"])
        asked = [self.peers_asked(NOW + step) for step in (0.5, 1.45, 1.6, 1.75, 1.85, 1.95, 2.06, 2.27)]
        self.assertEqual(asked, [[], [], ["c:1"], [], ["b:1"], [], ["c:1"], ["b:1"]])

    def test_edges_of_the_zone_are_not_asked_again_before_their_interval_once_the_leader_was_lost_again(self) -> None:
        """The time without a leader counts from its last loss, and not from the last question."""
        self.search.set_peers(["b:1", "c:1"])
        self.assertEqual(self.peers_asked(NOW + 1.6), ["c:1"])
        self.attach(NOW + 1.75)
        self.search.closed(NOW + 2.0, LEADER)
        asked = [self.peers_asked(NOW + step) for step in (2.0, 3.45, 3.6, 3.75)]
        self.assertEqual(asked, [[], [], ["b:1"], []])

    def test_edges_of_the_zone_are_not_asked_while_the_leader_answers(self) -> None:
        self.search.set_peers(["b:1", "c:1"])
        self.attach()
        for step in range(1, 11):
            asked = self.search.due(NOW + 0.4 * step)
            self.assertEqual([address for address, _ in asked], [LEADER])
            self.search.answered(NOW + 0.4 * step, *asked[0])
            self.search.is_leader(NOW + 0.4 * step, LEADER, 3)


class PublisherTest(unittest.TestCase):
    """Lists are told under the lease only, and only those that were read in its term."""

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

    def test_the_core_is_told_until_it_is_known(self) -> None:
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:2")])
        answer = self.answer(self.renew())
        self.assertEqual([(each.id, each.address, each.control) for each in answer.core], [("x", "x:1", "x:2")])
        self.assertNotEqual(answer.core_digest, 0)
        self.assertEqual(len(self.answer(self.renew(core_digest=answer.core_digest)).core), 0)
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:3")])
        self.assertEqual(len(self.answer(self.renew(core_digest=answer.core_digest)).core), 1)

    def test_those_that_asked_lately_are_told_of_the_new_leader(self) -> None:
        self.renew(connection="old", now=NOW - publisher.ASKED_S)
        self.renew(connection="c1", now=NOW - 0.5)
        self.renew(connection="gone", now=NOW - 0.5)
        self.publisher.connection_closed(NOW, "gone")
        told = sent(self.lead(), "renewed")
        self.assertEqual([(to, each.is_leader, each.members_term) for to, each in told], [("c1", True, 3)])
        self.assertEqual(self.lead(), [], "the same term again")
        self.assertEqual(sent(self.lead(term=4), "renewed"), [], "told once")

    def test_the_same_term_told_again_changes_nothing(self) -> None:
        self.lead()
        self.renew()
        self.lead(NOW + 0.5)
        self.assertEqual(self.publisher.edges_total(NOW + 1.0), 1)

    def test_a_new_term_knows_no_subscriptions(self) -> None:
        self.lead()
        self.receive("subscribe", pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a")))
        self.lead(term=4)
        self.assertEqual(self.publisher.endpoint_list_read(NOW + 1.0, [server(1)]), [])

    def test_a_new_term_begins_anew(self) -> None:
        self.lead()
        self.renew()
        self.assertEqual(self.publisher.edges_total(NOW + 1.0), 1)
        self.lead(NOW + 1.0, 4)
        self.assertEqual((self.publisher.term, self.publisher.edges_total(NOW + 2.0)), (4, 0))

    def test_the_end_of_the_lease_is_told(self) -> None:
        self.publisher.set_leader_address(OTHER)
        self.assertEqual(self.publisher.leadership_lost(NOW), [])
        self.assertEqual(self.answer(self.renew()).leader, OTHER, "it was no leader")
        self.lead()
        self.renew()
        self.publisher.set_leader_address(OTHER)
        ((to, told),) = sent(self.publisher.leadership_lost(NOW), "renewed")
        self.assertEqual((to, told.is_leader, told.leader), ("c1", False, ""))
        self.assertEqual((self.publisher.state, self.publisher.edges_total(NOW + 2.0)), (PublisherState.FOLLOWER, 0))
        self.assertEqual(self.answer(self.renew()).leader, "", "who leads now is not known")

    def test_quotas_of_the_leader_only(self) -> None:
        self.publisher.set_leader_address(OTHER)
        ((_, told),) = sent(self.receive("quota_request", pb.QuotaRequest(request=5)), "renewed")
        self.assertEqual((told.leader, self.quotas), (OTHER, []))
        self.publisher.set_core_machines([CoreAddress("x", "x:1", "x:2")])
        ((_, told),) = sent(self.receive("quota_request", pb.QuotaRequest(request=5)), "renewed")
        self.assertNotEqual(told.core_digest, 0)
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
        told = sent(self.publisher.configuration_committed(NOW, 1, 4, b"body"), "config")
        self.assertEqual(sorted(to for to, _ in told), ["c-a", "c-b", "c-c"], "to all before it is settled")
        told = sent(self.publisher.configuration_committed(NOW + 1.0, 2, 5, b"body"), "config")
        expected = {f"c-{home_edge(CONFIG_TOPIC, 'ab')}", "c-c"}
        self.assertEqual({to for to, _ in told}, expected)
        self.assertEqual((told[0][1].sequence, told[0][1].version), (2, 5))
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
        lists = [list_position("gone", (2, 5))]
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
        self.renew(lists=[list_position("svc", (2, 5))])
        self.renew(lists=[list_position("svc", (3, 1))])
        self.assertEqual(self.publisher._store.position(TOPIC), (3, 1))

    def test_lists_are_not_told_without_the_lease(self) -> None:
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        self.assertEqual(self.receive("fetch", pb.Fetch(topic="list/none")), [])
        self.publisher.leadership_lost(NOW)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC)), [])

    def test_a_follower_takes_no_subscriptions(self) -> None:
        self.publisher.configuration_committed(NOW, 1, 4, b"body")
        self.assertEqual(self.receive("subscribe", pb.Subscribe(topic=CONFIG_TOPIC, edge=pb.Edge(name="a"))), [])

    def test_lists_of_an_earlier_term_are_not_told(self) -> None:
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
        ((_, told),) = sent(self.receive("fetch", pb.Fetch(topic=CONFIG_TOPIC)), "config")
        self.assertEqual(told.sequence, 1)
        self.assertEqual(self.receive("fetch", pb.Fetch(topic="list/none")), [])

    def test_a_fetch_is_not_answered_twice_while_the_answer_is_on_its_way(self) -> None:
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
        self.assertEqual(self.publisher._fetched, {})

    def test_edges_whose_home_fails_follow_the_leader(self) -> None:
        self.receive("subscribe", pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a")))
        self.lead()
        self.publisher.endpoint_list_read(NOW, [server(1)])
        subscribe = pb.Subscribe(topic=TOPIC, edge=pb.Edge(name="a"))
        ((to, told),) = sent(self.receive("subscribe", subscribe), "list")
        self.assertEqual((to, told.position.revision), ("c1", 1))
        for name in "bcd":
            self.renew(name, f"c-{name}")
        told = sent(self.publisher.endpoint_list_read(NOW + 1.0, [server(2)]), "list")
        self.assertIn("c1", [to for to, _ in told])
        subscribe.list.CopyFrom(list_position("svc", (3, 2)))
        self.assertEqual(self.receive("subscribe", subscribe), [], "it holds what there is")

    def test_a_subscription_tells_nothing_of_an_earlier_term(self) -> None:
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

    def test_what_a_renewal_tells(self) -> None:
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

    def test_a_gap_is_fetched_whole(self) -> None:
        update = listed(server(1), position=(3, 2)).update_message(NO_POSITION, NOW).list
        update.whole, update.base_revision = False, 1
        ((to, fetch),) = sent(self.receive("list", update), "fetch")
        self.assertEqual((to, fetch.topic), (DialedLink(LEADER), TOPIC))

    def test_news_are_passed_on_to_those_that_follow_this_edge(self) -> None:
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
        ((to, told),) = sent(self.receive("fetch", pb.Fetch(topic=CONFIG_TOPIC), connection="b"), "config")
        self.assertEqual((to, told.sequence), ("b", 2))
        self.assertEqual(self.receive("fetch", pb.Fetch(topic=TOPIC), connection="b"), [])

    def test_what_it_lacks_is_fetched(self) -> None:
        fetches = sent(self.renewed(config_sequence=5), "fetch")
        self.assertEqual([(to, each.topic) for to, each in fetches], [(DialedLink(LEADER), CONFIG_TOPIC)])
        self.config(4)
        self.assertEqual(len(sent(self.tick(NOW + 0.5), "fetch")), 1)
        self.config(5)
        self.assertEqual(sent(self.tick(NOW + 9.0), "fetch"), [])

    def test_the_configuration_is_fetched_from_the_core_machines_in_turn(self) -> None:
        told = sent(self.renewed(address=OTHER, is_leader=False, config_sequence=5), "fetch")
        asked = [to for to, _ in told]
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
        told = self.renewed(lists=[list_position("svc", (3, 1))])
        self.assertEqual([to for to, _ in sent(told, "fetch")], [DialedLink(LEADER)])
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
        told = sent(self.edge.connection_closed(NOW, DialedLink(f"{other}:7501")), "subscribe")
        self.assertEqual([(to, each.config_sequence) for to, each in told], [(DialedLink(LEADER), 3)])
        self.tick(NOW + 0.4)
        again = sent(self.renewed(NOW + 0.4, members_term=4), "subscribe")
        self.assertEqual([to for to, _ in again], [DialedLink(LEADER)], "another leader knows nothing of it")

    def test_the_leader_is_asked_once_in_its_term_where_a_home_fails(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(CONFIG_TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.renewed(zone_edges=edges, members_revision=2)
        self.edge.connection_closed(NOW, DialedLink(f"{other}:7501"))
        self.tick(NOW + 0.4)
        self.assertEqual(sent(self.renewed(NOW + 0.4), "subscribe"), [])

    def test_a_subscription_to_a_list_tells_what_is_held(self) -> None:
        other = next(name for name in "abcdefgh" if home_edge(TOPIC, [name, "me"]) == name)
        edges = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in (other, "me")]
        self.receive("list", listed(server(1)).update_message(NO_POSITION, NOW).list)
        told = sent(self.renewed(zone_edges=edges, members_revision=2), "subscribe")
        (asked,) = [each for _, each in told if each.topic == TOPIC]
        self.assertEqual((asked.list.service, asked.list.term, asked.list.revision), ("svc", 3, 1))

    def test_nothing_is_held_and_a_home_has_been_asked(self) -> None:
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

    def test_a_leader_that_tells_unasked_is_asked_at_once(self) -> None:
        actions = self.receive("renewed", pb.Renewed(is_leader=True, members_term=3), NOW + 0.05, DialedLink(THIRD))
        self.assertFalse(self.edge.is_attached)
        self.assertEqual(sent(actions, "renew")[0][0], DialedLink(THIRD))

    def test_an_answer_that_comes_twice(self) -> None:
        self.renewed()
        self.renewed()
        self.assertTrue(self.edge.is_attached)

    def test_who_tells_unasked_that_it_does_not_lead_is_not_asked(self) -> None:
        for request, leads in ((0, False), (99, True)):
            self.setUp()
            body = pb.Renewed(request=request, is_leader=leads, members_term=3)
            self.assertEqual(sent(self.receive("renewed", body, NOW + 0.05, DialedLink(THIRD)), "renew"), [])

    def test_the_core_is_told_by_the_leader_once_it_is_known(self) -> None:
        self.renewed(core=[pb.CoreMachine(address="x:1")], core_digest=9)
        self.renewed(address=OTHER, is_leader=False, core=[pb.CoreMachine(address="y:1")])
        self.tick(NOW + 0.4)
        self.renewed(NOW + 0.4)
        self.assertIn("x:1", self.edge.addresses())
        self.assertNotIn("y:1", self.edge.addresses())

    def test_every_other_fetch_of_the_configuration_goes_to_who_told_of_it(self) -> None:
        self.renewed()
        told = self.renewed(address=OTHER, is_leader=False, config_sequence=5)
        self.assertEqual([to for to, _ in sent(told, "fetch")], [DialedLink(LEADER)])
        self.assertEqual([to for to, _ in sent(self.tick(NOW + 0.5), "fetch")], [DialedLink(OTHER)])

    def test_a_machine_that_is_not_the_leader(self) -> None:
        told = self.renewed(NOW + 0.01, OTHER, is_leader=False, leader=THIRD, core=[pb.CoreMachine(address="x:1")])
        self.assertEqual(sent(told, "renew")[0][0], DialedLink(THIRD))
        self.assertIn("x:1", self.edge.addresses())

    def test_an_edge_does_not_ask_itself_who_leads(self) -> None:
        zone = [pb.Edge(name=name, zone="z", address=f"{name}:7501") for name in ("b", "me", "c")]
        self.renewed(zone_edges=zone, members_revision=1)
        self.edge.connection_closed(NOW + 0.1, DialedLink(LEADER))
        asked = [to.address for step in range(40) for to, _ in sent(self.tick(NOW + 0.1 + step / 10), "renew")]
        self.assertEqual(set(asked), {LEADER, OTHER, THIRD, "b:7501", "c:7501"})

    def test_another_edge_is_told_who_leads_while_the_leader_answers_here(self) -> None:
        """Nothing else: an edge knows of no freshness, and an old leader's name would lead astray."""

        def told(now: float) -> list[Any]:
            return sent(self.receive("renew", pb.Renew(request=9), now, "peer"), "renewed")

        self.assertEqual(told(NOW), [])
        self.renewed(config_age_ms=0)
        self.assertEqual(told(NOW + 0.1), [("peer", pb.Renewed(request=9, leader=LEADER))])
        self.edge.connection_closed(NOW + 0.2, DialedLink(LEADER))
        self.assertEqual(told(NOW + 0.2), [], "the last leader is remembered, and does not answer")

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

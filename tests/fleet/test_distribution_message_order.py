"""Forced orders of messages at one publisher or one subscriber: late, repeated and overtaken ones."""

from __future__ import annotations

import math
import unittest

from rosechute.distribution.actions import (
    Action,
    ConfigurationChanged,
    DialedLink,
    EdgesTotalChanged,
    SendMessage,
    ServersChanged,
)
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.publisher import Publisher
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.values import ListedServer
from rosechute.messages import distribution_pb2 as pb

LEADER, OTHER, THIRD = "10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500"
SEEDS = [LEADER, OTHER, THIRD]


def server(number: int, slots: int = 4) -> ListedServer:
    return ListedServer(f"i-{number}", "model", f"10.3.0.{number}:80", "z", slots, True)


def sent(actions: list[Action] | list[SendMessage], kind: str) -> list[tuple[object, pb.Distribution]]:
    """The messages of one kind, each with its connection."""
    sends = [action for action in actions if isinstance(action, SendMessage)]
    return [(send.connection, send.message) for send in sends if send.message.WhichOneof("body") == kind]


class SubscriberDriver:
    """Drives one subscriber by hand, and records its renewals."""

    def __init__(self, name: str = "e1") -> None:
        self.subscriber = Subscriber(0.0, EdgeIdentity(name, "z", "10.1.0.1:7501"), 7, SEEDS)
        self.renewals: dict[str, list[int]] = {}
        self.tick(0.0)

    def tick(self, now: float) -> list[Action]:
        return self.record_renewals(self.subscriber.tick(now))

    def record_renewals(self, actions: list[Action]) -> list[Action]:
        for connection, message in sent(actions, "renew"):
            assert isinstance(connection, DialedLink)
            self.renewals.setdefault(connection.address, []).append(message.renew.request)
        return actions

    def renewed(
        self, now: float, address: str = LEADER, request: int | None = None, **fields: object
    ) -> list[Action]:
        number = request if request is not None else self.renewals[address][-1]
        values: dict[str, object] = {"is_leader": True, "members_term": 1, "config_known": True, **fields}
        answer = pb.Renewed(request=number, **values)  # type: ignore[arg-type]
        return self.record_renewals(
            self.subscriber.receive(now, DialedLink(address), pb.Distribution(renewed=answer))
        )

    def config(self, now: float, sequence: int, address: str = LEADER) -> list[Action]:
        value = Publisher(lambda at, request: None)
        value.configuration_committed(now, sequence, sequence, b"{}")
        answer = value.receive(now, "x", pb.Distribution(fetch=pb.Fetch(topic="config")))[0].message
        return self.record_renewals(self.subscriber.receive(now, DialedLink(address), answer))

    def list(self, now: float, update: pb.ListUpdate, address: str = LEADER) -> list[Action]:
        return self.record_renewals(self.subscriber.receive(now, DialedLink(address), pb.Distribution(list=update)))


class ConfirmationTest(unittest.TestCase):
    def test_an_answer_confirms_as_of_its_renewal_less_its_age(self) -> None:
        edge = SubscriberDriver()
        edge.config(0.01, 3)
        edge.renewed(0.5, config_sequence=3, config_age_ms=200)
        self.assertAlmostEqual(edge.subscriber.confirmed_at, -0.2)

    def test_nothing_is_confirmed_while_a_newer_one_is_missing(self) -> None:
        edge = SubscriberDriver()
        edge.config(0.01, 3)
        edge.renewed(0.5, config_sequence=4, config_age_ms=0)
        self.assertEqual(edge.subscriber.confirmed_at, -math.inf)
        edge.config(0.6, 4)
        self.assertAlmostEqual(edge.subscriber.confirmed_at, 0.0)

    def test_a_late_answer_to_an_older_renewal_moves_nothing_forward(self) -> None:
        edge = SubscriberDriver()
        edge.config(0.01, 3)
        edge.renewed(0.02, config_sequence=3, config_age_ms=0)
        first = edge.renewals[LEADER][-1]
        edge.tick(0.4)
        second = edge.renewals[LEADER][-1]
        edge.tick(0.8)
        self.assertNotEqual(first, second)
        edge.renewed(0.9, config_sequence=3, config_age_ms=0)
        self.assertAlmostEqual(edge.subscriber.confirmed_at, 0.8)
        edge.renewed(5.0, request=second, config_sequence=3, config_age_ms=0)
        edge.renewed(5.0, request=99, config_sequence=3, config_age_ms=0)
        self.assertAlmostEqual(edge.subscriber.confirmed_at, 0.8)

    def test_an_age_that_is_not_known_confirms_nothing(self) -> None:
        edge = SubscriberDriver()
        edge.config(0.01, 3)
        edge.renewed(0.02, config_sequence=3, config_known=False)
        self.assertEqual(edge.subscriber.confirmed_at, -math.inf)


class LeaderTermTest(unittest.TestCase):
    def test_a_leader_of_an_older_term_is_not_followed(self) -> None:
        edge = SubscriberDriver()
        total = edge.renewed(0.01, members_term=5, edges_total=4)
        self.assertIn(EdgesTotalChanged(4), total)
        late = edge.renewed(0.02, OTHER, members_term=4, edges_total=9)
        self.assertEqual([action for action in late if isinstance(action, EdgesTotalChanged)], [])
        self.assertEqual(edge.subscriber.leader, LEADER)

    def test_an_unknown_number_of_edges_changes_nothing(self) -> None:
        edge = SubscriberDriver()
        edge.renewed(0.01, members_term=5, edges_total=4)
        edge.tick(0.5)
        edge.renewed(0.6, members_term=6, edges_total=0)
        self.assertEqual(edge.subscriber.edges_total, 4)

    def test_core_machines_at_other_addresses_are_found(self) -> None:
        """The seeds of the settings are all gone; the leader reported the others before it was lost too."""
        edge = SubscriberDriver()
        others = [f"10.9.0.{number}:7500" for number in range(4)]
        core = [pb.CoreMachine(id=str(number), address=address) for number, address in enumerate(others)]
        edge.renewed(0.01, members_term=1, core=core, core_digest=5)
        edge.record_renewals(edge.subscriber.connection_closed(0.02, DialedLink(LEADER)))
        now = 0.02
        while not any(address in edge.renewals for address in others) and now < 1.0:
            now += 0.05
            edge.tick(now)
        self.assertLess(now, 0.3)
        asked = next(address for address in others if address in edge.renewals)
        edge.renewed(now, asked, is_leader=False, leader=others[3])
        self.assertIn(others[3], edge.renewals)
        edge.renewed(now + 0.01, others[3], members_term=2)
        self.assertTrue(edge.subscriber.is_attached)

    def test_new_seeds_are_asked(self) -> None:
        edge = SubscriberDriver()
        edge.subscriber.set_seeds(["10.8.0.1:7500"])
        for step in range(1, 5):
            edge.tick(0.1 * step)
        self.assertIn("10.8.0.1:7500", edge.renewals)


class ListOrderTest(unittest.TestCase):
    def updates(self) -> dict[int, tuple[pb.ListUpdate, pb.ListUpdate]]:
        """By revision, the update as changes and whole."""
        publisher = Publisher(lambda at, request: None)
        publisher.leadership_gained(0.0, 1)
        renew = pb.Renew(request=1, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        publisher.receive(0.0, "c", pb.Distribution(renew=renew))
        found = {}
        for revision, servers in enumerate(([server(1)], [server(1), server(2)], [server(2, 9), server(3)]), start=1):
            changes = sent(publisher.endpoint_list_read(float(revision), servers), "list")[0][1].list
            fetch = pb.Distribution(fetch=pb.Fetch(topic="list/model"))
            whole = publisher.receive(float(revision), f"c{revision}", fetch)[0].message.list
            found[revision] = (changes, whole)
        return found

    def test_an_update_passes_a_snapshot(self) -> None:
        updates = self.updates()
        edge = SubscriberDriver()
        edge.list(1.0, updates[1][1])
        passed = edge.list(1.1, updates[3][0])
        self.assertEqual([where for where, _ in sent(passed, "fetch")], [DialedLink(LEADER)])
        self.assertEqual([action for action in passed if isinstance(action, ServersChanged)], [])
        snapshot = [one for one in edge.list(1.2, updates[2][1]) if isinstance(one, ServersChanged)]
        self.assertEqual(snapshot[0].position, (1, 2))
        whole = [one for one in edge.list(1.3, updates[3][1]) if isinstance(one, ServersChanged)]
        self.assertEqual(whole[0].servers, (server(2, 9), server(3)))

    def test_deltas_in_order_give_the_snapshot(self) -> None:
        updates = self.updates()
        edge = SubscriberDriver()
        last: list[ServersChanged] = []
        for revision in (1, 2, 3):
            last = [one for one in edge.list(1.0, updates[revision][0]) if isinstance(one, ServersChanged)]
        self.assertEqual({one.id: one.slots for one in last[0].servers}, {"i-2": 9, "i-3": 4})
        self.assertFalse(updates[3][0].whole)
        self.assertEqual(list(updates[3][0].removed), ["i-1"])

    def test_an_older_snapshot_changes_nothing(self) -> None:
        updates = self.updates()
        edge = SubscriberDriver()
        edge.list(1.0, updates[3][1])
        for revision in (1, 2, 3):
            for update in updates[revision]:
                again = edge.list(1.1, update)
                self.assertEqual([one for one in again if isinstance(one, ServersChanged)], [])

    def test_a_cold_time_that_runs_down_is_no_change(self) -> None:
        publisher = Publisher(lambda at, request: None)
        publisher.leadership_gained(0.0, 1)
        renew = pb.Renew(request=1, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        publisher.receive(0.0, "c", pb.Distribution(renew=renew))
        cold = ListedServer("i-1", "model", "10.3.0.1:80", "z", 4, True, cold_until=8.0)
        later = ListedServer("i-1", "model", "10.3.0.1:80", "z", 4, True, cold_until=8.2)
        over = ListedServer("i-1", "model", "10.3.0.1:80", "z", 4, True, cold_until=0.0)
        self.assertEqual(len(sent(publisher.endpoint_list_read(1.0, [cold]), "list")), 1)
        self.assertEqual(sent(publisher.endpoint_list_read(1.5, [later]), "list"), [])
        self.assertEqual(len(sent(publisher.endpoint_list_read(2.0, [over]), "list")), 1)
        self.assertEqual(sent(publisher.endpoint_list_read(9.0, [cold]), "list"), [])


class HintTest(unittest.TestCase):
    """Hand-over by the leader to a home edge that was away."""

    def setUp(self) -> None:
        self.publisher = Publisher(lambda at, request: None)
        self.publisher.set_core_machines([CoreAddress("1", LEADER, LEADER)])
        self.publisher.leadership_gained(0.0, 1)
        self.publisher.configuration_committed(0.0, 1, 1, b"{}")

    def renew(
        self, now: float, connection: str, sequence: int, boot: int = 1, address: str = "a"
    ) -> list[SendMessage]:
        edge = pb.Edge(name="e1", zone="z", address=address)
        renew = pb.Renew(request=1, edge=edge, boot=boot, config_sequence=sequence)
        return self.publisher.receive(now, connection, pb.Distribution(renew=renew))

    def away(self) -> None:
        self.renew(0.1, "c1", 1)
        self.publisher.connection_closed(0.2, "c1")
        self.assertEqual(self.publisher.configuration_committed(0.3, 2, 2, b"[]"), [])

    def sequences(self, sends: list[SendMessage], connection: str) -> list[int]:
        return [message.config.sequence for where, message in sent(sends, "config") if where == connection]

    def test_a_missed_update_is_handed_off_once(self) -> None:
        self.away()
        self.assertEqual(self.sequences(self.renew(0.5, "c2", 1), "c2"), [2])
        self.assertEqual(self.sequences(self.renew(0.9, "c2", 1), "c2"), [])

    def test_the_newest_is_handed_over(self) -> None:
        self.away()
        self.publisher.configuration_committed(0.4, 3, 3, b"[1]")
        self.assertEqual(self.sequences(self.renew(0.5, "c2", 1), "c2"), [3])

    def test_a_target_that_has_it_already_is_sent_nothing(self) -> None:
        self.away()
        self.assertEqual(self.sequences(self.renew(0.5, "c2", 2), "c2"), [])

    def test_a_target_that_comes_back_empty_at_another_address(self) -> None:
        self.away()
        self.assertEqual(self.sequences(self.renew(0.5, "c2", 0, boot=2, address="b"), "c2"), [2])

    def test_what_was_sent_on_a_connection_that_ended_is_sent_again(self) -> None:
        self.renew(1.1, "c1", 1)
        self.assertEqual(self.sequences(self.publisher.configuration_committed(1.2, 2, 2, b"[]"), "c1"), [2])
        self.publisher.connection_closed(1.3, "c1")
        self.assertEqual(self.sequences(self.renew(1.5, "c2", 1), "c2"), [2])

    def test_the_holder_of_a_hint_loses_the_lease(self) -> None:
        """Its successor knows of no hints; the renewal tells the edge that it is behind."""
        self.away()
        self.publisher.leadership_lost(0.4)
        successor = Publisher(lambda at, request: None)
        successor.configuration_committed(0.4, 2, 2, b"[]")
        successor.leadership_gained(0.5, 2)
        self.publisher = successor
        sends = self.renew(0.6, "c3", 1)
        self.assertEqual(self.sequences(sends, "c3"), [])
        self.assertEqual(sent(sends, "renewed")[0][1].renewed.config_sequence, 2)

    def test_no_second_answer_to_a_fetch_in_flight(self) -> None:
        fetch = pb.Distribution(fetch=pb.Fetch(topic="config"))
        self.assertEqual(len(self.publisher.receive(1.0, "c1", fetch)), 1)
        self.assertEqual(len(self.publisher.receive(1.5, "c1", fetch)), 0)
        self.assertEqual(len(self.publisher.receive(1.5, "c2", fetch)), 1)
        self.assertEqual(len(self.publisher.receive(3.1, "c1", fetch)), 1)
        self.publisher.connection_closed(3.2, "c1")
        self.assertEqual(len(self.publisher.receive(3.3, "c1", fetch)), 1)


class FollowerTest(unittest.TestCase):
    def test_it_names_the_leader_and_serves_the_configuration_only(self) -> None:
        publisher = Publisher(lambda at, request: pb.QuotaIssue(request=request.request))
        publisher.set_leader_address(LEADER)
        publisher.configuration_committed(0.0, 4, 4, b"{}")
        publisher.update_freshness(0.125, 4, 0.0625)
        renew = pb.Renew(request=3, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        answer = publisher.receive(0.1875, "c", pb.Distribution(renew=renew))[0].message.renewed
        self.assertEqual((answer.is_leader, answer.leader, answer.config_sequence), (False, LEADER, 4))
        self.assertEqual((answer.config_known, answer.config_age_ms, answer.edges_total), (True, 125, 0))
        fetched = publisher.receive(0.2, "c", pb.Distribution(fetch=pb.Fetch(topic="config")))
        self.assertEqual(fetched[0].message.config.sequence, 4)
        self.assertEqual(publisher.endpoint_list_read(0.3, [server(1)]), [])
        quota = publisher.receive(0.2, "c", pb.Distribution(quota_request=pb.QuotaRequest(request=1, edge="e1")))
        self.assertEqual(quota[0].message.WhichOneof("body"), "renewed")

    def test_a_redirect_to_a_quota_request_sends_the_edge_searching(self) -> None:
        edge = SubscriberDriver()
        edge.renewed(0.01, members_term=1)
        edge.renewed(0.2, LEADER, request=0, is_leader=False, leader=OTHER)
        self.assertFalse(edge.subscriber.is_attached)
        self.assertIn(OTHER, edge.renewals)


class ZoneNamesLeaderTest(unittest.TestCase):
    """An edge that finds nobody of the core asks the others of its zone."""

    def test_an_attached_edge_names_the_leader_and_reports_no_freshness(self) -> None:
        edge = SubscriberDriver()
        renew = pb.Distribution(renew=pb.Renew(request=9, edge=pb.Edge(name="e2", zone="z", address="b")))
        self.assertEqual(sent(edge.subscriber.receive(0.005, 7, renew), "renewed"), [])
        edge.renewed(0.01, config_sequence=0, config_age_ms=0)
        ((connection, message),) = sent(edge.subscriber.receive(0.02, 7, renew), "renewed")
        observed = message.renewed
        self.assertEqual((connection, observed.request, observed.leader), (7, 9, LEADER))
        self.assertFalse(observed.is_leader or observed.config_known)

    def test_a_named_leader_counts_only_by_its_own_answer(self) -> None:
        edge = SubscriberDriver()
        zone = [pb.Edge(name=name, zone="z", address=f"10.1.0.{name[1]}:7501") for name in ("e1", "e2")]
        edge.renewed(0.01, members_term=5, zone_edges=zone)
        edge.record_renewals(edge.subscriber.connection_closed(0.02, DialedLink(LEADER)))
        now = 0.02
        while "10.1.0.2:7501" not in edge.renewals:
            now += 0.1
            edge.tick(now)
        self.assertGreater(now, 1.5)
        self.assertNotIn("10.1.0.1:7501", edge.renewals)  # itself
        named: dict[str, object] = {"is_leader": False, "members_term": 0, "config_known": False}
        edge.renewed(now, "10.1.0.2:7501", leader="10.9.0.1:7500", **named)
        self.assertIn("10.9.0.1:7500", edge.renewals)
        self.assertFalse(edge.subscriber.is_attached)
        edge.renewed(now + 0.01, "10.9.0.1:7500", members_term=4)
        self.assertFalse(edge.subscriber.is_attached)  # of an older term
        edge.tick(now + 0.2)
        edge.renewed(now + 0.21, "10.9.0.1:7500", members_term=6)
        self.assertTrue(edge.subscriber.is_attached)


class LeaderlessTest(unittest.TestCase):
    def test_a_silent_leader_gets_quota_requests_during_the_grace_time(self) -> None:
        """Over a crowded link it may still answer; whose link has ended can't."""
        edge = SubscriberDriver()
        self.assertEqual(edge.subscriber.leaderless_since(), 0.0)
        edge.renewed(0.01)
        now = 0.01
        while edge.subscriber.is_attached:
            now += 0.05
            edge.tick(now)
        self.assertIsNone(edge.subscriber.leaderless_since())
        edge.tick(now + 0.6)
        self.assertIsNone(edge.subscriber.leaderless_since())
        edge.tick(now + 0.8)
        self.assertAlmostEqual(edge.subscriber.leaderless_since() or 0.0, now + 0.7)
        edge.renewed(now + 0.9)
        self.assertIsNone(edge.subscriber.leaderless_since())
        edge.record_renewals(edge.subscriber.connection_closed(now + 1.0, DialedLink(LEADER)))
        self.assertAlmostEqual(edge.subscriber.leaderless_since() or 0.0, now + 1.0)


class LeaseChangeTest(unittest.TestCase):
    """Edges get an announcement when the leadership is gained or lost."""

    def setUp(self) -> None:
        self.publisher = Publisher(lambda at, request: None)
        renew = pb.Renew(request=3, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        self.renew = pb.Distribution(renew=renew)

    def test_searching_edges_get_the_announcement_of_a_new_leader(self) -> None:
        self.publisher.receive(0.0, "old", self.renew)
        self.publisher.receive(5.0, "gone", self.renew)
        self.publisher.connection_closed(5.1, "gone")
        self.publisher.receive(5.2, "c", self.renew)
        observed = sent(self.publisher.leadership_gained(5.5, 4), "renewed")
        self.assertEqual([(where, message.renewed.members_term) for where, message in observed], [("c", 4)])
        edge = SubscriberDriver()
        edge.record_renewals(edge.subscriber.receive(0.05, DialedLink(THIRD), observed[0][1]))
        self.assertIn(THIRD, edge.renewals)
        self.assertFalse(edge.subscriber.is_attached)
        self.assertEqual(edge.subscriber.confirmed_at, -math.inf)

    def test_attached_edges_get_the_announcement_of_lost_leadership(self) -> None:
        self.publisher.leadership_gained(0.0, 1)
        self.publisher.receive(1.0, "c", self.renew)
        observed = sent(self.publisher.leadership_lost(1.1), "renewed")
        self.assertEqual([where for where, _ in observed], ["c"])
        self.assertEqual(self.publisher.leadership_lost(1.2), [])
        edge = SubscriberDriver()
        edge.renewed(0.01)
        self.assertTrue(edge.subscriber.is_attached)
        edge.record_renewals(edge.subscriber.receive(0.2, DialedLink(LEADER), observed[0][1]))
        self.assertFalse(edge.subscriber.is_attached)
        self.assertIn(OTHER, edge.renewals)

    def test_an_announcement_of_an_older_term_is_not_probed(self) -> None:
        edge = SubscriberDriver()
        edge.renewed(0.01, members_term=6)
        edge.record_renewals(edge.subscriber.connection_closed(0.02, DialedLink(LEADER)))
        asked = len(edge.renewals.get(THIRD, []))
        observed = pb.Distribution(renewed=pb.Renewed(is_leader=True, members_term=5))
        edge.record_renewals(edge.subscriber.receive(0.03, DialedLink(THIRD), observed))
        self.assertEqual(len(edge.renewals.get(THIRD, [])), asked)


class EarlierTermTest(unittest.TestCase):
    """A machine that leads again holds the lists of its earlier term until it has read the platform's."""

    def setUp(self) -> None:
        self.publisher = Publisher(lambda at, request: None)
        self.publisher.leadership_gained(0.0, 3)
        self.publisher.endpoint_list_read(0.1, [server(1)])
        self.publisher.leadership_lost(1.0)
        self.publisher.leadership_gained(60.0, 6)

    def subscribe(self, now: float) -> list[tuple[object, pb.Distribution]]:
        """By an edge that knows of the topic from another leader, and whose home has failed."""
        edge = pb.Edge(name="e1", zone="z", address="a")
        message = pb.Distribution(subscribe=pb.Subscribe(edge=edge, topic="list/model"))
        return sent(self.publisher.receive(now, "c", message), "list")

    def test_a_list_of_an_earlier_term_is_given_to_no_subscriber(self) -> None:
        self.assertEqual(self.subscribe(60.1), [])

    def test_a_list_of_an_earlier_term_is_neither_fetched_nor_reported(self) -> None:
        fetch = pb.Distribution(fetch=pb.Fetch(topic="list/model"))
        self.assertEqual(sent(self.publisher.receive(60.1, "c", fetch), "list"), [])
        renew = pb.Renew(request=1, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        answer = self.publisher.receive(60.1, "c", pb.Distribution(renew=renew))
        self.assertEqual(list(sent(answer, "renewed")[0][1].renewed.lists), [])

    def test_the_members_of_an_earlier_term_are_forgotten(self) -> None:
        """Whoever lives renews at the new leader; nobody is counted twice or after its end."""
        renew = pb.Renew(request=1, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        self.publisher.receive(60.1, "c", pb.Distribution(renew=renew))
        self.assertEqual(self.publisher.edges_total(61.5), 1)
        self.publisher.leadership_lost(61.6)
        self.assertEqual(self.publisher.edges_total(61.6), 0)
        self.publisher.leadership_gained(62.0, 8)
        self.assertEqual(self.publisher.edges_total(62.5), 0)  # not known yet
        self.assertEqual(self.publisher.edges_total(63.1), 0)

    def test_a_subscriber_gets_the_first_reading(self) -> None:
        renew = pb.Renew(request=1, edge=pb.Edge(name="e1", zone="z", address="a"), boot=1)
        self.publisher.receive(60.0, "c", pb.Distribution(renew=renew))
        self.subscribe(60.1)
        sends = sent(self.publisher.endpoint_list_read(60.5, [server(1), server(2)]), "list")
        self.assertEqual([message.list.position.term for _, message in sends], [6])


class BrokenTest(unittest.TestCase):
    def test_a_body_that_can_not_be_read_changes_nothing(self) -> None:
        edge = SubscriberDriver()
        update = pb.ConfigUpdate(sequence=9, version=9, body=b"no zlib")
        actions = edge.subscriber.receive(0.1, DialedLink(LEADER), pb.Distribution(config=update))
        self.assertEqual([one for one in actions if isinstance(one, ConfigurationChanged)], [])
        self.assertEqual(edge.subscriber.position("config"), (0, 0))


if __name__ == "__main__":
    unittest.main()

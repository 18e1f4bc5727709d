"""Fan-out to targets and hinted handoff: each target gets what it lacks."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.distribution.fan_out import SUBSCRIPTION_S, FanOut
from rosechute.distribution.hints import HINT_LIFETIME_S, Hints
from rosechute.distribution.store import TopicStore
from tests.fleet.distribution_builders import NOW, TOPIC, listed, sent, server


class HintsTest(unittest.TestCase):
    def test_hints_are_popped_once(self) -> None:
        hints = Hints()
        hints.add("a", "x", NOW)
        hints.add("a", "y", NOW)
        hints.add("b", "x", NOW)
        self.assertEqual((hints.pop("a"), hints.pop("a"), hints.pop("b")), (["x", "y"], [], ["x"]))

    def test_old_ones_end(self) -> None:
        hints = Hints()
        hints.add("a", "x", NOW)
        hints.add("a", "y", NOW + 1)
        hints.expire(NOW + HINT_LIFETIME_S - 0.1)
        self.assertEqual(len(hints._missed["a"]), 2)
        hints.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(hints.pop("a"), ["y"])
        hints.add("a", "x", NOW)
        hints.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(hints._missed, {})
        self.assertGreater(HINT_LIFETIME_S, SUBSCRIPTION_S)


class FanOutTest(unittest.TestCase):
    """Each target gets what it lacks; what may be lost with a connection is handed over on the next one."""

    def setUp(self) -> None:
        self.store = TopicStore()
        self.fan_out = FanOut(self.store)
        self.store.put(listed(server(1)))

    def on_report(self, name: str = "a", connection: str = "c1", now: float = NOW, **reported: Any) -> list[Any]:
        return sent(
            self.fan_out.on_report(now, name, connection, {TOPIC: reported["held"]} if reported else {}), "list"
        )

    def publish(self, *names: str, now: float = NOW) -> list[Any]:
        return sent(self.fan_out.publish(now, TOPIC, names), "list")

    def advance(self, revision: int) -> None:
        old = self.store.service_list("svc")
        self.store.put(listed(server(revision), position=(3, revision), old=old))

    def test_sent_once(self) -> None:
        self.on_report()
        self.assertEqual([to for to, _ in self.publish("a")], ["c1"])
        self.assertEqual(self.publish("a"), [])
        self.advance(2)
        ((_, update),) = self.publish("a")
        self.assertFalse(update.whole, "the changes to what was sent")

    def test_no_update_for_a_position_held_already(self) -> None:
        self.on_report(held=(3, 1))
        self.assertEqual(self.publish("a"), [])
        self.on_report("b", "c2", held=(9, 1))
        self.assertEqual(self.publish("b"), [])

    def test_hinted_handoff_to_targets_that_were_unreachable(self) -> None:
        self.assertEqual(self.publish("a"), [])
        ((to, _),) = self.on_report()
        self.assertEqual(to, "c1")
        self.assertEqual(self.on_report(), [])

    def test_unconfirmed_updates_are_handed_off_on_another_connection(self) -> None:
        self.on_report()
        self.publish("a")
        ((to, update),) = self.on_report(connection="c2")
        self.assertEqual((to, update.whole), ("c2", True))

    def test_confirmed_updates_are_not_handed_off(self) -> None:
        self.on_report()
        self.publish("a")
        self.on_report(held=(3, 1))
        self.assertEqual(self.on_report(connection="c2"), [])

    def test_a_connection_that_closed(self) -> None:
        self.on_report()
        self.on_report("b", "c2")
        self.publish("a", "b")
        self.fan_out.connection_closed(NOW, "c1")
        self.assertEqual(self.fan_out.connections(), ["c2"])
        self.advance(2)
        self.assertEqual([to for to, _ in self.publish("a", "b")], ["c2"])
        self.assertEqual([to for to, _ in self.on_report(connection="c3")], ["c3"])

    def test_subscriptions_end(self) -> None:
        self.fan_out.subscribe(NOW, TOPIC, "a")
        self.fan_out.subscribe(NOW + 1, TOPIC, "b")
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["a", "b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S - 0.1)
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["a", "b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.subscribers(TOPIC), ["b"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S + 1)
        self.assertEqual((self.fan_out.subscribers(TOPIC), self.fan_out._subscriptions), ([], {}))

    def test_silent_targets_are_removed_and_their_hints_kept(self) -> None:
        self.on_report()
        self.publish("a")
        self.fan_out.expire(NOW + SUBSCRIPTION_S - 0.1)
        self.assertEqual(self.fan_out.connections(), ["c1"])
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.connections(), [])
        self.assertEqual(len(self.on_report(now=NOW + 6.0)), 1)

    def test_a_report_renews_a_target(self) -> None:
        self.on_report()
        self.on_report(now=NOW + 4.0)
        self.fan_out.expire(NOW + SUBSCRIPTION_S)
        self.assertEqual(self.fan_out.connections(), ["c1"])

    def test_old_hints_end(self) -> None:
        self.publish("a")
        self.fan_out.expire(NOW + HINT_LIFETIME_S)
        self.assertEqual(self.on_report(now=NOW + HINT_LIFETIME_S), [])

    def test_cleared(self) -> None:
        self.on_report()
        self.publish("b")
        self.fan_out.subscribe(NOW, TOPIC, "a")
        self.fan_out.clear()
        self.assertEqual((self.fan_out.connections(), self.fan_out.subscribers(TOPIC)), ([], []))
        self.assertEqual(self.on_report("b"), [])

    def test_nothing_without_a_value(self) -> None:
        self.on_report()
        self.assertEqual(self.fan_out.publish(NOW, "list/other", ["a"]), [])


if __name__ == "__main__":
    unittest.main()

"""Membership leases of the edges at the leader."""

from __future__ import annotations

import unittest

from rosechute.distribution import membership
from rosechute.distribution.membership import EdgeIdentity, Membership
from tests.fleet.distribution_builders import NOW, edge


class MembershipTest(unittest.TestCase):
    """Edges live by their leases; nothing is reported of them before all have had the time to renew."""

    def setUp(self) -> None:
        self.members = Membership(NOW)

    def renew(
        self, name: str, zone: str = "z", now: float = NOW, incarnation: int = 1, is_leaving: bool = False
    ) -> bool:
        return self.members.renew(now, edge(name, zone), incarnation, is_leaving=is_leaving)

    def test_complete_after_the_grace_time(self) -> None:
        self.renew("a")
        self.assertEqual((self.members.is_complete(NOW + 0.99), self.members.total(NOW + 0.99)), (False, 0))
        self.assertEqual((self.members.is_complete(NOW + 1.0), self.members.total(NOW + 1.0)), (True, 1))
        self.assertGreater(membership.MEMBERSHIP_GRACE_S, 2 * membership.RENEW_INTERVAL_S)
        self.assertGreater(membership.MEMBERSHIP_LEASE_S, 3 * membership.RENEW_INTERVAL_S)

    def test_new_or_restarted(self) -> None:
        self.assertEqual([self.renew("a"), self.renew("a"), self.renew("a", incarnation=2)], [True, False, True])

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
            lambda: self.renew("a", is_leaving=True),
            lambda: self.members.renew(NOW, EdgeIdentity("a", "z", "moved"), 1, is_leaving=True),
        ):
            change()
            revisions.append(self.members.revision("z"))
        self.assertEqual(revisions, [0, 1, 2, 3])
        self.members.renew(NOW, EdgeIdentity("a", "z", "moved"), 1, is_leaving=True)
        self.assertEqual(self.members.revision("z"), 3)
        self.renew("a", "y")
        self.assertEqual((self.members.revision("z"), self.members.revision("y")), (4, 1))

    def test_a_leaving_edge_is_counted_and_is_no_home(self) -> None:
        self.renew("a")
        self.renew("b", is_leaving=True)
        self.renew("c", "y")
        self.assertEqual(self.members.home_candidates(), {"z": ["a"], "y": ["c"]})
        self.assertEqual(self.members.zone_edges("z"), [edge("a")])
        self.assertEqual((self.members.names(), self.members.total(NOW + 1)), (["a", "b", "c"], 3))


if __name__ == "__main__":
    unittest.main()

"""Planning: which view follows the current one."""

from __future__ import annotations

import unittest
from collections.abc import Collection
from typing import Any

from rosechute.coordination.cluster_status import ClusterStatus, JoinCandidate
from rosechute.coordination.planning import next_view_if_needed, next_view_of_sealed_epoch
from rosechute.coordination.replica_config import MachineIdentity, Timing

from .coordination_parts import EPOCH, identity, view

TIMING = Timing()


class PlanningTest(unittest.TestCase):
    """One change of the acceptors at a time; a copy on a majority at each step."""

    def situation(
        self,
        usable: str = "abc",
        restarted: str = "",
        joiners: Collection[JoinCandidate] = (),
        silent: dict[str, float] | None = None,
        conflicts: Collection[tuple[str, str]] = (),
        granting: int = 9,
        own: str = "a",
        leaving: str = "",
        returning: str = "",
    ) -> ClusterStatus:
        times = silent or {}
        return ClusterStatus(
            own_id=own,
            chain_eligible_ids=usable,
            restarted_ids=restarted,
            join_candidates=tuple(joiners),
            newest_identity=lambda name: identity(name) if name in "abcdefgn" else None,
            leaving_ids=leaving,
            recovering_ids=returning,
            silence_s=lambda name: times.get(name, 0.0),
            remove_after_s=1.0,
            suspect_after_s=0.7,
            unreachable_pairs=conflicts,
            granting_acceptors=granting,
        )

    def needed(self, members: str = "abc", chain: str | None = None, size: int = 3, **fields: Any) -> Any:
        found = next_view_if_needed(view(members, chain=chain, size=size), self.situation(**fields))
        if found is None:
            return None
        self.assertEqual(found.epoch, EPOCH + 1)
        return "".join(each.id for each in found.acceptors), "".join(found.chain)

    def stranger(
        self, name: str = "n", address: str = "n:8367", known_as: str = "", newcomer: bool = False
    ) -> JoinCandidate:
        return JoinCandidate(MachineIdentity(name, known_as or f"name-{name}", "z", address, "n:7500"), newcomer)

    def test_no_view_is_needed(self) -> None:
        self.assertIsNone(self.needed())

    def test_removes_and_readmits_members(self) -> None:
        self.assertEqual(self.needed(usable="ab"), ("abc", "ab"))
        self.assertEqual(self.needed(chain="ab"), ("abc", "abc"))
        self.assertEqual(self.needed(chain="bc"), ("abc", "bca"), "who comes back stands behind")

    def test_no_chain_without_a_majority(self) -> None:
        self.assertIsNone(self.needed(usable="a"))
        self.assertIsNone(self.needed("abcd", size=4, usable="ab"))
        self.assertEqual(self.needed("abcd", size=4, usable="abc"), ("abcd", "abc"))

    def test_restarted_members_adopt_anew(self) -> None:
        self.assertEqual(self.needed(restarted="b"), ("abc", "abc"))
        self.assertIsNone(self.needed(restarted="z"))
        self.assertEqual(self.needed(chain="ab", usable="ab", restarted="c"), None)

    def test_new_addresses_of_an_acceptor(self) -> None:
        old = view()
        moved = MachineIdentity("c", "c", "z", "elsewhere:8367", "elsewhere:7500")
        situation = self.situation()
        object.__setattr__(situation, "newest_identity", lambda name: moved if name == "c" else None)
        found = next_view_if_needed(old, situation)
        assert found is not None
        self.assertEqual(found.acceptors, (*old.acceptors[:2], moved))

    def test_a_wiped_machine_is_replaced_at_its_address(self) -> None:
        joiner = self.stranger(address="c:8367")
        self.assertEqual(self.needed(usable="abn", joiners=[joiner]), ("abn", "abn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abn", "abn"), "even if it is still heard")

    def test_a_name_at_a_new_address_replaces_the_silent_machine(self) -> None:
        joiner = self.stranger(known_as="name-c")
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent={"c": 0.7}), ("abn", "abn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], silent={"c": 0.69}), ("abcn", "abcn"))

    def test_machines_without_a_name_are_not_the_same(self) -> None:
        nameless = MachineIdentity("c", "", "z", "c:8367", "c:7500")
        situation = self.situation(
            "abn", joiners=[JoinCandidate(MachineIdentity("n", "", "z", "n:8367", "n:7500"), False)]
        )
        object.__setattr__(situation, "silence_s", lambda name: 0.8 if name == "c" else 0.0)
        object.__setattr__(situation, "newest_identity", lambda name: nameless if name == "c" else identity(name))
        found = next_view_if_needed(view(), situation)
        assert found is not None
        self.assertEqual([each.id for each in found.acceptors], ["a", "b", "c", "n"])

    def test_joiner_replaces_the_longest_silent_machine(self) -> None:
        silent = {"b": 1.0, "c": 2.0}
        joiner = self.stranger()
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent=silent), ("abn", "abn"))
        silent = {"b": 2.0, "c": 1.0}
        self.assertEqual(self.needed(usable="acn", joiners=[joiner], silent=silent), ("anc", "acn"))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], silent={"c": 0.99}), ("abcn", "abcn"))

    def test_one_change_at_a_time(self) -> None:
        joiners = [self.stranger("n", "c:8367"), self.stranger("m", "b:8367")]
        found = self.needed(usable="anm", joiners=joiners)
        self.assertEqual(found, ("amc", "am"), "by their addresses")

    def test_no_change_of_the_acceptors_that_leaves_no_majority_in_the_chain(self) -> None:
        joiner = self.stranger("n", "c:8367")
        self.assertIsNone(self.needed("abcd", size=4, usable="an", joiners=[joiner]))

    def test_grows_by_a_newcomer(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abcn", "abcn"))
        found = next_view_if_needed(view(), self.situation("abcn", joiners=[joiner]))
        assert found is not None
        self.assertEqual(found.target_size, 4)
        self.assertEqual(self.needed("abcd", usable="abcdn", joiners=[joiner]), ("abcdn", "abcdn"))

    def test_a_newcomer_replaces_nobody(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertEqual(self.needed(usable="abn", joiners=[joiner], silent={"c": 9.0}), ("abcn", "abn"))

    def test_grows_beyond_its_size_by_one_at_most(self) -> None:
        joiner = self.stranger()
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner]), ("abcn", "abcn"))
        found = next_view_if_needed(view(), self.situation("abcn", joiners=[joiner]))
        assert found is not None
        self.assertEqual(found.target_size, 3)
        self.assertIsNone(self.needed("abcd", usable="abcdn", joiners=[joiner]))

    def test_does_not_grow_where_the_leader_would_lose_its_lease(self) -> None:
        joiner = self.stranger(newcomer=True)
        self.assertIsNone(self.needed(usable="abcn", joiners=[joiner], granting=2))
        self.assertEqual(self.needed(usable="abcn", joiners=[joiner], granting=3), ("abcn", "abcn"))

    def test_a_surplus_machine_is_removed_once_silent(self) -> None:
        self.assertIsNone(self.needed("abcd", usable="abcd", silent={"d": 0.99}))
        self.assertEqual(self.needed("abcd", usable="acd", silent={"b": 2.0, "d": 1.0}), ("acd", "acd"))
        self.assertEqual(self.needed("abcd", usable="abc", silent={"b": 1.0, "d": 2.0}), ("abc", "abc"))
        self.assertEqual(self.needed("abcd", usable="abc", silent={"d": 0.9}), ("abcd", "abc"))

    def test_a_surplus_machine_that_leaves_is_removed_at_once(self) -> None:
        self.assertEqual(self.needed("abcd", usable="acd", leaving="b", silent={"d": 9.0}), ("acd", "acd"))
        self.assertEqual(self.needed("abcd", usable="acd", leaving="z"), ("abcd", "acd"))
        self.assertEqual(self.needed(usable="ab", leaving="c"), ("abc", "ab"), "of a view of its size nobody is")

    def test_a_machine_that_just_came_back_counts_where_the_chain_lacks_a_majority(self) -> None:
        self.assertEqual(self.needed("abcd", size=4, chain="abc", usable="ab", returning="d"), ("abcd", "abd"))
        self.assertEqual(self.needed(chain="abc", usable="ab", returning="c"), ("abc", "ab"))
        conflicts = [("b", "d")]
        found = self.needed("abcd", size=4, chain="abd", usable="ab", returning="cd", conflicts=conflicts)
        self.assertEqual(found, ("abcd", "abc"))

    def test_nobody_is_removed_from_a_view_of_its_size(self) -> None:
        self.assertEqual(self.needed(usable="ab", silent={"c": 9.0}), ("abc", "ab"))

    def test_machines_that_do_not_reach_each_other_do_not_share_the_chain(self) -> None:
        self.assertEqual(self.needed(conflicts=[("b", "c")]), ("abc", "ab"))
        self.assertEqual(self.needed(conflicts=[("c", "b")]), ("abc", "ab"))
        self.assertEqual(
            self.needed("abcde", size=5, usable="abcde", conflicts=[("b", "c"), ("b", "d")]), ("abcde", "acde")
        )

    def test_the_proposer_itself_stays(self) -> None:
        self.assertEqual(self.needed(conflicts=[("b", "c")], own="c"), ("abc", "ac"))

    def test_any_view_for_a_sealed_epoch(self) -> None:
        found = next_view_of_sealed_epoch(view(), self.situation("ab"), "abc")
        self.assertEqual(found.chain, ("a", "b"))
        found = next_view_of_sealed_epoch(view(), self.situation("a"), "bc")
        self.assertEqual((found.epoch, found.chain), (EPOCH + 1, ("b", "c")))
        found = next_view_of_sealed_epoch(view(chain="ca"), self.situation("a"), "abc")
        self.assertEqual(found.chain, ("c", "a", "b"))
        found = next_view_of_sealed_epoch(view("abcd", size=4, chain="ab"), self.situation("a"), "bcd")
        self.assertEqual(found.chain, ("b", "c", "d"))

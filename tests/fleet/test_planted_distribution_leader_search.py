"""The search for the leader, and the schedule of renewals."""

from __future__ import annotations

import math
import unittest

from rosechute.distribution import leader_search
from rosechute.distribution.leader_search import LeaderSearch, SearchState
from tests.fleet.distribution_builders import LEADER, NOW, OTHER, THIRD


class LeaderSearchTest(unittest.TestCase):
    """Attached: renewals at the leader. Searching: the others in turn, the one that was named first."""

    def setUp(self) -> None:
        self.search = LeaderSearch(NOW, [LEADER, OTHER, THIRD, LEADER])

    def attach(self, now: float = NOW, address: str = LEADER, term: int = 3) -> None:
        asked = dict(self.search.due(now))
        self.search.on_answer(now, address, asked.get(address, 0))
        self.assertTrue(self.search.accept_leader(now, address, term))

    def test_probes_two_at_once_in_turn(self) -> None:
        asked = [[address for address, _ in self.search.due(NOW + step / 10)] for step in range(3)]
        self.assertEqual(asked, [[LEADER, OTHER], [THIRD, LEADER], [OTHER, THIRD]])
        self.assertEqual(self.search.due(NOW + 0.25), [])
        self.assertAlmostEqual(self.search.next_due(), NOW + 0.3)

    def test_renews_at_the_leader_at_its_interval(self) -> None:
        self.attach()
        self.assertEqual((self.search.state, self.search.leader, self.search.term), (SearchState.ATTACHED, LEADER, 3))
        self.assertEqual(self.search.due(NOW + 0.39), [])
        self.assertEqual([address for address, _ in self.search.due(NOW + 0.4)], [LEADER])
        self.assertAlmostEqual(self.search.next_due(), NOW + 0.8)

    def test_answers_count_once_and_for_their_address(self) -> None:
        asked = dict(self.search.due(NOW))
        self.assertIsNone(self.search.on_answer(NOW, OTHER, asked[LEADER]))
        self.assertIsNone(self.search.on_answer(NOW, LEADER, 99))
        self.assertEqual(self.search.on_answer(NOW + 0.1, LEADER, asked[LEADER]), NOW)
        self.assertIsNone(self.search.on_answer(NOW + 0.1, LEADER, asked[LEADER]))

    def test_an_answer_completes_older_renewals_at_its_address(self) -> None:
        first = dict(self.search.due(NOW))
        second = dict(self.search.due(NOW + 0.1))
        self.search.on_answer(NOW + 0.2, LEADER, second[LEADER])
        self.assertIsNone(self.search.on_answer(NOW + 0.2, LEADER, first[LEADER]))
        self.assertEqual(self.search.on_answer(NOW + 0.2, OTHER, first[OTHER]), NOW)

    def test_a_leader_of_an_earlier_term_is_none(self) -> None:
        self.attach(term=3)
        self.assertFalse(self.search.accept_leader(NOW, OTHER, 2))
        self.assertEqual(self.search.leader, LEADER)
        self.assertTrue(self.search.accept_leader(NOW, OTHER, 4))
        self.assertEqual((self.search.leader, self.search.term), (OTHER, 4))

    def test_a_silent_leader_times_out_and_may_still_answer(self) -> None:
        self.attach()
        self.search.due(NOW + 0.4)
        self.assertEqual(self.search.due(NOW + 0.79), [])
        self.search.due(NOW + 0.8)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.assertEqual(self.search.next_due(), NOW + 0.9)
        asked = self.search.due(NOW + 0.9)
        self.assertIs(self.search.state, SearchState.SEARCHING)
        self.assertEqual(len(asked), 2)
        self.assertAlmostEqual(self.search.leaderless_since, NOW + 0.9 + leader_search.LATE_ANSWER_GRACE_S)
        self.assertAlmostEqual(self.search.next_due(), NOW + 1.0)

    def test_a_slow_leader_that_answers_steadily_is_not_silent(self) -> None:
        self.attach()
        ((_, first),) = self.search.due(NOW + 0.4)
        ((_, second),) = self.search.due(NOW + 0.8)
        self.search.on_answer(NOW + 0.85, LEADER, first)
        self.search.accept_leader(NOW + 0.85, LEADER, 3)
        self.assertEqual(self.search._leader_timeout_at(), NOW + 1.35)
        self.search.on_answer(NOW + 0.9, LEADER, second)
        self.assertEqual(self.search._leader_timeout_at(), math.inf)

    def test_not_the_leader_any_more(self) -> None:
        self.attach()
        self.search.on_redirect(NOW + 0.1, OTHER, THIRD)
        self.assertIs(self.search.state, SearchState.ATTACHED, "another one says so")
        self.search.on_redirect(NOW + 0.2, LEADER, THIRD)
        self.assertEqual((self.search.state, self.search.leaderless_since), (SearchState.SEARCHING, NOW + 0.2))
        self.assertEqual(self.search.due(NOW + 0.2)[0][0], THIRD, "the one that is named comes first")

    def test_named_by_itself_or_by_nobody(self) -> None:
        self.search.due(NOW)
        self.search.on_redirect(NOW + 0.01, OTHER, THIRD)
        self.assertEqual(self.search.next_due(), NOW + 0.01)
        self.search.due(NOW + 0.01)
        self.search.on_redirect(NOW + 0.02, THIRD, "")
        self.assertIsNone(self.search._candidate)
        self.search.on_redirect(NOW + 0.02, THIRD, THIRD)
        self.assertIsNone(self.search._candidate)
        self.search.on_redirect(NOW + 0.05, OTHER, THIRD)
        self.assertGreater(self.search.next_due(), NOW + 0.1, "it was asked just now")

    def test_leadership_announced_unasked(self) -> None:
        self.search.due(NOW)
        self.search.on_leadership_announced(NOW + 0.01, OTHER, 5)
        self.assertEqual(self.search.due(NOW + 0.01)[0][0], OTHER)
        self.attach(NOW + 0.2, THIRD, 5)
        self.assertIsNone(self.search._candidate)
        self.search.on_leadership_announced(NOW + 0.3, OTHER, 6)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.search.on_link_closed(NOW + 0.3, THIRD)
        self.search.on_link_closed(NOW + 0.4, THIRD)
        self.assertEqual(self.search.leaderless_since, NOW + 0.3, "it was sought already")
        self.search.due(NOW + 0.3)
        self.search.on_leadership_announced(NOW + 0.31, OTHER, 4)
        self.assertIsNone(self.search._candidate, "of an earlier term")

    def test_a_link_that_ended(self) -> None:
        asked = dict(self.search.due(NOW))
        self.search.on_link_closed(NOW, LEADER)
        self.assertIsNone(self.search.on_answer(NOW, LEADER, asked[LEADER]))
        self.assertEqual(self.search.on_answer(NOW, OTHER, asked[OTHER]), NOW)
        self.search.on_redirect(NOW, OTHER, THIRD)
        self.search.on_link_closed(NOW, THIRD)
        self.assertIsNone(self.search._candidate)
        self.attach(NOW + 0.2)
        self.search.on_link_closed(NOW + 0.2, OTHER)
        self.assertIs(self.search.state, SearchState.ATTACHED)
        self.search.on_link_closed(NOW + 0.2, LEADER)
        self.assertEqual((self.search.state, self.search.leaderless_since), (SearchState.SEARCHING, NOW + 0.2))

    def test_a_candidate_is_kept_whatever_others_answer(self) -> None:
        self.search.due(NOW)
        self.search.on_redirect(NOW + 0.01, OTHER, THIRD)
        self.search.on_redirect(NOW + 0.01, LEADER, "")
        self.search.on_link_closed(NOW + 0.01, LEADER)
        for step in range(4):
            asked = [address for address, _ in self.search.due(NOW + 0.01 + step)]
            self.assertEqual((asked[0], len(set(asked))), (THIRD, 2), "each one once")

    def test_renews_ahead_of_its_interval(self) -> None:
        self.attach()
        self.search.renew_now(NOW + 0.1)
        self.search.accept_leader(NOW + 0.1, LEADER, 3)
        self.assertEqual([address for address, _ in self.search.due(NOW + 0.1)], [LEADER])

    def test_addresses(self) -> None:
        self.assertEqual((self.search.addresses(), self.search.has_core()), ([LEADER, OTHER, THIRD], False))
        self.search.set_core(["x:1", OTHER, "x:1"])
        self.assertEqual(self.search.addresses(), ["x:1", OTHER, LEADER, THIRD])
        self.assertTrue(self.search.has_core())
        self.search.set_seeds([THIRD, THIRD])
        self.assertEqual(self.search.addresses(), ["x:1", OTHER, THIRD])
        self.search.on_redirect(NOW, OTHER, "y:1")
        self.assertEqual(self.search.addresses()[0], "y:1")

    def test_old_renewals_are_not_waited_for(self) -> None:
        asked = dict(self.search.due(NOW))
        self.search.due(NOW + 10.1)
        self.assertIsNone(self.search.on_answer(NOW + 10.1, LEADER, asked[LEADER]))
        for number in range(200):
            self.search.on_redirect(NOW + 11 + number, OTHER, f"n{number}:1")
            self.search.due(NOW + 11 + number)
        self.assertLess(len(self.search._last_sent_at), 100)

    def peers_asked(self, now: float) -> list[str]:
        """The edges of the zone that are asked at a moment."""
        return [address for address, _ in self.search.due(now) if address in self.search.peers()]

    def test_peers_are_probed_in_turn_where_the_core_is_not_found(self) -> None:
        self.search.set_peers(["b:1", "c:1"])
        asked = [self.peers_asked(NOW + step) for step in (0.5, 1.45, 1.6, 1.75, 1.85, 1.95, 2.06, 2.27)]
        self.assertEqual(asked, [[], [], ["c:1"], [], ["b:1"], [], ["c:1"], ["b:1"]])

    def test_peers_are_not_probed_before_their_interval_once_the_leader_was_lost_a_second_time(self) -> None:
        """The time without a leader counts from its last loss, and not from the last question."""
        self.search.set_peers(["b:1", "c:1"])
        self.assertEqual(self.peers_asked(NOW + 1.6), ["c:1"])
        self.attach(NOW + 1.75)
        self.search.on_link_closed(NOW + 2.0, LEADER)
        asked = [self.peers_asked(NOW + step) for step in (2.0, 3.45, 3.6, 3.75)]
        self.assertEqual(asked, [[], [], ["b:1"], []])

    def test_peers_are_not_probed_while_the_leader_answers(self) -> None:
        self.search.set_peers(["b:1", "c:1"])
        self.attach()
        for step in range(1, 11):
            asked = self.search.due(NOW + 0.4 * step)
            self.assertEqual([address for address, _ in asked], [LEADER])
            self.search.on_answer(NOW + 0.4 * step, *asked[0])
            self.search.accept_leader(NOW + 0.4 * step, LEADER, 3)


if __name__ == "__main__":
    unittest.main()

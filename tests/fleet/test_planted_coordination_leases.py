"""The leader lease, the failure detection and the freshness of what a machine knows, part by part."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.coordination.chain import Chain
from rosechute.coordination.epoch_confirmer import EpochConfirmer
from rosechute.coordination.failure_detector import FORGET_UNKNOWN_AFTER_S, NEVER, FailureDetector
from rosechute.coordination.freshness import Freshness
from rosechute.coordination.heartbeats import Heartbeats
from rosechute.coordination.leader_lease import LeaderLease, LeaseRole, count_available_grantors
from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_state import RateLeaseOwners
from rosechute.coordination.types import LeadershipGained, LeadershipLost, SendMessage, Timing
from rosechute.coordination.views import LeaderTerm
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, OWN_INCARNATION, Parts, identity, term, view

TIMING = Timing()


class TimingTest(unittest.TestCase):
    """The times fit together; each is checked against those that it is reckoned from."""

    def test_margin_covers_the_drift_of_two_clocks(self) -> None:
        self.assertGreater(TIMING.lease_margin, 0.02 * TIMING.lease)

    def test_renewals_come_several_times_in_a_lease(self) -> None:
        self.assertGreater(TIMING.lease - TIMING.lease_margin, 3 * TIMING.renew)
        self.assertGreater(TIMING.renew, TIMING.heartbeat)

    def test_silence_is_several_heartbeats(self) -> None:
        self.assertGreater(TIMING.suspect, 4 * TIMING.heartbeat)
        self.assertGreater(TIMING.silent_removed, TIMING.suspect)
        self.assertGreater(TIMING.blind, 2 * TIMING.heartbeat)

    def test_others_leave_a_proposer_its_time(self) -> None:
        self.assertGreater(TIMING.recover_sealed, TIMING.proposal_timeout)
        self.assertGreater(TIMING.proposal_timeout, 3 * TIMING.resend)
        self.assertGreater(TIMING.candidate_timeout, 3 * TIMING.resend)

    def test_a_disk_is_trusted_sooner_than_it_is_suspected(self) -> None:
        self.assertLess(TIMING.disk_healthy, TIMING.suspect)
        self.assertGreater(TIMING.disk_healthy, 0.1)

    def test_operators_are_answered_within_a_second(self) -> None:
        self.assertLess(TIMING.order_deadline, 1.0)
        self.assertGreater(TIMING.order_deadline, TIMING.suspect)


class GrantorTest(unittest.TestCase):
    """One holder at a time, by the clock of the grantor; terms and grantees are synced before a grant is told."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.grantor = LeaseGrantor(self.parts.context, NOW - 1.0)

    def request(
        self, sender: str = "b", number: int = 1, renewal: bool = False, epoch: int = EPOCH, boot: int = 8
    ) -> list[Any]:
        """Ask, sync, and look at the grants."""
        self.ask(sender, number, renewal, epoch, boot)
        self.parts.sync()
        return self.parts.sent("lease_grant")

    def ask(
        self, sender: str = "b", number: int = 1, renewal: bool = False, epoch: int = EPOCH, boot: int = 8
    ) -> None:
        message = pb.LeaseRequest(epoch=epoch, term=number, stamp=77.0, renewal=renewal)
        self.grantor.on_request(identity(sender), boot, message)

    def test_grant_answers_its_request(self) -> None:
        (grant,) = self.request(number=4)
        self.assertEqual((grant.epoch, grant.term, grant.stamp, grant.boot), (EPOCH, 4, 77.0, 8))

    def test_grant_goes_to_the_asker(self) -> None:
        self.ask("c")
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("lease_grant"), ["c"])

    def test_first_grant_waits_for_the_sync_of_term_and_grantee(self) -> None:
        self.ask(number=4)
        self.assertEqual(self.parts.sent("lease_grant"), [])
        kinds = [record.WhichOneof("body") for record in self.parts.sync()]
        self.assertEqual(kinds, ["grantee", "term"])
        self.assertEqual(len(self.parts.sent("lease_grant")), 1)
        self.assertEqual((self.parts.replica_state.term, self.parts.replica_state.grantee), (term(4), "b"))
        self.assertEqual(self.parts.replica_state.grantee_number, 1)

    def test_grant_tells_the_term_before(self) -> None:
        self.parts.replica_state.term = term(3)
        self.assertEqual([each.previous for each in self.request(number=4)], [3])
        self.assertEqual([each.previous for each in self.request(number=4)], [3], "asked again")
        self.assertEqual([each.previous for each in self.request(number=6)], [4])

    def test_grant_for_a_term_that_was_synced_by_an_earlier_process_tells_of_none_before(self) -> None:
        self.parts.replica_state.term = term(4)
        self.assertEqual([each.previous for each in self.request(number=4)], [4])

    def test_repeated_request_waits_for_the_same_sync(self) -> None:
        self.ask(number=4)
        self.ask(number=4)
        self.assertEqual(self.parts.sent("lease_grant"), [])
        self.assertEqual(len(self.parts.sync()), 2)
        self.assertEqual(len(self.parts.sent("lease_grant")), 2)

    def test_another_grantee_is_noted(self) -> None:
        self.request("b", 1)
        self.parts.pass_time(TIMING.lease, hearing="bc")
        self.ask("c", 2)
        (grantee, _) = self.parts.sync()
        self.assertEqual((grantee.grantee.holder, grantee.grantee.number), ("c", 2))

    def test_same_grantee_is_not_noted_again(self) -> None:
        self.request("b", 1)
        self.ask("b", 2)
        self.assertEqual([each.WhichOneof("body") for each in self.parts.sync()], ["term"])

    def test_binds_for_a_whole_lease(self) -> None:
        self.request("b", 1)
        self.parts.pass_time(TIMING.lease - 0.01, hearing="bc")
        self.assertFalse(self.grantor.is_free())
        self.assertEqual(self.request("c", 2), [])
        self.parts.pass_time(0.02)
        self.assertTrue(self.grantor.is_free())
        self.assertEqual(len(self.request("c", 2)), 1)

    def test_binds_from_the_grant_on_where_the_sync_took_long(self) -> None:
        self.ask("b", 1)
        self.parts.pass_time(0.5, hearing="bc")
        self.parts.sync()
        self.assertEqual(self.grantor.granted_until, self.parts.now + TIMING.lease)

    def test_binds_from_the_request_on_while_the_sync_is_under_way(self) -> None:
        self.ask("b", 1)
        self.assertEqual(self.grantor.granted_until, NOW + TIMING.lease)
        self.ask("c", 2)
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("lease_grant"), ["b"])
        self.assertEqual(self.grantor.granted_term, term(1))

    def test_no_grant_to_one_that_another_has_overtaken_before_the_sync(self) -> None:
        self.ask("b", 1)
        self.ask("b", 2)
        self.parts.sync()
        self.assertEqual([each.term for each in self.parts.sent("lease_grant")], [2])

    def test_renewal_binds_again_without_a_sync(self) -> None:
        self.request("b", 1)
        self.parts.pass_time(1.0, hearing="bc")
        self.ask("b", 1, renewal=True)
        self.assertEqual(len(self.parts.sent("lease_grant")), 1)
        self.assertEqual(self.parts.sync(), [])
        self.assertEqual(self.grantor.granted_until, self.parts.now + TIMING.lease)

    def test_renewal_at_a_grantor_that_never_granted_is_noted_beside_the_next_record(self) -> None:
        self.ask("b", 4, renewal=True)
        self.assertEqual(len(self.parts.sent("lease_grant")), 1)
        self.assertIsNone(self.parts.flush())
        self.assertEqual(self.parts.replica_state.term, LeaderTerm(), "a renewal gains no term")
        self.parts.disk.write(pb.Record(probe=pb.ProbeRecord()))
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.grantee, "b")

    def test_renewal_of_another_grantee_is_synced_first(self) -> None:
        self.request("b", 1)
        self.parts.pass_time(TIMING.lease, hearing="bc")
        self.ask("c", 2, renewal=True)
        self.assertEqual(self.parts.sent("lease_grant"), [])
        self.assertEqual(len(self.parts.sync()), 1)
        self.assertEqual(self.parts.sent_to("lease_grant"), ["c"])

    def test_terms_are_gained_once(self) -> None:
        self.parts.replica_state.term = term(5, "c")
        self.assertEqual(self.request("b", 5), [])
        self.assertEqual(self.request("b", 4), [])
        self.assertEqual(self.request("c", 5, boot=9), [], "by one process")
        self.assertEqual(len(self.request("c", 5)), 1)
        self.assertEqual(len(self.request("c", 6)), 1)

    def test_a_renewal_goes_on_where_another_has_asked_for_a_higher_term(self) -> None:
        self.parts.replica_state.term = term(6, "c")
        self.assertEqual(len(self.request("b", 4, renewal=True)), 1)

    def test_term_of_another_that_came_before_the_sync(self) -> None:
        self.ask("b", 5)
        self.parts.replica_state.term = term(6, "c")
        self.parts.sync()
        self.assertEqual(self.parts.sent("lease_grant"), [])

    def test_another_epoch_gets_no_grant(self) -> None:
        for epoch in (EPOCH - 1, EPOCH + 1):
            self.assertEqual(self.request(epoch=epoch), [])
        self.assertEqual(self.grantor.granted_until, 0.0)

    def test_no_grant_in_a_sealed_epoch(self) -> None:
        self.parts.seal()
        self.ask()
        self.assertEqual(
            (self.grantor.granted_until, self.parts.sync(), self.parts.sent("lease_grant")), (0.0, [], [])
        )
        self.assertFalse(self.grantor.is_free())

    def test_no_grant_of_an_epoch_sealed_before_the_sync(self) -> None:
        self.ask()
        self.parts.seal()
        self.parts.sync()
        self.assertEqual(self.parts.sent("lease_grant"), [])

    def test_no_grant_of_an_epoch_that_ended_before_the_sync(self) -> None:
        self.ask()
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.parts.context.adopted_epoch = EPOCH + 1
        self.parts.sync()
        self.assertEqual(self.parts.sent("lease_grant"), [])

    def test_only_acceptors_grant(self) -> None:
        parts = Parts("z", "abc")
        grantor = LeaseGrantor(parts.context, NOW + 1.0, restored_grantee="b")
        grantor.on_request(identity("b"), 8, pb.LeaseRequest(epoch=EPOCH, term=1))
        parts.sync()
        self.assertEqual((parts.sent("lease_grant"), grantor.is_free(), grantor.reserved_for()), ([], False, ""))

    def test_a_machine_that_hears_no_answer_gets_no_grant(self) -> None:
        self.parts.pass_time(1.0, hearing="c")
        self.assertEqual(self.request("b"), [])
        self.assertEqual(len(self.request("c")), 1)

    def test_after_a_restart_only_the_grantee_before_has_it_at_once(self) -> None:
        grantor = self.grantor = LeaseGrantor(self.parts.context, NOW + TIMING.lease, restored_grantee="b")
        self.assertEqual((grantor.is_free(), grantor.reserved_for()), (False, "b"))
        self.assertEqual(self.request("c", 1), [])
        self.assertEqual(len(self.request("b", 2)), 1)
        self.assertEqual(grantor.reserved_for(), "b")

    def test_after_a_restart_all_wait_for_a_lease(self) -> None:
        grantor = self.grantor = LeaseGrantor(self.parts.context, NOW + TIMING.lease, restored_grantee="b")
        self.parts.pass_time(TIMING.lease - 0.01, hearing="bc")
        self.assertEqual(self.request("c", 1), [])
        self.parts.pass_time(0.02)
        self.assertEqual((grantor.is_free(), grantor.reserved_for()), (True, ""))
        self.assertEqual(len(self.request("c", 1)), 1)

    def test_abstains_for_a_lease(self) -> None:
        self.grantor = LeaseGrantor(self.parts.context, NOW - 1.0, restored_grantee="b")
        self.grantor.abstain()
        self.assertEqual(self.request("b", 1), [])
        self.assertEqual((self.grantor.is_free(), self.grantor.reserved_for()), (False, ""))
        self.assertEqual(self.grantor.abstain_until, NOW + TIMING.lease)

    def test_a_note_of_a_grantee_does_not_outlive_a_view_in_which_it_abstains(self) -> None:
        self.ask("b", 4, renewal=True)
        self.grantor.abstain()
        self.parts.disk.write(pb.Record(probe=pb.ProbeRecord()))
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.grantee, "")

    def test_abstains_no_shorter_than_before(self) -> None:
        self.grantor.abstain_until = NOW + 9.0
        self.grantor.abstain()
        self.assertEqual(self.grantor.abstain_until, NOW + 9.0)

    def test_kept_for_its_holder_while_the_grant_runs(self) -> None:
        self.request("b", 1)
        self.assertEqual(self.grantor.reserved_for(), "b")
        self.parts.seal()
        self.assertEqual(self.grantor.reserved_for(), "")

    def test_release_frees_it_for_others(self) -> None:
        self.request("b", 1)
        self.grantor.on_release(identity("b"), 8, pb.LeaseRelease(term=1))
        self.assertTrue(self.grantor.is_free())
        self.assertEqual(self.grantor.granted_term, LeaderTerm())
        self.assertTrue(self.parts.context.heartbeat_due)
        self.assertEqual(len(self.request("c", 2)), 1)

    def test_release_of_another_term_frees_nothing(self) -> None:
        self.request("b", 2)
        for sender, boot, number in (("b", 8, 1), ("b", 9, 2), ("c", 8, 2)):
            self.grantor.on_release(identity(sender), boot, pb.LeaseRelease(term=number))
        self.assertFalse(self.grantor.is_free())

    def test_no_grant_that_was_released_before_the_sync(self) -> None:
        self.ask("b", 1)
        self.grantor.on_release(identity("b"), 8, pb.LeaseRelease(term=1))
        self.parts.sync()
        self.assertEqual(self.parts.sent("lease_grant"), [])

    def test_release_after_the_lease_lengthens_nothing(self) -> None:
        self.request("b", 1)
        self.parts.pass_time(9.0)
        self.grantor.on_release(identity("b"), 8, pb.LeaseRelease(term=1))
        self.assertEqual(self.grantor.granted_until, NOW + TIMING.lease)


class HolderTest(unittest.TestCase):
    """The holder counts from the moment when it asked a majority, and stops a margin earlier."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.grantor = LeaseGrantor(self.parts.context, NOW - 1.0)
        self.holder = LeaderLease(self.parts.context, self.grantor)

    def grant(self, sender: str, stamp: float | None = None, **fields: Any) -> None:
        known: dict[str, Any] = {"epoch": EPOCH, "term": self.holder.term, "boot": OWN_INCARNATION}
        message = pb.LeaseGrant(stamp=NOW if stamp is None else stamp, **(known | fields))
        self.holder.on_grant(identity(sender), message)

    def lead(self) -> None:
        self.holder.tick()
        for each in "abc":
            self.grant(each)
        self.parts.actions()

    def test_asks_all_acceptors_under_a_new_term(self) -> None:
        self.parts.replica_state.term = term(3)
        self.parts.hear("c", term=6)
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.CANDIDATE)
        requests = self.parts.messages("lease_request")
        self.assertEqual([to for to, _ in requests], ["b", "c", "a"])
        for _, each in requests:
            self.assertEqual((each.epoch, each.term, each.stamp, each.renewal), (EPOCH, 7, NOW, False))

    def test_terms_go_up(self) -> None:
        self.parts.replica_state.term = term(3)
        self.holder.tick()
        self.assertEqual(self.holder.term, 4)
        self.holder.release()
        self.holder.tick()
        self.assertEqual(self.holder.term, 5)

    def test_majority_of_grants(self) -> None:
        self.holder.tick()
        self.grant("b")
        self.grant("b")
        self.assertFalse(self.holder.is_held(NOW))
        self.parts.actions()
        self.grant("c")
        self.assertTrue(self.holder.is_held(NOW))
        self.assertEqual(self.parts.actions(), [LeadershipGained(self.holder.term, frozenset())])
        self.assertTrue(self.parts.context.heartbeat_due)
        self.grant("a")
        self.assertEqual(self.parts.actions(), [], "gained once")

    def test_noted_edges_are_known_where_nobody_led_since(self) -> None:
        self.parts.replica_state.rate_lease_owners = RateLeaseOwners(3, frozenset("x"))
        for previous, known in (((3, 2), frozenset("x")), ((2, 3), frozenset("x")), ((2, 2), None), ((3, 4), None)):
            with self.subTest(previous=previous):
                self.parts.replica_state.term = term(self.holder.term + 1)
                self.holder.tick()
                for acceptor, number in zip("bc", previous, strict=True):
                    grant = pb.LeaseGrant(
                        epoch=EPOCH, term=self.holder.term, stamp=NOW, boot=OWN_INCARNATION, previous=number
                    )
                    self.holder.on_grant(identity(acceptor), grant)
                gained = [each for each in self.parts.actions() if isinstance(each, LeadershipGained)]
                self.assertEqual(gained, [LeadershipGained(self.holder.term, known)])
                self.holder.release()
                self.holder.next_candidacy_at = 0.0

    def test_counts_from_the_request_of_the_slowest_of_a_majority(self) -> None:
        self.holder.tick()
        self.grant("a", NOW)
        self.grant("b", NOW - 0.4)
        self.assertEqual(self.holder.valid_until, NOW - 0.4 + TIMING.lease - TIMING.lease_margin)
        self.grant("c", NOW - 0.3)
        self.assertEqual(self.holder.valid_until, NOW - 0.3 + TIMING.lease - TIMING.lease_margin)

    def test_grants_with_old_stamps_shorten_nothing(self) -> None:
        self.lead()
        until = self.holder.valid_until
        for each in "abc":
            self.grant(each, NOW - 0.9)
        self.assertEqual(self.holder.valid_until, until)
        self.assertEqual(self.holder.count_granting_acceptors(), 3)
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        for each in "abc":
            self.grant(each, NOW - 0.5, epoch=EPOCH + 1)
        self.assertEqual(self.holder.valid_until, until)

    def test_grants_that_come_too_late_give_nothing(self) -> None:
        self.holder.tick()
        self.parts.pass_time(TIMING.lease - TIMING.lease_margin)
        self.grant("a")
        self.grant("b")
        self.assertIs(self.holder.role, LeaseRole.CANDIDATE)

    def test_grants_that_do_not_count(self) -> None:
        self.grant("b")
        self.grant("c")
        self.assertEqual((self.holder.role, self.holder.valid_until), (LeaseRole.FOLLOWER, 0.0))
        self.holder.tick()
        self.grant("a")
        for fields in ({"term": self.holder.term - 1}, {"epoch": EPOCH - 1}, {"boot": OWN_INCARNATION + 1}):
            self.grant("b", **fields)
        self.grant("z")
        self.assertFalse(self.holder.is_held(NOW))

    def test_grants_of_an_epoch_do_not_count_in_the_next(self) -> None:
        self.holder.tick()
        self.grant("a")
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.grant("b", epoch=EPOCH + 1)
        self.assertFalse(self.holder.is_held(NOW))
        self.grant("c", epoch=EPOCH + 1)
        self.assertTrue(self.holder.is_held(NOW))

    def test_ends_by_its_own_clock(self) -> None:
        self.lead()
        end = NOW + TIMING.lease - TIMING.lease_margin
        self.assertTrue(self.holder.is_held(end - 0.01))
        self.assertFalse(self.holder.is_held(end + 0.01))
        self.parts.pass_time(TIMING.lease - TIMING.lease_margin - 0.01)
        self.holder.expire()
        self.assertEqual(self.parts.actions(), [])
        self.parts.pass_time(0.02)
        self.holder.expire()
        self.assertIs(self.holder.role, LeaseRole.FOLLOWER)
        self.assertEqual(self.parts.actions(), [LeadershipLost()])
        self.holder.expire()
        self.assertEqual(self.parts.actions(), [])
        self.assertFalse(self.holder.is_held(NOW))

    def test_tells_when_it_ends(self) -> None:
        self.lead()
        self.parts.context.heartbeat_due = False
        self.parts.pass_time(2.0)
        self.holder.expire()
        self.assertTrue(self.parts.context.heartbeat_due)

    def test_a_candidate_does_not_expire(self) -> None:
        self.holder.tick()
        self.parts.pass_time(0.3)
        self.holder.expire()
        self.assertIs(self.holder.role, LeaseRole.CANDIDATE)

    def test_renews_in_time(self) -> None:
        self.lead()
        self.parts.pass_time(TIMING.renew - 0.01, hearing="bc")
        self.holder.tick()
        self.assertEqual(self.parts.sent("lease_request"), [])
        self.parts.pass_time(0.02)
        self.holder.tick()
        self.holder.tick()
        requests = self.parts.sent("lease_request")
        asked = [(each.renewal, each.stamp, each.term) for each in requests]
        self.assertEqual(asked, [(True, self.parts.now, 1)] * 3)

    def test_a_candidate_asks_again_and_gives_up(self) -> None:
        self.holder.tick()
        self.parts.actions()
        self.holder.tick()
        self.assertEqual(self.parts.sent("lease_request"), [])
        self.parts.pass_time(TIMING.resend, hearing="bc")
        self.holder.tick()
        self.assertEqual(len(self.parts.sent("lease_request")), 3)
        self.parts.pass_time(TIMING.candidate_timeout - TIMING.resend + 0.01, hearing="bc")
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.FOLLOWER)
        self.assertEqual([each.term for each in self.parts.sent("lease_release")], [1, 1, 1])
        self.assertEqual(self.holder.next_candidacy_at, self.parts.now + TIMING.candidate_step * 2.5)
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.FOLLOWER, "not at once again")
        self.parts.pass_time(TIMING.candidate_step * 2.5, hearing="bc")
        self.holder.tick()
        self.assertEqual((self.holder.role, self.holder.term), (LeaseRole.CANDIDATE, 2))

    def test_gives_the_grants_back(self) -> None:
        self.holder.release()
        self.assertEqual(self.parts.sent("lease_release"), [])
        self.lead()
        self.holder.release()
        self.assertFalse(self.holder.is_held(NOW))
        self.assertEqual(sorted(self.parts.sent_to("lease_release")), ["a", "b", "c"])

    def test_a_candidate_has_no_lease_to_lose(self) -> None:
        self.holder.tick()
        self.parts.actions()
        self.holder.release()
        self.assertNotIn(LeadershipLost(), self.parts.actions())

    def test_loses_it_with_its_place_in_the_chain_or_its_disk(self) -> None:
        for trouble in ("chain", "disk"):
            self.setUp()
            self.lead()
            if trouble == "chain":
                self.parts.replica_state.view = view(chain="bc")
            else:
                self.parts.disk.is_suspect = True
            self.holder.tick()
            self.assertIs(self.holder.role, LeaseRole.FOLLOWER)
            self.holder.tick()
            self.assertIs(self.holder.role, LeaseRole.FOLLOWER)

    def test_no_candidate_before_a_majority_would_grant(self) -> None:
        self.parts.hear("b", lease_free=False)
        self.parts.hear("c", lease_free=False)
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.FOLLOWER)
        self.parts.hear("c")
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.CANDIDATE)

    def test_no_candidate_in_a_sealed_epoch(self) -> None:
        self.parts.seal()
        self.holder.tick()
        self.assertIs(self.holder.role, LeaseRole.FOLLOWER)

    def test_candidates_wait_by_their_place(self) -> None:
        parts = Parts("c")
        holder = LeaderLease(parts.context, LeaseGrantor(parts.context, NOW - 1.0))
        for each in "ab":
            parts.hear(each, lease_free=False)
        holder.tick()
        self.assertEqual(holder.next_candidacy_at, NOW + 2 * TIMING.candidate_step)
        for each in "ab":
            parts.hear(each)
        holder.tick()
        self.assertIs(holder.role, LeaseRole.FOLLOWER)
        parts.pass_time(2 * TIMING.candidate_step, hearing="ab")
        holder.tick()
        self.assertIs(holder.role, LeaseRole.CANDIDATE)

    def test_waiting_is_not_shortened(self) -> None:
        self.holder.next_candidacy_at = NOW + 9.0
        self.parts.seal()
        self.holder.tick()
        self.assertEqual(self.holder.next_candidacy_at, NOW + 9.0)

    def test_a_new_candidate_counts_no_old_grants(self) -> None:
        self.holder.tick()
        self.grant("b")
        self.holder.release()
        self.holder.tick()
        self.grant("a")
        self.assertFalse(self.holder.is_held(NOW))

    def test_who_grants_lately(self) -> None:
        self.lead()
        self.assertEqual(self.holder.count_granting_acceptors(), 3)
        self.parts.pass_time(TIMING.suspect - 0.01)
        self.assertEqual(self.holder.count_granting_acceptors(), 3)
        self.grant("a", self.parts.now)
        self.parts.pass_time(0.02)
        self.assertEqual(self.holder.count_granting_acceptors(), 1)

    def test_free_grantors(self) -> None:
        context = self.parts.context
        self.assertEqual(count_available_grantors(context, self.grantor), 3)
        self.parts.hear("b", epoch=EPOCH - 1)
        self.assertEqual(count_available_grantors(context, self.grantor), 2)
        self.parts.hear("b", lease_free=False, lease_kept_for="c")
        self.assertEqual(count_available_grantors(context, self.grantor), 2)
        self.parts.hear("b", lease_free=False, lease_kept_for="a")
        self.assertEqual(count_available_grantors(context, self.grantor), 3)
        self.grantor.granted_until, self.grantor.granted_term = NOW + 1.0, term(1, "b")
        self.assertEqual(count_available_grantors(context, self.grantor), 2)
        self.grantor.granted_term = term(1, "a")
        self.assertEqual(count_available_grantors(context, self.grantor), 3)
        self.parts.pass_time(1.0, hearing="b")
        self.assertEqual(count_available_grantors(context, self.grantor), 2, "c is not reached")


class DetectorTest(unittest.TestCase):
    """A machine is healthy while it answers recent heartbeats; late words of an earlier process change nothing."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.detector = self.parts.detector

    def test_healthy_while_answers_come(self) -> None:
        limit = TIMING.suspect + TIMING.heartbeat
        self.parts.pass_time(limit - 0.01)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertTrue(self.detector.is_healthy("b"))
        self.assertEqual(sorted(self.detector.reachable_ids(self.parts.now)), ["b", "c"])
        self.parts.pass_time(0.02, hearing="c")
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertEqual([self.detector.is_healthy(each) for each in "bcz"], [False, True, False])
        self.assertEqual(self.detector.reachable_ids(self.parts.now), ["c"])
        self.assertTrue(self.detector.is_reachable(self.parts.now, "a"))
        self.assertFalse(self.detector.is_reachable(self.parts.now, "z"))

    def test_heartbeats_that_answer_nothing_are_no_answer(self) -> None:
        self.parts.pass_time(1.0)
        for fields in ({"echo_boot": OWN_INCARNATION + 1}, {"echo": self.parts.now + 5.0}, {"echo": NOW}):
            self.parts.hear("b", **fields)
            self.assertFalse(self.detector.is_healthy("b"), fields)
            self.assertFalse(self.detector.is_reachable(self.parts.now, "b"), fields)

    def test_told_unhealthy(self) -> None:
        self.parts.hear("b", healthy=False)
        self.assertFalse(self.detector.is_healthy("b"))
        self.assertTrue(self.detector.is_reachable(NOW, "b"))

    def test_late_heartbeats_change_nothing(self) -> None:
        self.parts.hear("b", boot=9, sequence=7)
        peer = self.detector.peers["b"]
        self.parts.hear("b", boot=8, sequence=9, stamp=NOW + 1)
        self.parts.hear("b", boot=9, sequence=9, stamp=NOW - 1)
        self.assertEqual((peer.incarnation, peer.heartbeat.sequence), (9, 7))

    def test_a_process_taken_for_an_ended_one_is_heard_again_after_its_successors_silence(self) -> None:
        silence = self.parts.context.timing.suspect + self.parts.context.timing.heartbeat
        self.parts.hear("b", boot=9)
        self.parts.pass_time(silence - 0.01)
        self.parts.hear("b", boot=8, stamp=NOW + 1)
        self.assertEqual(self.detector.peers["b"].incarnation, 9)
        self.parts.pass_time(0.02)
        self.parts.hear("b", boot=8, stamp=NOW + 2)
        peer = self.detector.peers["b"]
        self.assertEqual((peer.incarnation, peer.past_incarnations, peer.last_received_at), (8, {9}, self.parts.now))

    def test_another_process_has_answered_nothing_so_far(self) -> None:
        self.parts.pass_time(0.1)
        self.parts.hear("b", boot=9, echo_boot=0, echo=0.0, stamp=1.0)
        peer = self.detector.peers["b"]
        self.assertEqual(
            (peer.incarnation, peer.echoed_stamp, peer.last_answered_at, peer.is_healthy), (9, NEVER, NEVER, False)
        )
        self.assertEqual(peer.past_incarnations, {8})
        self.assertEqual((peer.heartbeat.stamp, peer.last_received_at), (1.0, self.parts.now))

    def test_healthy_anew_since_the_new_process(self) -> None:
        self.parts.pass_time(0.1)
        self.parts.hear("b", boot=9)
        self.assertEqual(self.detector.peers["b"].healthy_since, self.parts.now)
        self.parts.pass_time(0.1)
        self.parts.hear("b", boot=9)
        self.assertEqual(self.detector.peers["b"].healthy_since, NOW + 0.1)

    def test_answers_go_forward_only(self) -> None:
        self.parts.hear("b", echo=NOW - 5.0)
        peer = self.detector.peers["b"]
        self.assertEqual((peer.echoed_stamp, peer.last_answered_at), (NOW, NOW))

    def test_new_identity_of_a_machine(self) -> None:
        new = type(identity("b"))("b", "other", "z", "other:8367", "other:7500")
        self.detector.on_heartbeat(NOW, new, 8, pb.Heartbeat(stamp=NOW + 1))
        self.assertEqual(self.detector.peers["b"].identity, new)

    def test_own_freeze_is_nobodys_silence(self) -> None:
        self.parts.pass_time(5.0)
        self.detector._unreachable_since[("b", "c")] = NOW
        self.detector.compensate_pause(5.0)
        self.assertEqual(self.detector.silence_s(self.parts.now, "b"), 0.0)
        self.assertTrue(self.detector.is_reachable(self.parts.now, "b"))
        peer = self.detector.peers["b"]
        self.assertEqual((peer.healthy_since, peer.echoed_stamp), (NOW + 5.0, NOW), "an answer is as old as it is")
        self.assertEqual(self.detector.unreachable_pairs(self.parts.now + 9), set())

    def test_strangers_are_forgotten(self) -> None:
        self.parts.hear("z")
        self.parts.pass_time(FORGET_UNKNOWN_AFTER_S - 0.01)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertIn("z", self.detector.peers)
        self.parts.pass_time(0.02)
        self.detector.tick(self.parts.now, "abc", is_planning=False)
        self.assertEqual(sorted(self.detector.peers), ["b", "c"])

    def test_reached_by_another(self) -> None:
        self.parts.hear("c", reached=["b"])
        self.assertTrue(self.detector.is_reachable_from_another(NOW, "b"))
        self.parts.hear("c", reached=["a"])
        self.parts.hear("b", reached=["a"])
        self.assertFalse(self.detector.is_reachable_from_another(NOW, "b"))
        self.parts.hear("c", reached=["b"])
        self.assertFalse(self.detector.is_reachable_from_another(NOW + 2.0, "b"), "c itself is not reached")

    def settles_after(self, removals: int) -> float:
        """How long a machine has to be healthy before it may come back."""
        peer = self.detector.peers["b"]
        peer.removals = [NOW - 1.0] * removals
        for tenths in range(1, 80):
            if self.detector.is_readmittable(NOW + tenths / 10 + 0.001, "b"):
                return tenths / 10
        return 8.0

    def test_a_machine_that_was_removed_often_waits_longer(self) -> None:
        waits = [self.settles_after(removals) for removals in (0, 1, 2, 3, 4, 5, 9)]
        self.assertEqual(waits, [0.3, 0.3, 0.6, 1.2, 2.4, 4.8, 5.0])
        self.assertFalse(self.detector.is_readmittable(NOW + 9, "z"))
        self.detector.peers["b"].is_healthy = False
        self.assertFalse(self.detector.is_readmittable(NOW + 9, "b"))

    def test_old_removals_do_not_count(self) -> None:
        peer = self.detector.peers["b"]
        peer.removals = [NOW - TIMING.removal_memory - 1.0] * 5
        self.assertTrue(self.detector.is_readmittable(NOW + 0.31, "b"))
        self.detector.record_removal(NOW, "b")
        self.assertEqual(peer.removals, [NOW])
        self.detector.record_removal(NOW, "b")
        self.detector.record_removal(NOW, "z")
        self.assertEqual(peer.removals, [NOW, NOW])

    def test_silence(self) -> None:
        self.assertEqual(self.detector.silence_s(NOW + 1, "a"), 0.0)
        self.assertEqual(self.detector.silence_s(NOW + 1, "b"), 1.0)
        self.assertEqual(self.detector.silence_s(NOW, "z"), 60.0)

    def conflicts(self, now: float) -> set[tuple[str, str]]:
        self.detector.tick(now, "abc", is_planning=True)
        return self.detector.unreachable_pairs(now)

    def test_conflicts_count_after_a_while(self) -> None:
        for reached in ({"b": ["a"], "c": ["a", "b"]}, {"b": ["a", "c"], "c": ["a"]}):
            self.setUp()
            for each, seen in reached.items():
                self.parts.hear(each, reached=seen)
            self.assertEqual(self.conflicts(NOW), set())
            self.assertEqual(self.conflicts(NOW + TIMING.conflict - 0.01), set())
            self.assertEqual(self.conflicts(NOW + TIMING.conflict), {("b", "c")})

    def test_conflicts_end(self) -> None:
        self.parts.hear("b", reached=["a"])
        self.conflicts(NOW)
        self.parts.hear("b")
        self.conflicts(NOW + 0.1)
        self.parts.hear("b", reached=["a"])
        self.assertEqual(self.conflicts(NOW + TIMING.conflict), set())

    def test_conflicts_count_from_when_views_are_planned(self) -> None:
        self.parts.hear("b", reached=["a"])
        self.conflicts(NOW)
        self.detector.tick(NOW + 0.3, "abc", is_planning=False)
        self.assertEqual(self.conflicts(NOW + 0.6), set())

    def test_no_conflicts_of_unhealthy_machines(self) -> None:
        self.parts.hear("b", reached=["a"], healthy=False)
        self.conflicts(NOW)
        self.assertEqual(self.conflicts(NOW + TIMING.conflict), set())

    def test_pairs_have_one_order(self) -> None:
        detector = FailureDetector(identity("a"), OWN_INCARNATION, TIMING, NOW)
        for each in "cb":
            detector.on_heartbeat(
                NOW, identity(each), 1, pb.Heartbeat(stamp=NOW, healthy=True, echo=NOW, echo_boot=OWN_INCARNATION)
            )
        detector.tick(NOW, "abc", is_planning=True)
        self.assertEqual(list(detector._unreachable_since), [("b", "c")])


class FreshnessTest(unittest.TestCase):
    """As of when a machine knows the newest configuration: a majority and the tail, in one open epoch."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.freshness = Freshness(self.parts.context)

    def test_contact_with_a_majority_and_the_tail(self) -> None:
        self.assertIsNone(self.freshness.read(NOW))
        self.parts.hear("c", sequence=8)
        self.freshness.update()
        self.assertEqual(self.freshness.read(NOW + 2.0), (8, 2.0))

    def test_as_of_the_oldest_answer_that_is_needed(self) -> None:
        self.parts.pass_time(0.4, hearing="b")
        self.freshness.update()
        self.assertEqual(self.freshness.read(self.parts.now), (5, self.parts.now - NOW), "the tail answered earlier")
        self.parts.pass_time(0.4, hearing="c")
        self.freshness.update()
        self.assertEqual(self.freshness.as_of, self.parts.now, "own machine and tail are a majority")

    def test_of_five_three_are_needed(self) -> None:
        parts = Parts("e", "abcde")
        freshness = Freshness(parts.context)  # this machine is the tail
        parts.pass_time(0.4, hearing="ab")
        freshness.update()
        self.assertEqual(freshness.as_of, parts.now)
        parts.pass_time(0.4, hearing="a")
        freshness.update()
        self.assertEqual(freshness.as_of, NOW + 0.4)

    def test_no_freshness_without_contact_with_a_majority(self) -> None:
        for each in "ab":
            parts = Parts(each, chain="cab"[:2] + each if each != "a" else "bca")
            freshness = Freshness(parts.context)
            freshness.update()
            before = freshness.as_of
            self.assertEqual(before, NOW)
            parts.pass_time(9.0)
            freshness.update()
            self.assertEqual(freshness.as_of, NOW, "answers do not come any more")

    def test_a_machine_without_word_of_the_others(self) -> None:
        parts = Parts("c")
        freshness = Freshness(parts.context)
        parts.detector.peers.clear()
        freshness.update()
        self.assertIsNone(freshness.as_of, "the tail alone is no majority")

    def test_answers_of_another_or_a_sealed_epoch_do_not_count(self) -> None:
        for fields in ({"epoch": EPOCH - 1}, {"epoch": EPOCH + 1}, {"sealed": True}):
            self.setUp()
            self.parts.hear("c", **fields)
            self.freshness.update()
            self.assertIsNone(self.freshness.as_of, fields)

    def test_none_in_an_own_epoch_that_is_sealed(self) -> None:
        self.parts.seal()
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_none_without_a_chain(self) -> None:
        self.parts.replica_state.view = view(chain="")
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_none_before_the_first_answer(self) -> None:
        self.parts.hear("c", boot=9, echo_boot=0)
        self.freshness.update()
        self.assertIsNone(self.freshness.as_of)

    def test_does_not_go_back(self) -> None:
        self.parts.hear("c", sequence=8)
        self.freshness.update()
        self.parts.hear("c", sequence=7)
        self.freshness.update()
        self.assertEqual(self.freshness.sequence, 8)
        self.freshness.as_of = NOW + 1
        self.parts.hear("c", sequence=9)
        self.freshness.update()
        self.assertEqual((self.freshness.sequence, self.freshness.as_of), (8, NOW + 1))

    def test_the_tail_knows_by_itself(self) -> None:
        parts = Parts("c")
        freshness = Freshness(parts.context)
        freshness.update()
        self.assertEqual(freshness.read(NOW), (5, 0.0))


class ConfirmerTest(unittest.TestCase):
    """Contact with a majority before serving: a majority that was asked after the question came."""

    def setUp(self) -> None:
        self.parts = Parts()
        self.confirmer = EpochConfirmer(self.parts.context)
        self.told: list[bool] = []

    def ask(self, since: float = NOW) -> int:
        self.confirmer.confirm_epoch(self.told.append, since)
        (question, *_) = self.parts.sent("confirm")
        self.assertEqual(question.epoch, EPOCH)
        return int(question.round)

    def confirm(self, sender: str, number: int, epoch: int = EPOCH) -> None:
        self.confirmer.on_confirmed(identity(sender), pb.Confirmed(epoch=epoch, round=number))

    def test_asks_all_acceptors(self) -> None:
        self.confirmer.confirm_epoch(self.told.append, NOW)
        self.assertEqual(sorted(self.parts.sent_to("confirm")), ["a", "b", "c"])

    def test_majority_confirms_once(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.confirm("b", number)
        self.assertEqual(self.told, [])
        self.confirm("c", number)
        self.confirm("a", number)
        self.assertEqual(self.told, [True])

    def test_confirmations_that_do_not_count(self) -> None:
        number = self.ask()
        self.confirm("a", number)
        self.confirm("z", number)
        self.confirm("b", number - 1)
        self.confirm("b", number, EPOCH - 1)
        self.confirm("b", number, EPOCH + 1)
        self.assertEqual(self.told, [])

    def test_each_question_has_its_own_confirmations(self) -> None:
        first, second = self.ask(), self.ask()
        self.assertNotEqual(first, second)
        self.confirm("a", first)
        self.confirm("b", second)
        self.assertEqual(self.told, [])

    def test_questions_of_an_earlier_process_have_other_numbers(self) -> None:
        self.assertEqual(self.ask(), 2**47 + 1)

    def test_not_confirmed_in_an_epoch_that_is_sealed_here(self) -> None:
        number = self.ask()
        self.parts.seal()
        self.confirm("b", number)
        self.confirm("c", number)
        self.assertEqual(self.told, [False])

    def test_not_confirmed_in_another_epoch(self) -> None:
        number = self.ask()
        self.parts.replica_state.view = view(epoch=EPOCH + 1)
        self.confirm("b", number)
        self.confirm("c", number)
        self.assertEqual(self.told, [])
        self.confirmer.reject_all()
        self.assertEqual(self.told, [False])
        self.confirmer.reject_all()
        self.assertEqual(self.told, [False])

    def test_too_late(self) -> None:
        self.ask(NOW - 0.5)
        self.parts.pass_time(TIMING.order_deadline - 0.5 - 0.01)
        self.confirmer.tick()
        self.assertEqual(self.told, [])
        self.parts.pass_time(0.02)
        self.confirmer.tick()
        self.confirmer.tick()
        self.assertEqual(self.told, [False])

    def test_too_late_by_answers_that_came_while_this_process_stood_still(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.parts.pass_time(TIMING.order_deadline + 0.01)
        self.confirm("c", number)
        self.assertEqual(self.told, [False])

    def test_asks_those_again_that_have_not_answered(self) -> None:
        number = self.ask()
        self.confirm("b", number)
        self.confirmer.tick()
        self.assertEqual(self.parts.sent("confirm"), [])
        self.parts.pass_time(TIMING.resend)
        self.confirmer.tick()
        self.confirmer.tick()
        again = self.parts.messages("confirm")
        self.assertEqual([to for to, _ in again], ["c", "a"])
        self.assertEqual({each.round for _, each in again}, {number})

    def confirmed(self, parts: Parts, epoch: int = EPOCH) -> list[Any]:
        EpochConfirmer(parts.context).on_confirm(identity("b"), pb.Confirm(epoch=epoch, round=6))
        return parts.messages("confirmed")

    def test_an_acceptor_confirms_its_open_epoch_only(self) -> None:
        ((to, answer),) = self.confirmed(self.parts)
        self.assertEqual((to, answer.epoch, answer.round), ("b", EPOCH, 6))
        self.assertEqual(self.confirmed(self.parts, EPOCH - 1), [])
        self.assertEqual(self.confirmed(self.parts, EPOCH + 1), [])
        self.parts.seal()
        self.assertEqual(self.confirmed(self.parts), [])
        self.assertEqual(self.confirmed(Parts("z", "abc")), [])

    def test_an_epoch_whose_adoption_is_not_synced_is_not_confirmed(self) -> None:
        self.parts.context.adopted_epoch = EPOCH - 1
        self.assertEqual(self.confirmed(self.parts), [])


class HeartbeatsTest(unittest.TestCase):
    """What a machine tells the others, and whom."""

    def setUp(self) -> None:
        self.make(Parts())

    def make(self, parts: Parts) -> None:
        self.parts = parts
        self.grantor = LeaseGrantor(parts.context, NOW - 1.0)
        self.holder = LeaderLease(parts.context, self.grantor)
        self.told: list[int] = []
        self.chain = Chain(parts.context, EpochConfirmer(parts.context), lambda: self.told.append(1))
        seeds = [("s:8367", "s:7500"), ("b:8367", "b:7500")]
        self.heartbeats = Heartbeats(parts.context, self.chain, self.grantor, self.holder, seeds)

    def beats(self) -> dict[str, Any]:
        self.heartbeats.send()
        return {
            each.address: each.message.heartbeat for each in self.parts.actions() if isinstance(each, SendMessage)
        }

    def test_what_is_told(self) -> None:
        self.parts.replica_state.newcomer = True
        self.parts.replica_state.term = term(4)
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.stamp, beat.epoch, beat.sequence, beat.committed), (NOW, EPOCH, 5, 5))
        self.assertEqual((beat.sealed, beat.joined, beat.active, beat.healthy), (False, True, False, True))
        self.assertFalse(beat.leaving)
        self.assertEqual((list(beat.reached), beat.term, beat.leads), (["b", "c"], 4, False))
        self.assertEqual((beat.lease_free, beat.lease_kept_for, beat.newcomer), (True, "", True))
        self.assertEqual((beat.echo, beat.echo_boot), (NOW, 8))

    def test_what_is_told_in_other_states(self) -> None:
        self.parts.seal()
        self.parts.context.is_leaving = True
        self.parts.context.joined_epoch = 0
        self.chain.is_active = True
        self.parts.replica_state.written = self.parts.replica_state.committed.with_write(EPOCH, 51, b"", b"")
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.sealed, beat.joined, beat.active, beat.healthy), (True, False, True, False))
        self.assertTrue(beat.leaving)
        self.assertEqual((beat.sequence, beat.committed, beat.lease_free, beat.newcomer), (6, 5, False, False))

    def test_nothing_is_joined_before_the_first_epoch(self) -> None:
        self.parts.context.joined_epoch = self.parts.context.adopted_epoch = 0
        self.assertFalse(self.beats()["b:7500"].joined)

    def test_the_epoch_told_is_the_synced_one(self) -> None:
        self.parts.context.adopted_epoch = EPOCH - 1
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.epoch, beat.sealed, beat.joined), (EPOCH - 1, True, False))

    def test_the_term_told_by_the_leader(self) -> None:
        self.parts.replica_state.term = term(4)
        self.holder.role, self.holder.term, self.holder.valid_until = LeaseRole.LEADER, 9, NOW + 1.0
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.term, beat.leads), (9, True))
        self.holder.valid_until = NOW
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.term, beat.leads), (4, False))

    def test_to_whom_the_lease_is_kept(self) -> None:
        self.grantor.granted_until, self.grantor.granted_term = NOW + 1.0, term(1, "c")
        beat = self.beats()["b:7500"]
        self.assertEqual((beat.lease_free, beat.lease_kept_for), (False, "c"))

    def test_acceptors_and_all_that_were_heard(self) -> None:
        self.parts.hear("z")
        self.assertEqual(sorted(self.beats()), ["b:7500", "c:7500", "z:7500"])
        self.assertEqual(self.heartbeats.next_at, NOW + TIMING.heartbeat)

    def test_seeds_only_while_that_may_find_others(self) -> None:
        self.assertNotIn("s:7500", self.beats())
        self.parts.pass_time(2.0, hearing="b")
        self.assertIn("s:7500", self.beats())
        self.make(Parts("z", "abc"))
        self.assertIn("s:7500", self.beats(), "outside of the view")

    def test_a_seed_is_told_no_answer(self) -> None:
        self.parts.pass_time(2.0)
        beat = self.beats()["s:7500"]
        self.assertEqual((beat.stamp, beat.echo, beat.echo_boot), (NOW + 2.0, 0.0, 0))

    def test_nobody_is_told_twice(self) -> None:
        self.parts.pass_time(2.0)
        self.heartbeats.send()
        addresses = [each.address for each in self.parts.actions() if isinstance(each, SendMessage)]
        self.assertEqual(sorted(addresses), ["b:7500", "c:7500", "s:7500"])

    def test_announced_once(self) -> None:
        self.parts.context.heartbeat_due = True
        self.beats()
        self.assertFalse(self.parts.context.heartbeat_due)

    def receive(self, name: str, boot: int = 8, **fields: Any) -> Any:
        known: dict[str, Any] = {"stamp": self.parts.now, "epoch": EPOCH, "sequence": 6, "healthy": True}
        return self.heartbeats.receive(identity(name), boot, pb.Heartbeat(**(known | fields)))

    def test_late_and_own_heartbeats_tell_nothing(self) -> None:
        self.parts.hear("b", boot=9)
        self.assertIsNone(self.receive("b", 8))
        self.assertIsNone(self.receive("b", 9, stamp=NOW - 1))
        self.assertIsNone(self.receive("a"))
        self.assertIs(self.receive("b", 9), self.parts.detector.peers["b"])
        self.assertNotIn("a", self.parts.detector.peers)

    def test_what_the_tail_has_stored_counts(self) -> None:
        written = self.parts.replica_state.written = self.parts.replica_state.committed.with_write(
            EPOCH, 51, b"", b""
        )
        for name, fields in (("b", {}), ("c", {"sealed": True}), ("c", {"epoch": EPOCH - 1}), ("c", {"sequence": 5})):
            self.receive(name, **fields)
            self.assertEqual(self.parts.replica_state.written, written, (name, fields))
        self.receive("c")
        self.assertEqual(self.parts.replica_state.committed, written)

    def test_a_machine_without_a_view_hears_heartbeats(self) -> None:
        self.parts.replica_state.view = view(chain="")
        self.assertIsNotNone(self.receive("c"))

"""LeaseGrantor: to whom it grants the leader lease, and what is synced before."""

from __future__ import annotations

import unittest
from typing import Any

from rosechute.coordination.lease_grantor import LeaseGrantor
from rosechute.coordination.replica_config import Timing
from rosechute.coordination.views import LeaderTerm
from rosechute.messages import coordination_pb2 as pb

from .coordination_parts import EPOCH, NOW, Parts, identity, term, view

TIMING = Timing()


class LeaseGrantorTest(unittest.TestCase):
    """One holder at a time, by the clock of the grantor; terms and grantees are synced before a grant is sent."""

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

    def test_grant_echoes_its_request(self) -> None:
        (grant,) = self.request(number=4)
        self.assertEqual((grant.epoch, grant.term, grant.stamp, grant.boot), (EPOCH, 4, 77.0, 8))

    def test_grant_is_sent_to_the_requester(self) -> None:
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

    def test_grant_carries_the_previous_term(self) -> None:
        self.parts.replica_state.term = term(3)
        self.assertEqual([each.previous for each in self.request(number=4)], [3])
        self.assertEqual([each.previous for each in self.request(number=4)], [3], "asked again")
        self.assertEqual([each.previous for each in self.request(number=6)], [4])

    def test_grant_for_a_term_synced_by_an_earlier_process_carries_that_term_itself(self) -> None:
        self.parts.replica_state.term = term(4)
        self.assertEqual([each.previous for each in self.request(number=4)], [4])

    def test_repeated_request_waits_for_the_same_sync(self) -> None:
        self.ask(number=4)
        self.ask(number=4)
        self.assertEqual(self.parts.sent("lease_grant"), [])
        self.assertEqual(len(self.parts.sync()), 2)
        self.assertEqual(len(self.parts.sent("lease_grant")), 2)

    def test_another_grantee_is_persisted(self) -> None:
        self.request("b", 1)
        self.parts.advance(TIMING.lease_s, heartbeats_of="bc")
        self.ask("c", 2)
        (grantee, _) = self.parts.sync()
        self.assertEqual((grantee.grantee.holder, grantee.grantee.number), ("c", 2))

    def test_same_grantee_is_not_persisted_twice(self) -> None:
        self.request("b", 1)
        self.ask("b", 2)
        self.assertEqual([each.WhichOneof("body") for each in self.parts.sync()], ["term"])

    def test_grant_binds_for_one_lease(self) -> None:
        self.request("b", 1)
        self.parts.advance(TIMING.lease_s - 0.01, heartbeats_of="bc")
        self.assertFalse(self.grantor.is_free())
        self.assertEqual(self.request("c", 2), [])
        self.parts.advance(0.02)
        self.assertTrue(self.grantor.is_free())
        self.assertEqual(len(self.request("c", 2)), 1)

    def test_grant_binds_from_its_sending_after_a_slow_sync(self) -> None:
        self.ask("b", 1)
        self.parts.advance(0.5, heartbeats_of="bc")
        self.parts.sync()
        self.assertEqual(self.grantor.granted_until, self.parts.now + TIMING.lease_s)

    def test_grant_binds_from_the_request_while_the_sync_is_pending(self) -> None:
        self.ask("b", 1)
        self.assertEqual(self.grantor.granted_until, NOW + TIMING.lease_s)
        self.ask("c", 2)
        self.parts.sync()
        self.assertEqual(self.parts.sent_to("lease_grant"), ["b"])
        self.assertEqual(self.grantor.granted_term, term(1))

    def test_no_grant_for_a_request_superseded_before_the_sync(self) -> None:
        self.ask("b", 1)
        self.ask("b", 2)
        self.parts.sync()
        self.assertEqual([each.term for each in self.parts.sent("lease_grant")], [2])

    def test_renewal_binds_again_without_a_sync(self) -> None:
        self.request("b", 1)
        self.parts.advance(1.0, heartbeats_of="bc")
        self.ask("b", 1, renewal=True)
        self.assertEqual(len(self.parts.sent("lease_grant")), 1)
        self.assertEqual(self.parts.sync(), [])
        self.assertEqual(self.grantor.granted_until, self.parts.now + TIMING.lease_s)

    def test_renewal_at_a_grantor_without_grants_defers_the_grantee_record(self) -> None:
        self.ask("b", 4, renewal=True)
        self.assertEqual(len(self.parts.sent("lease_grant")), 1)
        self.assertIsNone(self.parts.flush())
        self.assertEqual(self.parts.replica_state.term, LeaderTerm(), "a renewal gains no term")
        self.parts.disk.write(pb.Record(probe=pb.ProbeRecord()))
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.grantee, "b")

    def test_renewal_of_another_grantee_is_synced_first(self) -> None:
        self.request("b", 1)
        self.parts.advance(TIMING.lease_s, heartbeats_of="bc")
        self.ask("c", 2, renewal=True)
        self.assertEqual(self.parts.sent("lease_grant"), [])
        self.assertEqual(len(self.parts.sync()), 1)
        self.assertEqual(self.parts.sent_to("lease_grant"), ["c"])

    def test_each_term_is_granted_to_one_process(self) -> None:
        self.parts.replica_state.term = term(5, "c")
        self.assertEqual(self.request("b", 5), [])
        self.assertEqual(self.request("b", 4), [])
        self.assertEqual(self.request("c", 5, boot=9), [], "by one process")
        self.assertEqual(len(self.request("c", 5)), 1)
        self.assertEqual(len(self.request("c", 6)), 1)

    def test_renewal_is_granted_after_another_requested_a_higher_term(self) -> None:
        self.parts.replica_state.term = term(6, "c")
        self.assertEqual(len(self.request("b", 4, renewal=True)), 1)

    def test_no_grant_for_a_term_superseded_before_the_sync(self) -> None:
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
        self.assertFalse(LeaseGrantor(parts.context, NOW - 1.0).is_free(), "it isn't bound, but no acceptor")

    def test_no_grant_to_an_unreachable_machine(self) -> None:
        self.parts.advance(1.0, heartbeats_of="c")
        self.assertEqual(self.request("b"), [])
        self.assertEqual(len(self.request("c")), 1)

    def test_after_a_restart_only_the_restored_grantee_is_granted_at_once(self) -> None:
        grantor = self.grantor = LeaseGrantor(self.parts.context, NOW + TIMING.lease_s, restored_grantee="b")
        self.assertEqual((grantor.is_free(), grantor.reserved_for()), (False, "b"))
        self.assertEqual(self.request("c", 1), [])
        self.assertEqual(len(self.request("b", 2)), 1)
        self.assertEqual(grantor.reserved_for(), "b")

    def test_after_a_restart_others_wait_for_one_lease(self) -> None:
        grantor = self.grantor = LeaseGrantor(self.parts.context, NOW + TIMING.lease_s, restored_grantee="b")
        self.parts.advance(TIMING.lease_s - 0.01, heartbeats_of="bc")
        self.assertEqual(self.request("c", 1), [])
        self.parts.advance(0.02)
        self.assertEqual((grantor.is_free(), grantor.reserved_for()), (True, ""))
        self.assertEqual(len(self.request("c", 1)), 1)

    def test_abstain_lasts_one_lease(self) -> None:
        self.grantor = LeaseGrantor(self.parts.context, NOW - 1.0, restored_grantee="b")
        self.grantor.abstain()
        self.assertEqual(self.request("b", 1), [])
        self.assertEqual((self.grantor.is_free(), self.grantor.reserved_for()), (False, ""))
        self.assertEqual(self.grantor.abstain_until, NOW + TIMING.lease_s)

    def test_abstain_drops_the_deferred_grantee_record(self) -> None:
        self.ask("b", 4, renewal=True)
        self.grantor.abstain()
        self.parts.disk.write(pb.Record(probe=pb.ProbeRecord()))
        self.parts.sync()
        self.assertEqual(self.parts.replica_state.grantee, "")

    def test_abstain_never_shortens_an_earlier_one(self) -> None:
        self.grantor.abstain_until = NOW + 9.0
        self.grantor.abstain()
        self.assertEqual(self.grantor.abstain_until, NOW + 9.0)

    def test_reserved_for_its_holder_while_the_grant_runs(self) -> None:
        self.request("b", 1)
        self.assertEqual(self.grantor.reserved_for(), "b")
        self.parts.seal()
        self.assertEqual(self.grantor.reserved_for(), "")

    def test_release_frees_the_grantor_for_others(self) -> None:
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

    def test_release_after_the_lease_does_not_extend_it(self) -> None:
        self.request("b", 1)
        self.parts.advance(9.0)
        self.grantor.on_release(identity("b"), 8, pb.LeaseRelease(term=1))
        self.assertEqual(self.grantor.granted_until, NOW + TIMING.lease_s)

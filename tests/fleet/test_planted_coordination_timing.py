"""Timing: time-outs and periods of the coordination fit together."""

from __future__ import annotations

import unittest

from rosechute.coordination.replica_config import Timing

TIMING = Timing()


class TimingTest(unittest.TestCase):
    """Each time is checked against those that it depends on."""

    def test_margin_covers_the_drift_of_two_clocks(self) -> None:
        self.assertGreater(TIMING.lease_margin, 0.02 * TIMING.lease)

    def test_lease_is_renewed_several_times(self) -> None:
        self.assertGreater(TIMING.lease - TIMING.lease_margin, 3 * TIMING.renew)
        self.assertGreater(TIMING.renew, TIMING.heartbeat)

    def test_suspect_timeout_spans_several_heartbeats(self) -> None:
        self.assertGreater(TIMING.suspect, 4 * TIMING.heartbeat)
        self.assertGreater(TIMING.silent_removed, TIMING.suspect)
        self.assertGreater(TIMING.blind, 2 * TIMING.heartbeat)

    def test_recovery_waits_longer_than_a_proposal(self) -> None:
        self.assertGreater(TIMING.recover_sealed, TIMING.proposal_timeout)
        self.assertGreater(TIMING.proposal_timeout, 3 * TIMING.resend)
        self.assertGreater(TIMING.candidate_timeout, 3 * TIMING.resend)

    def test_probe_limit_is_below_the_suspect_timeout(self) -> None:
        self.assertLess(TIMING.disk_healthy, TIMING.suspect)
        self.assertGreater(TIMING.disk_healthy, 0.1)

    def test_write_deadline_is_below_a_second(self) -> None:
        self.assertLess(TIMING.order_deadline, 1.0)
        self.assertGreater(TIMING.order_deadline, TIMING.suspect)

"""Timing: time-outs and periods of the coordination fit together."""

from __future__ import annotations

import unittest

from rosechute.coordination.replica_config import Timing

TIMING = Timing()


class TimingTest(unittest.TestCase):
    """Each time is checked against those that it depends on."""

    def test_margin_covers_the_drift_of_two_clocks(self) -> None:
        self.assertGreater(TIMING.lease_margin_s, 0.02 * TIMING.lease_s)

    def test_lease_is_renewed_several_times(self) -> None:
        self.assertGreater(TIMING.lease_s - TIMING.lease_margin_s, 3 * TIMING.renew_period_s)
        self.assertGreater(TIMING.renew_period_s, TIMING.heartbeat_period_s)

    def test_suspect_timeout_spans_several_heartbeats(self) -> None:
        self.assertGreater(TIMING.suspect_after_s, 4 * TIMING.heartbeat_period_s)
        self.assertGreater(TIMING.remove_after_silence_s, TIMING.suspect_after_s)
        self.assertGreater(TIMING.freeze_gap_s, 2 * TIMING.heartbeat_period_s)

    def test_recovery_waits_longer_than_a_proposal(self) -> None:
        self.assertGreater(TIMING.sealed_recovery_s, TIMING.proposal_timeout_s)
        self.assertGreater(TIMING.proposal_timeout_s, 3 * TIMING.resend_after_s)
        self.assertGreater(TIMING.candidate_timeout_s, 3 * TIMING.resend_after_s)

    def test_probe_limit_is_below_the_suspect_timeout(self) -> None:
        self.assertLess(TIMING.probe_deadline_s, TIMING.suspect_after_s)
        self.assertGreater(TIMING.probe_deadline_s, 0.1)

    def test_write_deadline_is_below_a_second(self) -> None:
        self.assertLess(TIMING.request_deadline_s, 1.0)
        self.assertGreater(TIMING.request_deadline_s, TIMING.suspect_after_s)

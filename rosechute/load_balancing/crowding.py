"""Estimate of congestion in the fleet by one sidecar, and load shedding based on it."""

from __future__ import annotations

import math
from collections.abc import Sequence

from rosechute.load_balancing.interface import RequestClass
from rosechute.load_balancing.state import EWMA_GAIN

SHED_THRESHOLD = 0.4  # level above which calls are shed
MAX_QUEUE_SAMPLE = 4.0  # upper bound of one queue sample
MAX_LEVEL = 1.5  # from 1 on nearly all calls are shed; a higher level only prolongs that
OWN_ANSWER_DIVISOR = 4.0  # own latencies weigh a quarter of a queue sample: costs vary, two slow ones may be chance
SHORT_ANSWER_RATIO = 0.2  # latency over target at which one queued request counts as one
STALE_HORIZONS = 16  # horizons without a sample after which the level is stale; under heavy shedding samples are rare
QUICK_DRAIN_RATIO = 0.05  # calls in flight that one server could finish within this share of the target are no jam
MAX_SLACK = 3.0  # bound of extra calls in flight when latencies are short, as servers with high limits congest late


class Crowding:
    """Crowding of the whole fleet, estimated from probes and own responses.

    `level` is 0 without congestion; calls are shed from `SHED_THRESHOLD` on.

    Args:
        classes: Request classes; the index in this sequence is the class id.
        horizon: Longest deadline of the classes, in nanoseconds.
        now: Current time in nanoseconds.
    """

    def __init__(self, classes: Sequence[RequestClass], horizon: int, now: int) -> None:
        self._class_shares = [1.0 / len(classes)] * len(classes)  # recent share of each class in the requests
        self.adopt(classes, horizon)
        self._updated_at = now
        self._mean_answer_ratio = 0.25  # mean latency of own responses over the target latency
        self._slack = 1.0  # factor on the usual number of calls in flight, larger for short latencies
        self.level = 0.0

    def adopt(self, classes: Sequence[RequestClass], horizon: int) -> None:
        """Apply changed classes. Known classes must keep their indices, with new ones after them."""
        self._horizon = horizon
        self._class_shares += [0.0] * (len(classes) - len(self._class_shares))
        self._cheapest_first = sorted(range(len(classes)), key=lambda i: (classes[i].worth, i))

    def count_request(self, class_id: int) -> None:
        """Update the class shares with a request."""
        for i, share in enumerate(self._class_shares):
            self._class_shares[i] = share + ((i == class_id) - share) * EWMA_GAIN / 8

    def observe_latency(self, part: float) -> None:
        """Update the mean with the latency of an own response, given as a share of the target latency."""
        self._mean_answer_ratio += (part - self._mean_answer_ratio) * EWMA_GAIN / 8
        self._slack = min(MAX_SLACK, max(1.0, (SHORT_ANSWER_RATIO / self._mean_answer_ratio) ** 2))

    def observe_queue(self, now: int, queue: float) -> None:
        """Update the level with the shortest queue that the probes of a call have found.

        The shortest queue is used because the call goes there. A mean over all probed servers would shed calls
        while some servers are idle, if one server is slow or reports too much, or if the fleet is small. A queued
        request weighs more the larger the share of the target latency that own responses take. The estimate is
        wrong when those latencies are outdated, as at the start of congestion, or when most reports are too low.
        """
        # Weighted by elapsed time and not by calls: at a high rate a queue of a few milliseconds is noise, and
        # when nearly all calls are shed the few that still probe are the only samples.
        gain = min(EWMA_GAIN, (now - self._updated_at) / self._horizon)
        sample = min(queue * (self._mean_answer_ratio / SHORT_ANSWER_RATIO) ** 2, MAX_QUEUE_SAMPLE)
        self.level = min(MAX_LEVEL, self.level + (sample - self.level) * gain)
        self._updated_at = now

    def observe_answer(self, now: int, slow: bool, part: float) -> None:
        """Update the level with the outcome of an own attempt, if no probes are used.

        A slow response weighs by its share of the target latency or the mean share: with scattered latencies a
        fifth of the responses is slow by chance, which is harmless far below the target. The weight is at most 1,
        as a hung or silent server says nothing about the others. The estimate is wrong when servers congest long
        before latencies approach the target.

        Args:
            now: Current time in nanoseconds.
            slow: Whether the response was slow or missing.
            part: Latency as a share of the target latency; 1 without a response.
        """
        sample = min(1.0, max(part, self._mean_answer_ratio) / SHORT_ANSWER_RATIO) if slow else 0.0
        if now - self._updated_at > STALE_HORIZONS * self._horizon:
            self.level = self.current_level(now)  # the level before a pause does not apply after it
        self.level += (sample - self.level) * EWMA_GAIN / OWN_ANSWER_DIVISOR
        self._updated_at = now

    def current_level(self, now: int) -> float:
        """Return the level, decayed by its age, as without calls nothing shows that congestion has ended."""
        return self.level * self._horizon / (self._horizon + now - self._updated_at)

    def should_shed(
        self, now: int, class_id: int, in_flight: int, expected: float, serial: float, draw: float
    ) -> bool:
        """Return whether to refuse a call of a class.

        Args:
            now: Current time in nanoseconds.
            class_id: Class of the call. Classes of the least worth are shed first.
            in_flight: Own attempts in flight.
            expected: Calls in flight without queueing, by Little's law.
            serial: Calls that one server could process in sequence within the target latency.
            draw: Random number from 0 up to 1.
        """
        level = self.current_level(now)
        # Calls in flight beyond Little's law and chance indicate congestion before responses do. A number that
        # would be served in time in any case does not count: at the start, before latencies are known to be
        # short, and after a pause of this process, when many calls are accepted at once.
        usual = max(self._slack * (2.0 + expected + 2.0 * math.sqrt(expected)), QUICK_DRAIN_RATIO * serial)
        level = max(level, 2.0 * math.log((1 + in_flight) / usual))
        shed = (level - SHED_THRESHOLD) / (1.0 - SHED_THRESHOLD)
        if shed <= 0.0:
            return False
        for i in self._cheapest_first:
            if i == class_id:
                return draw < min(0.99, shed / max(self._class_shares[i], 0.01))
            shed -= self._class_shares[i]
        return False

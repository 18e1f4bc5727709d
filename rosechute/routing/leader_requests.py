"""Requests of an edge to the leader: token requests in flight, and the schedule of lease reports.

Does no I/O: callers pass the time, number the messages and send them.
"""

from __future__ import annotations

import math

from .token_cache_policy import (
    MAX_SLOW_LINK_WAIT_S,
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    REQUEST_EXPIRY_S,
    ROUND_TRIP_WEIGHT,
    ROUND_TRIPS_WAITED,
)


class TokenRequestsInFlight:
    """Unanswered token requests by number, and the round-trip time that is measured from their answers."""

    def __init__(self) -> None:
        self.round_trip_s = 0.0  # moving average
        self._sent_at: dict[int, float] = {}

    def on_sent(self, now: float, request: int) -> None:
        """Record that a request is sent now."""
        self._sent_at[request] = now

    def on_answer(self, now: float, request: int) -> float | None:
        """Return when the answered request was sent; None for an unknown request or a second answer."""
        sent_at = self._sent_at.pop(request, None)
        if sent_at is not None:
            self.round_trip_s += ROUND_TRIP_WEIGHT * (now - sent_at - self.round_trip_s)
        return sent_at

    def forget_expired(self, now: float) -> None:
        """Drop requests whose answers are presumed lost."""
        expired = [request for request, sent_at in self._sent_at.items() if now - sent_at > REQUEST_EXPIRY_S]
        for request in expired:
            del self._sent_at[request]

    def timeout_s(self, minimum_s: float) -> float:
        """Return how long to wait for an answer in seconds: `minimum_s`, or longer over a slow link."""
        return min(max(minimum_s, ROUND_TRIPS_WAITED * self.round_trip_s), MAX_SLOW_LINK_WAIT_S)


class LeaseReportSchedule:
    """Schedule of the lease reports to the leader. Only the answer to the newest report is accepted.

    A new leader may wait for a report of every edge, so the first report to it is sent even if it is empty.
    """

    def __init__(self) -> None:
        self.term = 0  # of the leader that answered last, or of a newer leader
        self.is_known_to_leader = True  # whether the leader of this term has answered a report
        self.newest_request = 0  # number of the report in flight; 0 for none
        self.sent_at = -math.inf
        self.due_at = -math.inf

    def on_leader_known(self, now: float, term: int) -> None:
        """Make a report due at once if the term is newer than the known one."""
        if term > self.term:
            self.term = term
            self.is_known_to_leader = False
            self.due_at = now

    def on_sent(self, now: float, request: int) -> None:
        """Record that a report is sent now."""
        self.newest_request, self.sent_at, self.due_at = request, now, now + REPORT_TIMEOUT_S

    def on_answer(self, now: float, request: int, term: int) -> bool:
        """Return whether to accept an answer. An answer of another term makes a new report due at once."""
        if request != self.newest_request:
            return False
        self.newest_request = 0
        self.is_known_to_leader = term == self.term
        self.due_at = self.sent_at + REPORT_INTERVAL_S if term == self.term else now
        self.term = term
        return True

"""One model server as this edge sees it: its concurrency limit, its trials and backoff, its recent outcomes.

The concurrency limit is learnt: it rises by one with each trial that succeeds, and falls by what a failure says of
the server. Only methods of this class change it. It lies between 0 and `max_concurrency`. `in_flight` exceeds it only
by the one trial, or after it was lowered. A server with a limit of 0 is ejected (an outlier): it is sent nothing but
one trial at a time, with exponential backoff in between.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from rosechute.load_balancing.backoff import Backoff
from rosechute.routing.model import AttemptResult, ServerEntry
from rosechute.routing.tuning import RouterTuning

NANOSECONDS = 1_000_000_000
SLOT_OVERCOMMIT = 1.5  # connections of all edges for each slot of a server, beyond which its queue only grows
MIN_CONCURRENCY_LIMIT = 8  # where the share of connections allows it: smaller shares of the slots are too uneven
EXCESS_WEIGHT = 0.4  # of a sample in the excess latency
EXCESS_DECAY_S = 2.0  # excess latency falls to 1/e in this time
MIN_UNRESPONSIVE_S = 0.25  # a shorter time without a response head means nothing
UNRESPONSIVE_LATENCIES = 4.0  # times the usual latency after which a server is unresponsive
UNRESPONSIVE_LOAD = 4  # requests that an unresponsive server counts in addition
RESPONDING_SLOWDOWN_S = 0.001  # by which one responding request delays the prefill of another one
LATENCY_WEIGHT = 0.3  # of a sample in the recent latency
TIMEOUT_BACKOFF_S = 0.5  # added to a backoff after a time-out: a trial without a response costs its request the most
NON_REPEATABLE_TRIAL_DELAY_S = 0.5  # after a backoff; then requests that may not be repeated may be trials, too
ERROR_WEIGHT = 0.3  # of an outcome in the error rate
ERROR_DECAY_S = 8.0  # an error rate falls to 1/e in this time
MIN_ERROR_RATE = 0.001  # a smaller one counts as none
DEAD_AFTER_FAILURES = 2  # consecutive resets, errors or time-outs after which a server is taken for dead
TOKENS_PER_REQUEST_LOAD = 2_000  # pending prompt tokens that occupy a server for as long as one usual request
UNRESPONSIVE_RESULTS = (AttemptResult.RESET, AttemptResult.TIMEOUT)
NEUTRAL_RESULTS = (AttemptResult.DONE, AttemptResult.CANCELLED, AttemptResult.HEAD)  # no failure of the server


def _decayed(age_s: float, decay_s: float) -> float:
    """Return the rest of 1 after an age, which falls to 1/e in `decay_s`."""
    return math.exp(-max(0.0, age_s) / decay_s)


class Server:
    """One incarnation of a server. Times are seconds of the steady clock.

    Args:
        entry: As the endpoint list has it.
        tuning: Constants of the router.
        draw: Random numbers from 0 up to 1, for backoffs.
        seed: Hash of its id, for rendezvous hashing.

    Attributes:
        listed: Whether the endpoint list has it.
        ready: Whether the list says that it takes new requests; False while it drains.
        cold_until: Until when it warms up and is slow.
        concurrency_limit: Own requests that it may be sent at the same time.
        max_concurrency: The bound of that limit: this edge's share of its slots.
        in_flight: Own requests at the server.
        responding: Those of them with a response head.
        prefill_tokens: Prompt tokens of the others.
        trial: Whether a trial is at the server.
        retry_at: No trial is sent before this time.
        consecutive_failures: Since the last response.
        last_response_at: When the head of a response arrived last.
        unanswered_since: Since when it has owed a response head.
        latency_s: Recent time to the head of a response; 0 while unknown.
        excess_s: By how much heads were later than own requests explain, as of `excess_at`.
        error_rate: Share of failures, as of `error_at`.
        scheduled_retry_at: The `retry_at` that the pool has scheduled.
    """

    __slots__ = (
        "id",
        "entry",
        "address",
        "zone",
        "slots",
        "ready",
        "listed",
        "cold_until",
        "max_concurrency",
        "concurrency_limit",
        "in_flight",
        "trial",
        "backoff",
        "retry_at",
        "consecutive_failures",
        "last_response_at",
        "latency_s",
        "prefill_tokens",
        "responding",
        "prefill_tokens_per_s",
        "error_rate",
        "error_at",
        "seed",
        "scheduled_retry_at",
        "excess_s",
        "excess_at",
        "unanswered_since",
    )

    def __init__(self, entry: ServerEntry, tuning: RouterTuning, draw: Callable[[], float], seed: int) -> None:
        self.id = entry.id
        self.seed = seed
        self.listed = True
        self.adopt(entry)
        self.max_concurrency = 0
        self.concurrency_limit = 0
        self.in_flight = 0
        self.trial = False
        self.prefill_tokens_per_s = tuning.prefill_tokens_per_s
        self.backoff = Backoff(
            int(tuning.backoff_first_s * NANOSECONDS), int(tuning.backoff_most_s * NANOSECONDS), draw
        )
        self.retry_at = -math.inf
        self.consecutive_failures = 0
        self.last_response_at = -math.inf
        self.latency_s = 0.0
        self.prefill_tokens = 0
        self.excess_s = 0.0
        self.excess_at = -math.inf
        self.unanswered_since = -math.inf
        self.responding = 0
        self.error_rate = 0.0
        self.error_at = 0.0
        self.scheduled_retry_at = -math.inf

    def adopt(self, entry: ServerEntry) -> None:
        """Take over its entry in the endpoint list."""
        self.entry = entry
        self.address, self.zone, self.slots = entry.address, entry.zone, entry.slots
        self.ready, self.cold_until = entry.ready, entry.cold_until

    def start(self, connection_share: int, edges: int, tuning: RouterTuning) -> None:
        """Set the first concurrency limit of a new server."""
        self.max_concurrency = self._max_concurrency(connection_share, edges)
        self.concurrency_limit = min(self.max_concurrency, max(tuning.first_budget, self.slots // edges))

    def set_limits(self, connection_share: int, edges: int) -> bool:
        """Set the bound of the concurrency limit again; return whether it has changed."""
        before, self.max_concurrency = self.max_concurrency, self._max_concurrency(connection_share, edges)
        self.concurrency_limit = min(self.concurrency_limit, self.max_concurrency)
        return self.max_concurrency != before

    def _max_concurrency(self, connection_share: int, edges: int) -> int:
        if self.slots <= 0:
            return connection_share
        return min(connection_share, max(MIN_CONCURRENCY_LIMIT, math.ceil(SLOT_OVERCOMMIT * self.slots / edges)))

    # --- state

    @property
    def is_available(self) -> bool:
        """Whether it takes new requests at all: it is listed and does not drain."""
        return self.ready and self.listed

    def has_capacity(self) -> bool:
        """Return whether it is available and below its concurrency limit."""
        return self.in_flight < self.concurrency_limit and self.ready and self.listed

    def accepts_trial(self, now: float) -> bool:
        """Return whether one request may be sent as a trial: at a limit of 0, or at a full limit below its bound."""
        if self.trial or not self.is_available or now < self.retry_at or self.in_flight >= self.max_concurrency:
            return False
        return not self.concurrency_limit or self.in_flight == self.concurrency_limit

    def accepts_trial_of(self, now: float, repeatable: bool) -> bool:
        """Return whether a request may be the trial at a limit of 0.

        A request that may not be repeated is lost where the server is still unresponsive, so the first moments after
        a backoff are left to others.
        """
        return repeatable or now >= self.retry_at + NON_REPEATABLE_TRIAL_DELAY_S

    def current_error_rate(self, now: float) -> float:
        """Return the share of failures among recent responses, decayed."""
        if self.error_rate < MIN_ERROR_RATE:
            return 0.0
        return self.error_rate * _decayed(now - self.error_at, ERROR_DECAY_S)

    def load(self, now: float) -> float:
        """Return the load by own requests, in usual requests.

        Pending prompt tokens count as further requests (exception "long prompts" of docs/design-fleet.md). So does a
        slow start, and a server that is unresponsive counts as several more.
        """
        more = (now < self.cold_until) + self.is_unresponsive(now) * UNRESPONSIVE_LOAD
        return self.in_flight + self.prefill_tokens / TOKENS_PER_REQUEST_LOAD + more

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it has owed a response head for far longer than usual, and than its prefill explains."""
        unresponsive_s = self.unresponsive_for_s(now)
        if unresponsive_s < MIN_UNRESPONSIVE_S:
            return False
        explained_s = max(self.latency_s, self.prefill_tokens / self.prefill_tokens_per_s)
        return unresponsive_s > UNRESPONSIVE_LATENCIES * explained_s

    def unresponsive_for_s(self, now: float) -> float:
        """Return for how long it has owed a response head without sending any."""
        if self.in_flight == self.responding:
            return 0.0
        return now - max(self.last_response_at, self.unanswered_since)

    def queue_delay_s(self, now: float) -> float:
        """Return how long a request sent now would be queued there, by own requests and the excess latency."""
        return self.pending_prefill_s(now) + self.excess_latency_s(now) + self.responding * RESPONDING_SLOWDOWN_S

    def pending_prefill_s(self, now: float) -> float:
        """Return how long the prefill of own requests takes, or for how long it has been unresponsive."""
        return max(self.prefill_tokens / self.prefill_tokens_per_s, self.unresponsive_for_s(now))

    def excess_latency_s(self, now: float) -> float:
        """Return by how much response heads were later than own requests explain, decayed."""
        return self.excess_s * _decayed(now - self.excess_at, EXCESS_DECAY_S) if self.excess_s else 0.0

    # --- events

    def on_attempt_started(self, now: float, trial: bool, tokens: int) -> None:
        """Count a request that is sent, `tokens` of whose prompt the server has to prefill."""
        if self.in_flight == self.responding:
            self.unanswered_since = now
        self.in_flight += 1
        self.prefill_tokens += tokens
        self.trial = self.trial or trial

    def on_response_head(self, now: float, took_s: float, excess_s: float, trial: bool, tokens: int) -> None:
        """Take the head of a successful response, which raises the concurrency limit after a trial.

        Args:
            now: Steady time in seconds.
            took_s: Since the request was sent.
            excess_s: By how much it was later than own requests explain.
            trial: Whether the request was a trial.
            tokens: As of `on_attempt_started`.
        """
        self.prefill_tokens -= tokens
        self.responding += 1
        self.last_response_at = now
        if not self.concurrency_limit:
            self.retry_at = now  # it responds again
        self.consecutive_failures = 0
        self._record_outcome(now, is_failure=False)
        self.latency_s += (took_s - self.latency_s) * (LATENCY_WEIGHT if self.latency_s else 1.0)
        self._record_excess_latency(now, excess_s)
        if trial:
            self.trial = False
            self.concurrency_limit = min(self.concurrency_limit + 1, self.max_concurrency)
            self.retry_at = -math.inf
            self.backoff.answered()

    def on_attempt_finished(
        self, now: float, sent_at: float, result: AttemptResult, trial: bool, is_responding: bool, tokens: int
    ) -> None:
        """Take the outcome of an attempt, which may lower the concurrency limit and begin a backoff.

        Args:
            now: Steady time in seconds.
            sent_at: When the request was sent.
            result: Its outcome.
            trial: Whether it was a trial.
            is_responding: Whether `on_response_head` was called for it.
            tokens: As of `on_attempt_started`.
        """
        self.in_flight -= 1
        if is_responding:
            self.responding -= 1
        else:
            self.prefill_tokens -= tokens
        if trial and not is_responding:
            self.trial = False
        if result in NEUTRAL_RESULTS:
            return
        failed_trial = trial and not is_responding
        limit_before = self.concurrency_limit
        others_responded = result in UNRESPONSIVE_RESULTS and self.last_response_at > sent_at
        if result is AttemptResult.SERVER_ERROR or others_responded:
            self._record_outcome(now, is_failure=True)
        if not failed_trial or result is not AttemptResult.NOT_EXECUTED:
            self._decrease_limit(sent_at, result)  # a rejected trial shows that the limit is right
        if failed_trial or (limit_before and not self.concurrency_limit) or result is AttemptResult.NOT_EXECUTED:
            self._back_off(now, TIMEOUT_BACKOFF_S if result is AttemptResult.TIMEOUT else 0.0)

    def _decrease_limit(self, sent_at: float, result: AttemptResult) -> None:
        """Lower the concurrency limit by what an outcome says of the server."""
        limit = self.concurrency_limit
        if result is AttemptResult.NOT_EXECUTED:
            self.concurrency_limit = max(0, min(limit, self.in_flight + 1) - 1)
        elif result in (AttemptResult.CONNECT_FAILED, AttemptResult.WRONG_INSTANCE):
            self.consecutive_failures += 1
            self.concurrency_limit = 0
        elif result is AttemptResult.SERVER_ERROR:
            self.consecutive_failures += 1
            self.concurrency_limit = max(min(1, limit), limit - 1)
        elif self.last_response_at > sent_at:
            # Others had a response meanwhile: one connection broke.
            self.concurrency_limit = max(min(1, limit), limit - 1)
        else:
            self.consecutive_failures += 1
            is_dead = self.consecutive_failures >= DEAD_AFTER_FAILURES or result is AttemptResult.TIMEOUT
            self.concurrency_limit = 0 if is_dead else limit // 2

    def _back_off(self, now: float, least_s: float = 0.0) -> None:
        """Send no trial for a while. Failures during a backoff do not extend it."""
        if now >= self.retry_at:
            self.retry_at = now + least_s + self.backoff.failed(0) / NANOSECONDS

    def _record_excess_latency(self, now: float, excess_s: float) -> None:
        """Add a sample to the excess latency. Older samples count for less."""
        weight = 1.0 - (1.0 - EXCESS_WEIGHT) * _decayed(now - self.excess_at, EXCESS_DECAY_S)
        self.excess_s += (excess_s - self.excess_s) * weight
        self.excess_at = now

    def _record_outcome(self, now: float, *, is_failure: bool) -> None:
        rate = self.current_error_rate(now)
        self.error_rate, self.error_at = rate + (is_failure - rate) * ERROR_WEIGHT, now

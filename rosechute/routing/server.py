"""State of one model server at this edge: concurrency limit, trials, backoff and recent outcomes.

The concurrency limit is adaptive: each successful trial raises it by one, and failures lower it, by an amount that
depends on their kind. Only methods of this class change it. It lies between 0 and `max_concurrency`. `in_flight`
exceeds it only by one trial, or after it was lowered. A server with a limit of 0 is ejected as an outlier: it is sent
only one trial at a time, with exponential backoff between trials.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from rosechute.load_balancing.backoff import Backoff
from rosechute.routing.model import AttemptResult, ServerEntry
from rosechute.routing.tuning import RouterTuning

NS_PER_S = 1_000_000_000
SLOT_OVERCOMMIT = 1.5  # connections of all edges per slot of a server; more would only lengthen its queue
MIN_CONCURRENCY_LIMIT = 8  # least `max_concurrency` within the connection share; smaller shares are too uneven
EXCESS_WEIGHT = 0.4  # least weight of a new sample in the excess latency
EXCESS_DECAY_S = 2.0  # time constant of the decay of the excess latency
MIN_UNRESPONSIVE_S = 0.25  # a shorter time without a response head is not significant
UNRESPONSIVE_LATENCIES = 4.0  # multiple of the expected latency after which a server is unresponsive
UNRESPONSIVE_LOAD = 4  # requests that are added to the load of an unresponsive server
RESPONDING_SLOWDOWN_S = 0.001  # delay of a prefill by each request that is being responded to
LATENCY_WEIGHT = 0.3  # weight of a new sample in the recent latency
TIMEOUT_BACKOFF_S = 0.5  # added to the backoff after a timeout, the costliest outcome for the request of a trial
NON_REPEATABLE_TRIAL_DELAY_S = 0.5  # time after a backoff in which only repeatable requests are sent as trials
ERROR_WEIGHT = 0.3  # weight of a new outcome in the error rate
ERROR_DECAY_S = 8.0  # time constant of the decay of the error rate
MIN_ERROR_RATE = 0.001  # a lower error rate is treated as 0
DEAD_AFTER_FAILURES = 2  # consecutive resets, errors or timeouts after which a server is considered dead
TOKENS_PER_REQUEST_LOAD = 2_000  # pending prompt tokens that equal the load of one average request
UNRESPONSIVE_RESULTS = (AttemptResult.RESET, AttemptResult.TIMEOUT)
# Results that are no failure of the server.
NEUTRAL_RESULTS = (AttemptResult.DONE, AttemptResult.CANCELLED, AttemptResult.HEAD)


def _decayed(age_s: float, decay_s: float) -> float:
    """Return the exponential decay factor after `age_s`, with the time constant `decay_s`."""
    return math.exp(-max(0.0, age_s) / decay_s)


class Server:
    """One incarnation of a server. Times are seconds of the steady clock.

    Args:
        entry: Entry of the server in the endpoint list.
        tuning: Constants of the router.
        draw: Source of random numbers in [0, 1), for backoffs.
        seed: Hash of the server id, for rendezvous hashing.

    Attributes:
        listed: Whether the server is in the endpoint list.
        ready: Whether the endpoint list marks it as ready; False while it drains.
        cold_until: End of the warm-up, during which the server is slow.
        concurrency_limit: The number of concurrent requests that this edge may send.
        max_concurrency: Upper bound of that limit: the share of this edge of the slots.
        in_flight: Requests of this edge at the server.
        responding: Those of them whose response head has arrived.
        prefill_tokens: Prompt tokens to prefill for the others.
        trial: Whether a trial is in flight.
        retry_at: Time before which no trial is sent.
        consecutive_failures: Failures since the last response.
        last_response_at: Time of the last response head.
        unanswered_since: Time since which at least one request has been waiting for a response head.
        latency_s: Recent time to the head of a response; 0 while unknown.
        excess_s: Delay of response heads that requests of this edge do not explain, as of `excess_at`.
        error_rate: Share of failures among outcomes, as of `error_at`.
        scheduled_retry_at: The `retry_at` for which the pool has scheduled the end of the backoff.
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
        self.update_entry(entry)
        self.max_concurrency = 0
        self.concurrency_limit = 0
        self.in_flight = 0
        self.trial = False
        self.prefill_tokens_per_s = tuning.prefill_tokens_per_s
        self.backoff = Backoff(int(tuning.backoff_initial_s * NS_PER_S), int(tuning.backoff_max_s * NS_PER_S), draw)
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

    def update_entry(self, entry: ServerEntry) -> None:
        """Replace the entry in the endpoint list."""
        self.entry = entry
        self.address, self.zone, self.slots = entry.address, entry.zone, entry.slots
        self.ready, self.cold_until = entry.ready, entry.cold_until

    def set_initial_limit(self, connection_share: int, edges: int, tuning: RouterTuning) -> None:
        """Set the initial concurrency limit of a new server."""
        self.max_concurrency = self._max_concurrency(connection_share, edges)
        self.concurrency_limit = min(self.max_concurrency, max(tuning.initial_limit, self.slots // edges))

    def set_limits(self, connection_share: int, edges: int) -> bool:
        """Update the upper bound of the concurrency limit; return whether it has changed."""
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
        """Whether the server takes new requests: it is listed and does not drain."""
        return self.ready and self.listed

    def has_capacity(self) -> bool:
        """Return whether the server is available and below its concurrency limit."""
        return self.in_flight < self.concurrency_limit and self.ready and self.listed

    def accepts_trial(self, now: float) -> bool:
        """Return whether a request may be sent as a trial: the limit is 0, or reached and below its upper bound."""
        if self.trial or not self.is_available or now < self.retry_at or self.in_flight >= self.max_concurrency:
            return False
        return not self.concurrency_limit or self.in_flight == self.concurrency_limit

    def accepts_trial_of(self, now: float, repeatable: bool) -> bool:
        """Return whether a request may be sent as the trial of a server with a limit of 0.

        A request that is not repeatable fails if the server is still unresponsive, so it is not used as a trial in
        the first moments after a backoff.
        """
        return repeatable or now >= self.retry_at + NON_REPEATABLE_TRIAL_DELAY_S

    def current_error_rate(self, now: float) -> float:
        """Return the decayed share of failures among recent outcomes."""
        if self.error_rate < MIN_ERROR_RATE:
            return 0.0
        return self.error_rate * _decayed(now - self.error_at, ERROR_DECAY_S)

    def load(self, now: float) -> float:
        """Return the load by requests of this edge, in average requests.

        Pending prompt tokens count as additional requests (exception "long prompts" of docs/design-fleet.md). So does
        the warm-up of a server, and an unresponsive server counts as having several more.
        """
        extra_load = (now < self.cold_until) + self.is_unresponsive(now) * UNRESPONSIVE_LOAD
        return self.in_flight + self.prefill_tokens / TOKENS_PER_REQUEST_LOAD + extra_load

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a response head is overdue by far, given the recent latency and the pending prefill."""
        unresponsive_s = self.unresponsive_for_s(now)
        if unresponsive_s < MIN_UNRESPONSIVE_S:
            return False
        explained_s = max(self.latency_s, self.prefill_tokens / self.prefill_tokens_per_s)
        return unresponsive_s > UNRESPONSIVE_LATENCIES * explained_s

    def unresponsive_for_s(self, now: float) -> float:
        """Return the time since the last response head while requests wait for one, in seconds."""
        if self.in_flight == self.responding:
            return 0.0
        return now - max(self.last_response_at, self.unanswered_since)

    def queue_delay_s(self, now: float) -> float:
        """Return how long a request sent now would be queued, from requests of this edge and the excess latency."""
        return self.pending_prefill_s(now) + self.excess_latency_s(now) + self.responding * RESPONDING_SLOWDOWN_S

    def pending_prefill_s(self, now: float) -> float:
        """Return the longer of the pending prefill of this edge and the time without a response head, in seconds."""
        return max(self.prefill_tokens / self.prefill_tokens_per_s, self.unresponsive_for_s(now))

    def excess_latency_s(self, now: float) -> float:
        """Return the decayed excess latency: the delay that requests of this edge do not explain, in seconds."""
        return self.excess_s * _decayed(now - self.excess_at, EXCESS_DECAY_S) if self.excess_s else 0.0

    # --- events

    def on_attempt_started(self, now: float, trial: bool, tokens: int) -> None:
        """Record an attempt for which the server has to prefill `tokens` prompt tokens."""
        if self.in_flight == self.responding:
            self.unanswered_since = now
        self.in_flight += 1
        self.prefill_tokens += tokens
        self.trial = self.trial or trial

    def on_response_head(self, now: float, took_s: float, excess_s: float, trial: bool, tokens: int) -> None:
        """Record the head of a successful response, which raises the concurrency limit after a trial.

        Args:
            now: Steady time in seconds.
            took_s: Time since the request was sent.
            excess_s: The part of that time that requests of this edge do not explain.
            trial: Whether the request was a trial.
            tokens: The argument of `on_attempt_started`.
        """
        self.prefill_tokens -= tokens
        self.responding += 1
        self.last_response_at = now
        if not self.concurrency_limit:
            self.retry_at = now  # the server responds again
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
        """Record the outcome of an attempt, which may lower the concurrency limit and start a backoff.

        Args:
            now: Steady time in seconds.
            sent_at: Steady time at which the request was sent.
            result: Outcome of the attempt.
            trial: Whether the request was a trial.
            is_responding: Whether `on_response_head` was called for the attempt.
            tokens: The argument of `on_attempt_started`.
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
            self._decrease_limit(sent_at, result)  # a rejected trial confirms the limit
        if failed_trial or (limit_before and not self.concurrency_limit) or result is AttemptResult.NOT_EXECUTED:
            self._back_off(now, TIMEOUT_BACKOFF_S if result is AttemptResult.TIMEOUT else 0.0)

    def _decrease_limit(self, sent_at: float, result: AttemptResult) -> None:
        """Lower the concurrency limit, by an amount that depends on the kind of failure."""
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
            # The server has responded to other requests since: only this connection failed.
            self.concurrency_limit = max(min(1, limit), limit - 1)
        else:
            self.consecutive_failures += 1
            is_dead = self.consecutive_failures >= DEAD_AFTER_FAILURES or result is AttemptResult.TIMEOUT
            self.concurrency_limit = 0 if is_dead else limit // 2

    def _back_off(self, now: float, extra_s: float = 0.0) -> None:
        """Start a backoff, in which no trial is sent. Failures during a backoff do not extend it."""
        if now >= self.retry_at:
            self.retry_at = now + extra_s + self.backoff.failed(0) / NS_PER_S

    def _record_excess_latency(self, now: float, excess_s: float) -> None:
        """Add a sample to the excess latency; the weight of older samples decays with time."""
        weight = 1.0 - (1.0 - EXCESS_WEIGHT) * _decayed(now - self.excess_at, EXCESS_DECAY_S)
        self.excess_s += (excess_s - self.excess_s) * weight
        self.excess_at = now

    def _record_outcome(self, now: float, *, is_failure: bool) -> None:
        rate = self.current_error_rate(now)
        self.error_rate, self.error_at = rate + (is_failure - rate) * ERROR_WEIGHT, now

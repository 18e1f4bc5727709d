"""One model server as this edge knows it: its budget of connections, its trial, its recent outcomes.

The budget `k` is changed by the functions of this class only. `k` is 0 to `limit`; `in_flight` is above `k` only by
the one trial, or after `k` was lowered.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from dunefield.backoff import Backoff
from rosechute.routing.model import AttemptResult, ServerEntry
from rosechute.routing.tuning import RouterTuning

NANOSECONDS = 1_000_000_000
USEFUL_SLOTS = 1.5  # connections of all edges together, over the server's slots, beyond which its queue only grows
LEAST_LIMIT = 8  # of connections, where the share allows it: shares of few slots are too uneven to go below
EXCESS_GAIN = 0.4  # weight of one more time by which a head came late
EXCESS_MEMORY_S = 2.0  # such times fall to 1/e in so long
SILENT_LEAST_S = 0.25  # a shorter silence says nothing
SILENT_TIMES = 4.0  # over the usual latency from which a silence says something
SILENT_CALLS = 4  # calls that a silent server counts as in addition
RUNNING_S = 0.001  # by which one own request that runs there slows the reading of a further one
LATENCY_GAIN = 0.3  # weight of one more time to the head
AFTER_SILENCE_S = 0.5  # what silence adds to a backoff: a trial that is not answered costs its request the most
UNREPEATABLE_AFTER_S = 0.5  # after a backoff, requests that may not be repeated may be trials, too
ERROR_GAIN = 0.3  # weight of one more outcome in the rate of errors
ERROR_MEMORY_S = 8.0  # a rate of errors falls to 1/e in so long without outcomes
DEAD_AFTER = 2  # resets, errors or time-outs on end after which a server is taken for dead
TOKENS_OF_A_CALL = 2_000  # prompt tokens that hold a server up as long as one usual call
SILENT = (AttemptResult.RESET, AttemptResult.TIMEOUT)
NOT_OF_THE_SERVER = (AttemptResult.DONE, AttemptResult.CANCELLED, AttemptResult.HEAD)


def _fade(age_s: float, memory_s: float) -> float:
    """What is left of 1 after an age; it falls to 1/e in `memory_s`."""
    return math.exp(-max(0.0, age_s) / memory_s)


class Server:
    """One incarnation of a server."""

    __slots__ = (
        "id",
        "entry",
        "address",
        "zone",
        "slots",
        "ready",
        "listed",
        "cold_until",
        "limit",
        "k",
        "in_flight",
        "trial",
        "backoff",
        "retry_at",
        "failures_on_end",
        "heard_at",
        "latency_s",
        "prefill_tokens",
        "running",
        "prefill_tokens_per_s",
        "error_rate",
        "error_at",
        "seed",
        "due_at",
        "excess_s",
        "excess_at",
        "owing_since",
    )

    def __init__(self, entry: ServerEntry, tuning: RouterTuning, draw: Callable[[], float], seed: int) -> None:
        self.id = entry.id
        self.seed = seed  # hash of the id, for rendezvous order
        self.listed = True
        self.adopt(entry)
        self.limit = 0
        self.k = 0
        self.in_flight = 0
        self.trial = False  # one is out
        self.prefill_tokens_per_s = tuning.prefill_tokens_per_s
        self.backoff = Backoff(
            int(tuning.backoff_first_s * NANOSECONDS), int(tuning.backoff_most_s * NANOSECONDS), draw
        )
        self.retry_at = -math.inf  # no trial before this
        self.failures_on_end = 0
        self.heard_at = -math.inf  # when the head of an answer last came
        self.latency_s = 0.0  # recent time to the head, 0 while unknown
        self.prefill_tokens = 0  # of own requests whose head has not come
        self.excess_s = 0.0  # by how much heads came late of late, as of `excess_at`
        self.excess_at = -math.inf
        self.owing_since = -math.inf  # since when it has owed the head of any answer
        self.running = 0  # own requests whose head has come
        self.error_rate = 0.0  # as of `error_at`
        self.error_at = 0.0
        self.due_at = -math.inf  # the end of a backoff for which the pool has noted an alarm

    def adopt(self, entry: ServerEntry) -> None:
        """Take over what the list says of it."""
        self.entry = entry
        self.address, self.zone, self.slots = entry.address, entry.zone, entry.slots
        self.ready, self.cold_until = entry.ready, entry.cold_until

    def start(self, share: int, edges: int, tuning: RouterTuning) -> None:
        """Set the first budget of a new server."""
        self.limit = self._limit(share, edges)
        self.k = min(self.limit, max(tuning.first_budget, self.slots // edges))

    def bound(self, share: int, edges: int) -> bool:
        """Set the limit anew: the share of `max_connections` or the number of edges has changed. Whether the limit
        has."""
        before, self.limit = self.limit, self._limit(share, edges)
        self.k = min(self.k, self.limit)
        return self.limit != before

    def _limit(self, share: int, edges: int) -> int:
        if self.slots <= 0:
            return share
        return min(share, max(LEAST_LIMIT, math.ceil(USEFUL_SLOTS * self.slots / edges)))

    # --- where it stands

    @property
    def up(self) -> bool:
        """Whether it may take new requests at all."""
        return self.ready and self.listed

    def has_room(self) -> bool:
        """Whether it is under its budget."""
        return self.in_flight < self.k and self.ready and self.listed

    def may_try(self, now: float) -> bool:
        """Whether one request may pass as a trial: at k = 0, or at a full budget below the limit."""
        if self.trial or not self.up or now < self.retry_at or self.in_flight >= self.limit:
            return False
        return not self.k or self.in_flight == self.k

    def errors(self, now: float) -> float:
        """Share of recent answers that were failures, while the server answered others; it fades with time."""
        if self.error_rate < 0.001:
            return 0.0
        return self.error_rate * _fade(now - self.error_at, ERROR_MEMORY_S)

    def due_for(self, now: float, repeatable: bool) -> bool:
        """Whether a request may be the trial at k = 0. One that may not be repeated is lost where the server is still
        silent, so the first moments are left to others."""
        return repeatable or now >= self.retry_at + UNREPEATABLE_AFTER_S

    def load(self, now: float) -> float:
        """Own calls in flight. Exception "long prompts": the tokens that are still to be read count as calls of the
        usual length. A server that is slow from its start counts as one call more, one that has been silent for far
        longer than it takes otherwise as several."""
        more = (now < self.cold_until) + self.silent(now) * SILENT_CALLS
        return self.in_flight + self.prefill_tokens / TOKENS_OF_A_CALL + more

    def silent(self, now: float) -> bool:
        """Whether it has been silent for far longer than it takes otherwise, and than its reading explains."""
        silence_s = self.silence_s(now)
        if silence_s < SILENT_LEAST_S:
            return False
        return silence_s > SILENT_TIMES * max(self.latency_s, self.prefill_tokens / self.prefill_tokens_per_s)

    def silence_s(self, now: float) -> float:
        """How long it has owed the head of an answer without sending any."""
        if self.in_flight == self.running:
            return 0.0
        return now - max(self.heard_at, self.owing_since)

    def wait_s(self, now: float) -> float:
        """How long a request sent there now waits before it is read, as far as own requests tell: what is to be read
        of them or how long it has been silent, and by how much heads came late."""
        return self.owed_s(now) + self.late_s(now) + self.running * RUNNING_S

    def owed_s(self, now: float) -> float:
        """How long it takes to read what own requests have sent there, or how long it has been silent."""
        return max(self.prefill_tokens / self.prefill_tokens_per_s, self.silence_s(now))

    def late_s(self, now: float) -> float:
        """By how much heads came later of late than own requests explain."""
        return self.excess_s * _fade(now - self.excess_at, EXCESS_MEMORY_S) if self.excess_s else 0.0

    # --- changes

    def sent(self, now: float, trial: bool, tokens: int) -> None:
        """A request goes there, `tokens` of its prompt are to be read."""
        if self.in_flight == self.running:
            self.owing_since = now
        self.in_flight += 1
        self.prefill_tokens += tokens
        self.trial = self.trial or trial

    def headed(self, now: float, took_s: float, excess_s: float, trial: bool, tokens: int) -> None:
        """The head of a successful answer has come after `took_s`, by `excess_s` later than what is known here
        explains."""
        self.prefill_tokens -= tokens
        self.running += 1
        self.heard_at = now
        if not self.k:
            self.retry_at = now  # it answers again
        self.failures_on_end = 0
        self._outcome(now, False)
        self.latency_s += (took_s - self.latency_s) * (LATENCY_GAIN if self.latency_s else 1.0)
        self._late(now, excess_s)
        if trial:
            self.trial = False
            self.k = min(self.k + 1, self.limit)
            self.retry_at = -math.inf
            self.backoff.answered()

    def ended(
        self, now: float, sent_at: float, result: AttemptResult, trial: bool, headed: bool, tokens: int
    ) -> None:
        """An attempt is over and its connection free."""
        self.in_flight -= 1
        if headed:
            self.running -= 1
        else:
            self.prefill_tokens -= tokens
        if trial and not headed:
            self.trial = False
        if result in NOT_OF_THE_SERVER:
            return
        failed_trial = trial and not headed
        before = self.k
        if result is AttemptResult.SERVER_ERROR or (result in SILENT and self.heard_at > sent_at):
            self._outcome(now, True)  # others were answered: it fails a part of its requests
        if not failed_trial or result is not AttemptResult.NOT_EXECUTED:
            self._lower(sent_at, result)  # a refused trial has shown that k is right as it is
        if failed_trial or (before and not self.k) or result is AttemptResult.NOT_EXECUTED:
            self._back_off(now, AFTER_SILENCE_S if result is AttemptResult.TIMEOUT else 0.0)

    def _lower(self, sent_at: float, result: AttemptResult) -> None:
        """Lower k by what the outcome says of the server."""
        if result is AttemptResult.NOT_EXECUTED:
            self.k = max(0, min(self.k, self.in_flight + 1) - 1)
        elif result in (AttemptResult.CONNECT_FAILED, AttemptResult.WRONG_INSTANCE):
            self.failures_on_end += 1
            self.k = 0
        elif result is AttemptResult.SERVER_ERROR:
            self.failures_on_end += 1
            self.k = max(min(1, self.k), self.k - 1)
        elif self.heard_at > sent_at:
            self.k = max(min(1, self.k), self.k - 1)  # others were answered meanwhile: one connection broke
        else:
            self.failures_on_end += 1
            dead = self.failures_on_end >= DEAD_AFTER or result is AttemptResult.TIMEOUT
            self.k = 0 if dead else self.k // 2

    def _back_off(self, now: float, least_s: float = 0.0) -> None:
        """No trial for a while; failures of one moment count once."""
        if now >= self.retry_at:
            self.retry_at = now + least_s + self.backoff.failed(0) / NANOSECONDS

    def eject(self, now: float) -> None:
        """Set k to 0: it fails most of its requests."""
        if self.k:
            self.k = 0
            self._back_off(now)

    def _late(self, now: float, excess_s: float) -> None:
        """Note by how much a head came later than reading alone explains. Older ones count for less."""
        weight = 1.0 - (1.0 - EXCESS_GAIN) * _fade(now - self.excess_at, EXCESS_MEMORY_S)
        self.excess_s += (excess_s - self.excess_s) * weight
        self.excess_at = now

    def _outcome(self, now: float, failed: bool) -> None:
        rate = self.errors(now)
        self.error_rate, self.error_at = rate + (failed - rate) * ERROR_GAIN, now

"""Prefix affinity: requests go to servers whose prefix cache most likely contains their prompt.

Implements the exceptions "known prefix" and "likely prefix" of docs/design-fleet.md. Both apply to routes that are
`sticky` and prompts with a shared part. The server must have capacity or accept a trial, must not have been tried by
the request, and must be responsive with a low error rate.

- Known prefix: this edge has sent all shared parts of the prompt to that server before.
- Likely prefix: no server with a known prefix is usable. Other edges have most likely sent the longest shared prefix
  to the first server in its rendezvous order, or to the second one when the first was busy.

Either server is used only if it is expected to respond no later than the server selected by load, taking the cached
tokens into account. The prefix of a busy server thus spreads to another server.
"""

from __future__ import annotations

from rosechute.routing.counts import Counts
from rosechute.routing.pending_request import PendingRequest
from rosechute.routing.pool import Pool
from rosechute.routing.prefixes import PrefixTable
from rosechute.routing.server import Server

STICKY_PICKS = "sticky_picks"  # name of the counter
# Probability that the first server in rendezvous order caches a prefix that other edges may have sent to it.
FIRST_CACHED_CHANCE = 0.9
SECOND_CACHED_CHANCE = 0.3  # the same for the second server, which is used while the first is busy
PREFILL_WEIGHT = 4.0  # a repeated prefill also delays other requests, evicts other prompts and costs money
MAX_ERROR_RATE = 0.12  # error rate from which a server is not preferred
OTHER_SERVER_MARGIN_S = 0.03  # margin by which a server other than the first in rendezvous order must be better
LOAD_ONLY_MARGIN_S = 0.02  # margin by which the server selected by load must be better: it caches another copy


class PrefixAffinity:
    """Selects the server that most likely caches the prompt of a request.

    Args:
        table: Prompts that this edge has sent to each server.
        counts: Counters of selections by the rule that selected the server.
    """

    def __init__(self, table: PrefixTable, counts: Counts) -> None:
        self._table, self._counts = table, counts

    def select(self, now: float, pool: Pool, pending: PendingRequest, by_load: Server) -> Server:
        """Return the server to use instead of the one selected by load, or that one if none is better."""
        best, best_s = by_load, self._expected_s(now, pending, by_load, 0.0) + LOAD_ONLY_MARGIN_S
        observed = self._observed_server(now, pool, pending)
        if observed is not None:
            expected_s = self._expected_s(now, pending, observed, 0.0)
            if expected_s <= best_s:
                self._counts.add(STICKY_PICKS, "known")
                return observed
        for server, chance in self._predicted_servers(now, pool, pending):
            expected_s = self._expected_s(now, pending, server, chance)
            if expected_s < best_s:
                best, best_s = server, expected_s
        self._counts.add(STICKY_PICKS, "ordinary" if best is by_load else "likely")
        return best

    def _observed_server(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return the server expected to respond first among those with all shared parts, or None."""
        first = pool.rendezvous.first_two(pending.prefixes[-2].key)[:1]
        best: Server | None = None
        best_s = 0.0
        for server in self._table.servers_with(pending.prefixes):
            if not self._is_usable(now, pool, server, pending):
                continue
            expected_s = self._expected_s(now, pending, server, 0.0) + (
                0.0 if server in first else OTHER_SERVER_MARGIN_S
            )
            if best is None or expected_s < best_s:
                best, best_s = server, expected_s
        return best

    def _predicted_servers(self, now: float, pool: Pool, pending: PendingRequest) -> list[tuple[Server, float]]:
        """Return usable servers of the first two in rendezvous order and the probability that each has the prefix."""
        candidates = zip(
            pool.rendezvous.first_two(pending.prefixes[-2].key),
            (FIRST_CACHED_CHANCE, SECOND_CACHED_CHANCE),
            strict=False,
        )
        return [(server, chance) for server, chance in candidates if self._is_usable(now, pool, server, pending)]

    def _is_usable(self, now: float, pool: Pool, server: Server, pending: PendingRequest) -> bool:
        """Return whether the request may be sent to the server; at its concurrency limit, as a trial."""
        free = server.has_capacity() or server in pool.accepting_trials
        return (
            free
            and server not in pending.tried_servers
            and server.current_error_rate(now) < MAX_ERROR_RATE
            and not server.is_unresponsive(now)
        )

    def _expected_s(self, now: float, pending: PendingRequest, server: Server, cached_chance: float) -> float:
        """Return the expected time to the head of a response in seconds.

        Args:
            now: Steady time in seconds.
            pending: The request.
            server: The server.
            cached_chance: Probability that the server caches the shared prefix of requests of other edges.
        """
        prefixes = pending.prefixes
        cached = self._table.expected_cached_tokens(now, prefixes, server)
        if cached_chance and cached < prefixes[-2].tokens:
            cached += cached_chance * (prefixes[-2].tokens - cached)
        uncached = max(0.0, pending.request.input_tokens - cached)
        return server.queue_delay_s(now) + PREFILL_WEIGHT * uncached / server.prefill_tokens_per_s

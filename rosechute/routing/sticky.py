"""Prefix affinity: requests go to servers whose prefix cache most likely has their prompt.

These are the exceptions "known prefix" and "likely prefix" of docs/design-fleet.md.

Condition of both: the route is `sticky`, the prompt shares a part with others, and the server has capacity or accepts
a trial, has not failed this request and does not fail many others.

- Known prefix: this edge has sent all shared parts of the prompt to that server before.
- Likely prefix: no such server can take it. The first server in rendezvous order of the longest shared prefix is the
  one that other edges have most likely sent it to, the second one is where they go when the first is busy.

Either is used only while it is expected to respond no later than the server selected by load, with the cached tokens
counted in its favour. A prefix of a busy server thus spreads to a further one.
"""

from __future__ import annotations

from rosechute.routing.counts import Counts
from rosechute.routing.pending_request import PendingRequest
from rosechute.routing.pool import Pool
from rosechute.routing.prefixes import PrefixTable
from rosechute.routing.server import Server

STICKY_PICKS = "sticky_picks"  # name of the counter
# Chance that the first server in rendezvous order caches a prefix that other edges may have sent to it.
FIRST_CACHED_CHANCE = 0.9
SECOND_CACHED_CHANCE = 0.3  # the same of the second server, which is used where the first is busy
PREFILL_WEIGHT = 4.0  # a repeated prefill also delays other requests, evicts other prompts, and is priced
MAX_ERROR_RATE = 0.12  # from which a server is not preferred
OTHER_SERVER_MARGIN_S = 0.03  # by which a server other than the first in rendezvous order must be better
LOAD_ONLY_MARGIN_S = 0.02  # by which the server selected by load must be better: it caches one more copy


class PrefixAffinity:
    """Selects the server that most likely caches the prompt of a request.

    Args:
        table: What this edge has sent to each server.
        counts: Counts selections by what decided.
    """

    def __init__(self, table: PrefixTable, counts: Counts) -> None:
        self._table, self._counts = table, counts

    def select(self, now: float, pool: Pool, pending: PendingRequest, by_load: Server) -> Server:
        """Return the server to use in place of the one selected by load; that one where none is better."""
        best, best_s = by_load, self._expected_s(now, pending, by_load, 0.0) + LOAD_ONLY_MARGIN_S
        known = self._observed_server(now, pool, pending)
        if known is not None:
            expected_s = self._expected_s(now, pending, known, 0.0)
            if expected_s <= best_s:
                self._counts.add(STICKY_PICKS, "known")
                return known
        for server, likely in self._predicted_servers(now, pool, pending):
            expected_s = self._expected_s(now, pending, server, likely)
            if expected_s < best_s:
                best, best_s = server, expected_s
        self._counts.add(STICKY_PICKS, "ordinary" if best is by_load else "likely")
        return best

    def _observed_server(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return the server expected to respond first, of those that were sent all shared parts; None for none."""
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
        """Return the first two servers in rendezvous order, with the chance that each caches the prefix."""
        named = zip(
            pool.rendezvous.first_two(pending.prefixes[-2].key),
            (FIRST_CACHED_CHANCE, SECOND_CACHED_CHANCE),
            strict=False,
        )
        return [(server, likely) for server, likely in named if self._is_usable(now, pool, server, pending)]

    def _is_usable(self, now: float, pool: Pool, server: Server, pending: PendingRequest) -> bool:
        """Return whether the request may be sent there; at a full concurrency limit, as the one trial."""
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
            cached_chance: That the server caches the shared prefix because of other edges.
        """
        prefixes = pending.prefixes
        cached = self._table.expected_cached_tokens(now, prefixes, server)
        if cached_chance and cached < prefixes[-2].tokens:
            cached += cached_chance * (prefixes[-2].tokens - cached)
        uncached = max(0.0, pending.request.input_tokens - cached)
        return server.queue_delay_s(now) + PREFILL_WEIGHT * uncached / server.prefill_tokens_per_s

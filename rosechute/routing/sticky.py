"""Exceptions "known prefix" and "likely prefix": requests go where their prompt need not be read again.

Condition of both: the route is `sticky`, the prompt has a part that it shares with others, the server in question has
room or may take a trial, has not failed this request and does not fail many others.

- Known prefix: this edge has sent all shared parts of the prompt to that server before.
- Likely prefix: no such server can take it. The first server in rendezvous order of the longest shared prefix is the
  one that other edges have most likely sent it to, the second one is where they go when the first is busy.

Either is used only while it is expected to answer no later than the server that the ordinary path names, with the
tokens that it need not read again counted in its favour. A busy server thus hands a prefix on to a further one, which
then holds it, too.
"""

from __future__ import annotations

from rosechute.routing.call import Call
from rosechute.routing.counts import Counts
from rosechute.routing.pool import Pool
from rosechute.routing.prefixes import PrefixTable
from rosechute.routing.server import Server

STICKY_PICKS = "sticky_picks"  # the event that is counted
LIKELY = 0.9  # chance that the first server in the order keeps a prefix that other edges may have sent to it
LIKELY_SECOND = 0.3  # chance that the second one does: others go there, too, where the first is busy
READING_WEIGHT = 4.0  # reading again also holds up what runs beside, takes the memory of other prompts, and is priced
FAILING = 0.12  # share of failures from which a server is not preferred
HOLDER_S = 0.03  # a holder other than the first server in the order must be so much better
ORDINARY_S = 0.02  # and so must the server of the ordinary path: it adds one more holder


class StickyPicker:
    """Names the server that most likely keeps the prompt of a request."""

    def __init__(self, table: PrefixTable, counts: Counts) -> None:
        self._table, self._counts = table, counts

    def pick(self, now: float, pool: Pool, call: Call, ordinary: Server) -> Server:
        """The server to use in place of the one that the ordinary path names; that one where none is better."""
        best, best_s = ordinary, self._expected_s(now, call, ordinary, 0.0) + ORDINARY_S
        known = self._known_prefix(now, pool, call)
        if known is not None:
            expected_s = self._expected_s(now, call, known, 0.0)
            if expected_s <= best_s:
                self._counts.add(STICKY_PICKS, "known")
                return known
        for server, likely in self._likely_prefix(now, pool, call):
            expected_s = self._expected_s(now, call, server, likely)
            if expected_s < best_s:
                best, best_s = server, expected_s
        self._counts.add(STICKY_PICKS, "ordinary" if best is ordinary else "likely")
        return best

    def _known_prefix(self, now: float, pool: Pool, call: Call) -> Server | None:
        """Of the servers that were sent all shared parts, the one that is expected to answer first."""
        first = pool.rendezvous.first_two(call.prefixes[-2].key)[:1]
        best: Server | None = None
        best_s = 0.0
        for server in self._table.holders(call.prefixes):
            if not self._usable(now, pool, server, call):
                continue
            expected_s = self._expected_s(now, call, server, 0.0) + (0.0 if server in first else HOLDER_S)
            if best is None or expected_s < best_s:
                best, best_s = server, expected_s
        return best

    def _likely_prefix(self, now: float, pool: Pool, call: Call) -> list[tuple[Server, float]]:
        """The two servers that the longest shared prefix names, with the chance that each keeps it."""
        named = zip(pool.rendezvous.first_two(call.prefixes[-2].key), (LIKELY, LIKELY_SECOND), strict=False)
        return [(server, likely) for server, likely in named if self._usable(now, pool, server, call)]

    def _usable(self, now: float, pool: Pool, server: Server, call: Call) -> bool:
        """Whether the request may go there. At a full budget it would be the one trial: others may have room, but
        the request wants this very server."""
        free = server.has_room() or server in pool.growing
        return free and server not in call.tried and server.errors(now) < FAILING and not server.silent(now)

    def _expected_s(self, now: float, call: Call, server: Server, likely: float) -> float:
        """Time to the head of the answer, as far as this edge can tell."""
        prefixes = call.prefixes
        kept = self._table.kept(now, prefixes, server)
        if likely and kept < prefixes[-2].tokens:
            kept += likely * (prefixes[-2].tokens - kept)
        unread = max(0.0, call.request.input_tokens - kept)
        return server.wait_s(now) + READING_WEIGHT * unread / server.prefill_tokens_per_s

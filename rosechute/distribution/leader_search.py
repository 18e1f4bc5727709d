"""Discovery of the core's leader by an edge, and the schedule of its membership renewals.

Attached: the edge renews at the leader every RENEW_INTERVAL_S.
Searching, after a time-out, a refusal or a closed link: the edge sends renewals to the other core machines in turn,
PROBES_AT_ONCE every PROBE_INTERVAL_S; a machine that answers names the leader if it knows it. After
PEER_PROBES_AFTER_S without a leader, the edges of the zone are probed too: all known core machines may have been
replaced while this edge was cut off.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Iterable
from typing import NamedTuple

from rosechute.distribution.membership import RENEW_INTERVAL_S

LEADER_TIMEOUT_S = 0.5  # the search starts if a renewal is unanswered and the leader silent for this time
LATE_ANSWER_GRACE_S = (
    0.7  # other messages still go to the leader after LEADER_TIMEOUT_S: it may answer late over a congested link
)
PROBE_INTERVAL_S = 0.1
PROBES_AT_ONCE = 2
PEER_PROBES_AFTER_S = 1.5  # time without a leader; elections take less
PEER_PROBE_INTERVAL_S = 0.2
ANSWER_LIMIT_S = 10.0  # renewals without an answer are dropped after this time
ADDRESS_LIMIT = 32  # maximum number of core machines that are probed


class SearchState(enum.Enum):
    """Whether the leader is known and answers."""

    SEARCHING = "searching"
    ATTACHED = "attached"


class RenewalRequest(NamedTuple):
    """A renewal to send."""

    address: str
    request: int  # request number, repeated in the answer


class _PendingRenewal(NamedTuple):
    """A renewal without an answer."""

    sent_at: float
    address: str


class LeaderSearch:
    """Decides where to send renewals, and when."""

    def __init__(self, now: float, seeds: Iterable[str]) -> None:
        self.state = SearchState.SEARCHING
        self.leaderless_since = now  # start of the current search; in the future during LATE_ANSWER_GRACE_S
        self.leader: str | None = None  # last known leader, kept while searching
        self.term = 0  # highest term of a leader that answered
        self._seeds = list(dict.fromkeys(seeds))
        self._core: list[str] = []
        self._peers: list[str] = []
        self._peer_turn = 0
        self._next_peer_at = now
        self._candidate: str | None = None  # machine that was named as the leader; probed first
        self._next_at = now
        self._core_turn = 0
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, _PendingRenewal] = {}
        self._last_sent_at: dict[str, float] = {}
        self._last_received_at = now  # when the leader was last heard from

    def addresses(self) -> list[str]:
        """Return the link address of every known core machine, the leader first."""
        first = [address for address in (self.leader, self._candidate) if address is not None]
        return list(dict.fromkeys([*first, *self._core, *self._seeds]))[:ADDRESS_LIMIT]

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds of the process settings."""
        self._seeds = list(dict.fromkeys(seeds))

    def set_core(self, addresses: Iterable[str]) -> None:
        """Set the core machines of the current view."""
        self._core = list(dict.fromkeys(addresses))

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Set the other edges of the zone."""
        self._peers = list(addresses)

    def peers(self) -> list[str]:
        """Return the other edges of the zone."""
        return list(self._peers)

    def has_core(self) -> bool:
        """Return whether the core machines were received from one of them."""
        return bool(self._core)

    def next_due(self) -> float:
        """Return when `due` is to be called next."""
        if self.state is SearchState.SEARCHING:
            return self._next_at
        return min(self._next_at, self._leader_timeout_at())

    def due(self, now: float) -> list[RenewalRequest]:
        """Return the renewals to send now."""
        if self.state is SearchState.ATTACHED and now >= self._leader_timeout_at():
            self._to_searching(now, LATE_ANSWER_GRACE_S)
        if now < self._next_at:
            return []
        self._forget_old(now)
        if self.state is SearchState.ATTACHED and self.leader is not None:
            self._next_at = now + RENEW_INTERVAL_S
            return [self._renew_at(now, self.leader)]
        self._next_at = now + PROBE_INTERVAL_S
        probes = [*self._next_core_probes(), *self._next_peer_probe(now)]
        return [self._renew_at(now, address) for address in probes]

    def renew_now(self, now: float) -> None:
        """Make a renewal due now."""
        self._next_at = now

    def on_answer(self, now: float, address: str, request: int) -> float | None:
        """Match an answer to its renewal.

        Returns:
            When that renewal was sent, or None if no renewal with this number is pending at this address.
        """
        pending = self._pending.get(request)
        if pending is None or pending.address != address:
            return None
        self._drop_pending(address, sent_until=pending.sent_at)
        return pending.sent_at

    def accept_leader(self, now: float, address: str, term: int) -> bool:
        """Attach to a machine that answered as the leader; return False if a later term is known already."""
        if term < self.term:
            return False
        self._to_attached(now, address, term)
        return True

    def on_redirect(self, now: float, address: str, leader: str) -> None:
        """Process an answer of a machine that does not lead and may name the leader (else `leader` is empty)."""
        if self.state is SearchState.ATTACHED:
            if address != self.leader:
                return
            self._to_searching(now)
        if address == self._candidate:
            self._candidate = None
        if leader and leader != address:
            self._candidate = leader
            if now - self._last_sent_at.get(leader, -math.inf) >= PROBE_INTERVAL_S:
                self._next_at = now

    def on_leadership_announced(self, now: float, address: str, term: int) -> None:
        """Probe at once a core machine that announced its leadership unasked."""
        if self.state is SearchState.SEARCHING and term >= self.term:
            self._candidate = address
            self._next_at = now

    def on_link_closed(self, now: float, address: str) -> None:
        """Process the end of the link to this address, or a failure to open it."""
        self._drop_pending(address, sent_until=math.inf)
        if address == self._candidate:
            self._candidate = None
        if self.state is SearchState.ATTACHED and address == self.leader:
            self._to_searching(now)

    def _to_attached(self, now: float, address: str, term: int) -> None:
        if self.state is SearchState.SEARCHING:
            self._next_at = self._last_sent_at.get(address, now) + RENEW_INTERVAL_S
        self.state = SearchState.ATTACHED
        self._last_received_at = now
        self.leader = address
        self.term = term
        self._candidate = None

    def _to_searching(self, now: float, grace_s: float = 0.0) -> None:
        self.state = SearchState.SEARCHING
        self.leaderless_since = now + grace_s
        self._next_at = now

    def _leader_timeout_at(self) -> float:
        """Return when the leader counts as lost; a slow leader that keeps answering is never lost."""
        sent = [pending.sent_at for pending in self._pending.values() if pending.address == self.leader]
        return max(min(sent, default=math.inf), self._last_received_at) + LEADER_TIMEOUT_S

    def _renew_at(self, now: float, address: str) -> RenewalRequest:
        request = next(self._request_numbers)
        self._pending[request] = _PendingRenewal(now, address)
        self._last_sent_at[address] = now
        return RenewalRequest(address, request)

    def _next_peer_probe(self, now: float) -> list[str]:
        """Return the next edge of the zone in turn, if there has been no leader for PEER_PROBES_AFTER_S."""
        if not self._peers or now < max(self._next_peer_at, self.leaderless_since + PEER_PROBES_AFTER_S):
            return []
        self._next_peer_at = now + PEER_PROBE_INTERVAL_S
        self._peer_turn += 1
        return [self._peers[self._peer_turn % len(self._peers)]]

    def _next_core_probes(self) -> list[str]:
        """Return the core machines to probe: the one named as the leader, then the others in turn."""
        addresses = self.addresses()
        in_turn = [addresses[(self._core_turn + step) % len(addresses)] for step in range(len(addresses))]
        probes: list[str] = []
        if self._candidate is not None:
            probes.append(self._candidate)
        for address in in_turn:
            if len(probes) >= PROBES_AT_ONCE:
                break
            self._core_turn += 1
            if address not in probes:
                probes.append(address)
        return probes

    def _drop_pending(self, address: str, *, sent_until: float) -> None:
        for number, pending in list(self._pending.items()):
            if pending.address == address and pending.sent_at <= sent_until:
                del self._pending[number]

    def _forget_old(self, now: float) -> None:
        for number, pending in list(self._pending.items()):
            if now - pending.sent_at > ANSWER_LIMIT_S:
                del self._pending[number]
        if len(self._last_sent_at) > 2 * ADDRESS_LIMIT:
            known = set(self.addresses())
            self._last_sent_at = {address: at for address, at in self._last_sent_at.items() if address in known}

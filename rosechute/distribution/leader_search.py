"""Finding the leader of the core from an edge, and the rhythm of its renewals there.

Attached: renew at the leader every 0.4 s. Searching, after silence, a refusal or a closed link: ask the other core
machines in turn, two every 0.1 s; whoever answers names the leader if it knows it. After 1.5 s the edges of the zone
are asked too, one every 0.2 s: all core machines that this edge knows may have been replaced while it was cut off.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Iterable

from rosechute.distribution.membership import RENEW_INTERVAL_S

SILENCE_S = 0.5  # a renewal unanswered and nothing heard of the leader for so long: it is sought
SILENT_GRACE_S = 0.7  # it may still answer over a crowded link: other messages to it go on for so long
PROBE_INTERVAL_S = 0.1
PROBES_AT_ONCE = 2
PEERS_AFTER_S = 1.5  # without a leader for so long, edges of the zone are asked who leads
PEER_INTERVAL_S = 0.2
ANSWER_LIMIT_S = 10.0  # answers to older renewals are not waited for
ADDRESS_LIMIT = 32


class SearchState(enum.Enum):
    """Whether the leader is known."""

    SEARCHING = "searching"
    ATTACHED = "attached"


class LeaderSearch:
    """Where to renew, and when."""

    def __init__(self, now: float, seeds: Iterable[str]) -> None:
        self.state = SearchState.SEARCHING
        self.leaderless_since = now  # where it is sought; later than now where it is only silent
        self.leader: str | None = None  # the last known one, also while searching
        self.term = 0
        self._seeds = list(dict.fromkeys(seeds))
        self._core: list[str] = []
        self._peers: list[str] = []
        self._peer_turn = 0
        self._peer_at = now
        self._named: str | None = None  # as leader, by a core machine
        self._next_at = now
        self._turn = 0
        self._requests = itertools.count(1)
        self._unanswered: dict[int, tuple[float, str]] = {}
        self._asked: dict[str, float] = {}
        self._heard_at = now

    def addresses(self) -> list[str]:
        """Every core machine that is known, as an address of its link."""
        named = [address for address in (self.leader, self._named) if address is not None]
        return list(dict.fromkeys([*named, *self._core, *self._seeds]))[:ADDRESS_LIMIT]

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """The seeds of the settings, which may have changed."""
        self._seeds = list(dict.fromkeys(seeds))

    def set_core(self, addresses: Iterable[str]) -> None:
        """The core machines, as the leader knows them."""
        self._core = list(dict.fromkeys(addresses))

    def set_peers(self, addresses: Iterable[str]) -> None:
        """The other edges of the zone, as the leader knew them."""
        self._peers = list(addresses)

    def peers(self) -> list[str]:
        """The other edges of the zone."""
        return list(self._peers)

    def knows_core(self) -> bool:
        """Whether a core machine told of the others."""
        return bool(self._core)

    def next_due(self) -> float:
        """When `due` is to be called next."""
        if self.state is SearchState.SEARCHING:
            return self._next_at
        return min(self._next_at, self._silent_at())

    def due(self, now: float) -> list[tuple[str, int]]:
        """Renewals to be sent now: address and number."""
        if self.state is SearchState.ATTACHED and now >= self._silent_at():
            self._to_searching(now, SILENT_GRACE_S)
        if now < self._next_at:
            return []
        self._drop_old(now)
        if self.state is SearchState.ATTACHED and self.leader is not None:
            self._next_at = now + RENEW_INTERVAL_S
            return [self._ask(now, self.leader)]
        self._next_at = now + PROBE_INTERVAL_S
        return [self._ask(now, address) for address in [*self._next_probes(), *self._next_peer(now)]]

    def renew_now(self, now: float) -> None:
        """Renew at the next call of `due`, ahead of the rhythm."""
        self._next_at = now

    def answered(self, now: float, address: str, request: int) -> float | None:
        """An answer came; when its renewal was sent, or None where none waits for it."""
        sent, asked = self._unanswered.get(request, (None, ""))
        if sent is None or asked != address:
            return None
        for number in [number for number, (at, to) in self._unanswered.items() if to == address and at <= sent]:
            del self._unanswered[number]
        return sent

    def is_leader(self, now: float, address: str, term: int) -> bool:
        """The answer says that it comes from the leader; False where a later leader is known already."""
        if term < self.term:
            return False
        self._to_attached(now, address, term)
        return True

    def not_leader(self, now: float, address: str, named: str) -> None:
        """The answer says that it does not come from the leader, and may name the leader."""
        if self.state is SearchState.ATTACHED:
            if address != self.leader:
                return
            self._to_searching(now)
        if address == self._named:
            self._named = None
        if named and named != address:
            self._named = named
            if now - self._asked.get(named, -1e9) >= PROBE_INTERVAL_S:
                self._next_at = now

    def leads_now(self, now: float, address: str, term: int) -> None:
        """A core machine tells unasked that it leads from now on: it is asked at once."""
        if self.state is SearchState.SEARCHING and term >= self.term:
            self._named = address
            self._next_at = now

    def closed(self, now: float, address: str) -> None:
        """The link to this address has ended or could not be opened."""
        for number in [number for number, (_, to) in self._unanswered.items() if to == address]:
            del self._unanswered[number]
        if address == self._named:
            self._named = None
        if self.state is SearchState.ATTACHED and address == self.leader:
            self._to_searching(now)

    def _to_attached(self, now: float, address: str, term: int) -> None:
        if self.state is SearchState.SEARCHING:
            self._next_at = self._asked.get(address, now) + RENEW_INTERVAL_S
        self.state = SearchState.ATTACHED
        self._heard_at = now
        self.leader = address
        self.term = term
        self._named = None

    def _to_searching(self, now: float, grace_s: float = 0.0) -> None:
        self.state = SearchState.SEARCHING
        self.leaderless_since = now + grace_s
        self._next_at = now

    def _silent_at(self) -> float:
        """When the leader counts as silent if nothing comes from it; it may be slow and still answer steadily."""
        waiting = [sent for sent, address in self._unanswered.values() if address == self.leader]
        return max(min(waiting, default=math.inf), self._heard_at) + SILENCE_S

    def _ask(self, now: float, address: str) -> tuple[str, int]:
        request = next(self._requests)
        self._unanswered[request] = (now, address)
        self._asked[address] = now
        return address, request

    def _next_peer(self, now: float) -> list[str]:
        """An edge of the zone, each in turn, where the core has not been found for long."""
        if not self._peers or now < max(self._peer_at, self.leaderless_since + PEERS_AFTER_S):
            return []
        self._peer_at = now + PEER_INTERVAL_S
        self._peer_turn += 1
        return [self._peers[self._peer_turn % len(self._peers)]]

    def _next_probes(self) -> list[str]:
        """The one that was named as leader, then the others in turn."""
        addresses = self.addresses()
        turns = [addresses[(self._turn + step) % len(addresses)] for step in range(len(addresses))]
        probes: list[str] = []
        if self._named is not None:
            probes.append(self._named)
        for address in turns:
            if len(probes) >= PROBES_AT_ONCE:
                break
            self._turn += 1
            if address not in probes:
                probes.append(address)
        return probes

    def _drop_old(self, now: float) -> None:
        for number in [number for number, (sent, _) in self._unanswered.items() if now - sent > ANSWER_LIMIT_S]:
            del self._unanswered[number]
        if len(self._asked) > 2 * ADDRESS_LIMIT:
            known = set(self.addresses())
            self._asked = {address: at for address, at in self._asked.items() if address in known}

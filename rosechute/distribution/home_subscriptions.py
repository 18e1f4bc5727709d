"""Which home edge an edge follows for each topic, and what it does when that home fails.

States of a topic: OWN (this edge is the home, or none is known: the leader sends by itself), ASKING (subscribed at
the home, the answer is due), FOLLOWING (the home answered), DIRECT (the home failed: subscribed at the leader for a
while).
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.membership import EdgeIdentity

RESUBSCRIBE_S = 2.0  # well below SUBSCRIPTION_S of the other side
HOME_SILENCE_S = 0.5
SUSPICION_S = 2.0  # a home that failed is left alone for so long


class SubscriptionState(enum.Enum):
    """How news of a topic comes to this edge."""

    LOCAL = "local"
    SUBSCRIBING = "subscribing"
    SUBSCRIBED = "subscribed"
    DIRECT = "direct"


@dataclass(frozen=True, slots=True)
class SubscriptionRequest:
    """Subscribe to a topic at a home, or at the leader."""

    topic: str
    home_address: str | None  # None: at the leader


@dataclass(slots=True)
class _Follow:
    topic: str
    state: SubscriptionState = SubscriptionState.LOCAL
    home: EdgeIdentity | None = None
    due: float = math.inf  # of the next step
    suspect_until: float = -math.inf
    asks: bool = False  # a subscription is to be sent


class HomeSubscriptions:
    """One state for each topic."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._edges: dict[str, EdgeIdentity] = {}
        self._follows: dict[str, _Follow] = {}

    def state(self, topic: str) -> SubscriptionState:
        """How a topic is followed."""
        return self._follows[topic].state

    def addresses(self) -> set[str]:
        """Addresses of the homes that are followed."""
        return {follow.home.address for follow in self._follows.values() if follow.home is not None}

    def zone_size(self) -> int:
        """Edges of the zone, as far as known."""
        return len(self._edges)

    def add(self, now: float, topic: str) -> None:
        """Follow a topic, if it is not followed yet."""
        if topic not in self._follows:
            self._follows[topic] = follow = _Follow(topic)
            self._place(now, follow)

    def members(self, now: float, edges: Iterable[EdgeIdentity]) -> None:
        """The edges of the zone that may be homes."""
        self._edges = {edge.name: edge for edge in edges}
        for follow in self._follows.values():
            self._place(now, follow)

    def answered(self, now: float, topic: str, address: str) -> None:
        """The home answered a subscription, or sent news."""
        follow = self._follows.get(topic)
        if follow is None or follow.home is None or follow.home.address != address:
            return
        if follow.state is SubscriptionState.SUBSCRIBING:
            self._to_following(now, follow)

    def failed(self, now: float, address: str) -> None:
        """The home at this address is silent, or its link ended."""
        for follow in self._follows.values():
            followed = follow.state in (SubscriptionState.SUBSCRIBING, SubscriptionState.SUBSCRIBED)
            if followed and follow.home is not None and follow.home.address == address:
                self._to_direct(now, follow)

    def leader_found(self, now: float) -> None:
        """There is another leader: subscriptions at the former one are void."""
        for follow in self._follows.values():
            if follow.state is SubscriptionState.DIRECT:
                follow.asks = True

    def due(self, now: float) -> list[SubscriptionRequest]:
        """Subscriptions to be sent now."""
        for follow in self._follows.values():
            if follow.due <= now:
                self._step(now, follow)
        asks = []
        for follow in self._follows.values():
            if follow.asks:
                follow.asks = False
                direct = follow.state is SubscriptionState.DIRECT or follow.home is None
                asks.append(
                    SubscriptionRequest(follow.topic, None if direct or follow.home is None else follow.home.address)
                )
        return asks

    def next_due(self) -> float:
        """When `due` has something next."""
        return min((-math.inf if follow.asks else follow.due for follow in self._follows.values()), default=math.inf)

    def _step(self, now: float, follow: _Follow) -> None:
        match follow.state:
            case SubscriptionState.SUBSCRIBING if follow.home is not None:
                self.failed(now, follow.home.address)
            case SubscriptionState.SUBSCRIBED if follow.home is not None:
                self._to_asking(now, follow, follow.home)
            case SubscriptionState.DIRECT if follow.home is not None and now >= follow.suspect_until:
                self._to_asking(now, follow, follow.home)
            case _:
                self._to_own(follow)

    def _place(self, now: float, follow: _Follow) -> None:
        name = home_edge(follow.topic, self._edges)
        if name is None or name == self._name:
            self._to_own(follow)
        elif follow.home != self._edges[name]:
            self._to_asking(now, follow, self._edges[name])

    def _to_own(self, follow: _Follow) -> None:
        follow.state = SubscriptionState.LOCAL
        follow.home = None
        follow.due = math.inf
        follow.asks = False

    def _to_asking(self, now: float, follow: _Follow, home_edge: EdgeIdentity) -> None:
        follow.state = SubscriptionState.SUBSCRIBING
        follow.home = home_edge
        follow.due = now + HOME_SILENCE_S
        follow.asks = True

    def _to_following(self, now: float, follow: _Follow) -> None:
        follow.state = SubscriptionState.SUBSCRIBED
        follow.due = now + RESUBSCRIBE_S

    def _to_direct(self, now: float, follow: _Follow) -> None:
        follow.state = SubscriptionState.DIRECT
        follow.due = follow.suspect_until = now + SUSPICION_S
        follow.asks = True

"""The subscriptions of an edge: one per topic, at the home edge of its zone or, while that fails, at the leader."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.membership import EdgeIdentity

RESUBSCRIBE_S = 2.0  # renewal interval; well below SUBSCRIPTION_S, the lifetime at the home
HOME_TIMEOUT_S = 0.5  # time limit for the answer to a subscription
SUSPICION_S = 2.0  # time before a failed home is tried again


class SubscriptionState(enum.Enum):
    """How updates of a topic reach this edge."""

    LOCAL = "local"  # this edge is the home, or no home is known: the leader sends updates unasked
    SUBSCRIBING = "subscribing"  # the request was sent to the home; its answer is awaited
    SUBSCRIBED = "subscribed"  # the home answered
    DIRECT = "direct"  # the home failed; subscribed at the leader until the suspicion ends


@dataclass(frozen=True, slots=True)
class SubscriptionRequest:
    """Subscribe to a topic at a home, or at the leader."""

    topic: str
    home_address: str | None  # None for a subscription at the leader


@dataclass(slots=True)
class _Subscription:
    topic: str
    state: SubscriptionState = SubscriptionState.LOCAL
    home: EdgeIdentity | None = None
    due_at: float = math.inf  # time of the next transition
    suspected_until: float = -math.inf
    is_request_pending: bool = False


class HomeSubscriptions:
    """One subscription for each topic."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._edges: dict[str, EdgeIdentity] = {}
        self._subscriptions: dict[str, _Subscription] = {}

    def state(self, topic: str) -> SubscriptionState:
        """Return the state of a topic's subscription."""
        return self._subscriptions[topic].state

    def addresses(self) -> set[str]:
        """Return the addresses of the homes in use."""
        return {each.home.address for each in self._subscriptions.values() if each.home is not None}

    def zone_size(self) -> int:
        """Return the number of known edges of the zone."""
        return len(self._edges)

    def add_topic(self, now: float, topic: str) -> None:
        """Subscribe to a topic, unless it has a subscription already."""
        if topic not in self._subscriptions:
            self._subscriptions[topic] = subscription = _Subscription(topic)
            self._assign_home(now, subscription)

    def set_zone_edges(self, now: float, edges: Iterable[EdgeIdentity]) -> None:
        """Set the edges of the zone that may be homes; topics with a new home move to it."""
        self._edges = {edge.name: edge for edge in edges}
        for subscription in self._subscriptions.values():
            self._assign_home(now, subscription)

    def on_home_message(self, now: float, topic: str, address: str) -> None:
        """Process an answer to a subscription, or an update, from the home at this address."""
        subscription = self._subscriptions.get(topic)
        if subscription is None or subscription.home is None or subscription.home.address != address:
            return
        if subscription.state is SubscriptionState.SUBSCRIBING:
            self._to_subscribed(now, subscription)

    def on_home_failure(self, now: float, address: str) -> None:
        """Move the topics of the home at this address to the leader: the home timed out, or its link ended."""
        for subscription in self._subscriptions.values():
            is_at_home = subscription.state in (SubscriptionState.SUBSCRIBING, SubscriptionState.SUBSCRIBED)
            if is_at_home and subscription.home is not None and subscription.home.address == address:
                self._to_direct(now, subscription)

    def on_leader_changed(self) -> None:
        """Renew the subscriptions at the leader: a new leader does not know them."""
        for subscription in self._subscriptions.values():
            if subscription.state is SubscriptionState.DIRECT:
                subscription.is_request_pending = True

    def due(self, now: float) -> list[SubscriptionRequest]:
        """Make the transitions that are due, and return the requests to send now."""
        for subscription in self._subscriptions.values():
            if subscription.due_at <= now:
                self._on_due(now, subscription)
        requests = []
        for subscription in self._subscriptions.values():
            if subscription.is_request_pending:
                subscription.is_request_pending = False
                requests.append(_request(subscription))
        return requests

    def next_due(self) -> float:
        """Return when `due` is to be called next; infinity for never."""
        subscriptions = self._subscriptions.values()
        return min(
            (-math.inf if each.is_request_pending else each.due_at for each in subscriptions), default=math.inf
        )

    def _on_due(self, now: float, subscription: _Subscription) -> None:
        match subscription.state:
            case SubscriptionState.SUBSCRIBING if subscription.home is not None:
                self.on_home_failure(now, subscription.home.address)
            case SubscriptionState.SUBSCRIBED if subscription.home is not None:
                self._to_subscribing(now, subscription, subscription.home)
            case SubscriptionState.DIRECT if subscription.home is not None and now >= subscription.suspected_until:
                self._to_subscribing(now, subscription, subscription.home)
            case _:
                self._to_local(subscription)

    def _assign_home(self, now: float, subscription: _Subscription) -> None:
        name = home_edge(subscription.topic, self._edges)
        if name is None or name == self._name:
            self._to_local(subscription)
        elif subscription.home != self._edges[name]:
            self._to_subscribing(now, subscription, self._edges[name])

    def _to_local(self, subscription: _Subscription) -> None:
        subscription.state = SubscriptionState.LOCAL
        subscription.home = None
        subscription.due_at = math.inf
        subscription.is_request_pending = False

    def _to_subscribing(self, now: float, subscription: _Subscription, home: EdgeIdentity) -> None:
        subscription.state = SubscriptionState.SUBSCRIBING
        subscription.home = home
        subscription.due_at = now + HOME_TIMEOUT_S
        subscription.is_request_pending = True

    def _to_subscribed(self, now: float, subscription: _Subscription) -> None:
        subscription.state = SubscriptionState.SUBSCRIBED
        subscription.due_at = now + RESUBSCRIBE_S

    def _to_direct(self, now: float, subscription: _Subscription) -> None:
        subscription.state = SubscriptionState.DIRECT
        subscription.due_at = subscription.suspected_until = now + SUSPICION_S
        subscription.is_request_pending = True


def _request(subscription: _Subscription) -> SubscriptionRequest:
    if subscription.state is SubscriptionState.DIRECT or subscription.home is None:
        return SubscriptionRequest(subscription.topic, None)
    return SubscriptionRequest(subscription.topic, subscription.home.address)

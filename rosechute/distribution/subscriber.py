"""The edge's side of the distribution: it finds the leader, renews its membership lease, and follows its home edges.

The edge is itself the home of some topics, and relays their updates to the others of its zone (`zone_relay`).

The positions that it holds never decrease during the lifetime of the process.
"""

from __future__ import annotations

from collections.abc import Iterable

from rosechute.distribution.actions import Action, Connection, DialedLink, EdgesTotalChanged, SendMessage
from rosechute.distribution.catch_up import CatchUp, DueFetch
from rosechute.distribution.confirmation import Confirmation
from rosechute.distribution.home_subscriptions import HomeSubscriptions, SubscriptionRequest, SubscriptionState
from rosechute.distribution.leader_search import LeaderSearch, SearchState
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.requests import EdgeRequests, fetch
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topic_updates import TopicUpdates
from rosechute.distribution.topics import (
    CONFIG_TOPIC,
    Position,
    configuration_position,
    list_topic,
    reported_positions,
)
from rosechute.distribution.zone_relay import ZoneRelay
from rosechute.messages import distribution_pb2 as pb

EXPIRE_INTERVAL_S = 1.0  # interval between two checks for expired subscriptions


class Subscriber:
    """One edge's side of the distribution."""

    def __init__(self, now: float, edge: EdgeIdentity, incarnation: int, seeds: Iterable[str]) -> None:
        self._edge = edge
        self._store = TopicStore()
        self._requests = EdgeRequests(edge, incarnation, self._store)
        self._relay = ZoneRelay(self._store)
        self._search = LeaderSearch(now, seeds)
        self._confirmation = Confirmation()
        self._catch_up = CatchUp()
        self._homes = HomeSubscriptions(edge.name)
        self._homes.add_topic(now, CONFIG_TOPIC)
        self._updates = TopicUpdates(self._store, self._homes, self._relay, self._catch_up, self._confirmation)
        self._edges_total = 0
        self._attached_term = 0  # term of the leader that holds the subscriptions
        self._expire_at = now
        self._now = now  # time of the last tick

    # --- state

    @property
    def confirmed_at(self) -> float:
        """Steady time as of which the configuration held was the newest acknowledged one; minus infinity at first."""
        return self._confirmation.confirmed_at

    @property
    def leader(self) -> str | None:
        """Address of the link of the last known leader."""
        return self._search.leader

    @property
    def is_attached(self) -> bool:
        """Whether the leader answers."""
        return self._search.state is SearchState.ATTACHED

    @property
    def leader_term(self) -> int:
        """The highest term of a leader that answered; 0 before the first."""
        return self._search.term

    @property
    def edges_total(self) -> int:
        """Number of living edges; 0 until it is known."""
        return self._edges_total

    def leaderless_since(self) -> float | None:
        """Return since when there is no leader; None while attached, or while a timed-out leader may still answer."""
        since = self._search.leaderless_since
        return None if self.is_attached or since > self._now else since

    def position(self, topic: str) -> Position:
        """Return the position held of a topic."""
        return self._store.position(topic)

    def positions(self) -> dict[str, Position]:
        """Return the position held of every topic that has a value."""
        return {topic: self._store.position(topic) for topic in self._store.topics()}

    def subscription_state(self, topic: str) -> SubscriptionState:
        """Return the state of a topic's subscription."""
        return self._homes.state(topic)

    def addresses(self) -> set[str]:
        """Return every address that this edge may dial; links to others may be closed."""
        return set(self._search.addresses()) | set(self._search.peers()) | self._homes.addresses()

    def next_wake(self) -> float:
        """Return when `tick` is to be called at the latest."""
        return min(self._search.next_due(), self._homes.next_due(), self._catch_up.next_due(), self._expire_at)

    # --- events of the process

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds of the process settings, which were read again."""
        self._search.set_seeds(seeds)

    def leave(self, now: float) -> None:
        """Start the shutdown of this edge: it is still counted, but no longer a home."""
        self._requests.is_leaving = True
        self._search.renew_now(now)

    def tick(self, now: float) -> list[Action]:
        """Return the requests that are due: renewals, then subscriptions, then fetches."""
        self._now = now
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self._relay.expire(now)
        actions: list[Action] = [
            SendMessage(DialedLink(due.address), self._requests.renew(due.request)) for due in self._search.due(now)
        ]
        for request in self._homes.due(now):
            actions += self._subscribe(request)
        for due_fetch in self._catch_up.due(now):
            actions += self._fetch(now, due_fetch)
        return actions

    # --- events of the links

    def receive(self, now: float, connection: Connection, message: pb.Distribution) -> list[Action]:
        """Process a message of a core machine or of an edge of the zone, then what is due."""
        match message.WhichOneof("body"):
            case "renewed":
                actions = self._on_renewed(now, connection, message.renewed)
            case "config":
                self._on_home_message(now, connection, CONFIG_TOPIC)
                actions = self._updates.on_configuration(now, message.config)
            case "list":
                self._on_home_message(now, connection, list_topic(message.list.position.service))
                actions = self._updates.on_list(now, connection, message.list)
            case "subscribed":
                self._on_home_message(now, connection, message.subscribed.topic)
                actions = []
            case "renew":
                actions = self._on_renew_request(connection, message.renew)
            case "subscribe":
                actions = [*self._relay.on_subscribe(now, connection, message.subscribe)]
            case "fetch":
                actions = [*self._relay.on_fetch(now, connection, message.fetch.topic)]
            case _:
                return []
        return [*actions, *self.tick(now)]

    def connection_closed(self, now: float, connection: Connection) -> list[Action]:
        """Process the end of a connection, or a failure to open the link to an address."""
        if isinstance(connection, DialedLink):
            self._search.on_link_closed(now, connection.address)
            self._homes.on_home_failure(now, connection.address)
        else:
            self._relay.connection_closed(now, connection)
        return self.tick(now)

    # --- requests

    def _subscribe(self, request: SubscriptionRequest) -> list[Action]:
        address = request.home_address if request.home_address is not None else self._search.leader
        if address is None:
            return []
        return [SendMessage(DialedLink(address), self._requests.subscribe(request.topic))]

    def _fetch(self, now: float, due: DueFetch) -> list[Action]:
        address = self._fetch_address(due)
        if address is None:
            return []
        self._catch_up.on_fetch_sent(now, due.topic, address)
        return [SendMessage(DialedLink(address), fetch(due.topic, is_lost=due.is_lost))]

    def _fetch_address(self, due: DueFetch) -> str | None:
        """Return the leader; for the configuration, also the machine that reported it and the other core machines."""
        leader = self._search.leader if self.is_attached else None
        if due.topic == CONFIG_TOPIC and (leader is None or due.attempt % 2):
            others = [due.source, *self._search.addresses()]
            return others[due.attempt // 2 % len(others)]
        return leader

    # --- answers to renewals

    def _on_renewed(self, now: float, connection: Connection, answer: pb.Renewed) -> list[Action]:
        if not isinstance(connection, DialedLink):
            return []
        address = connection.address
        sent_at = self._search.on_answer(now, address, answer.request)
        if not answer.is_leader:
            self._search.on_redirect(now, address, answer.leader)
        if sent_at is None:
            if answer.is_leader and not answer.request:
                self._search.on_leadership_announced(now, address, answer.members_term)
            return []
        if answer.config_known:
            self._confirmation.on_answer(sent_at, answer.config_sequence, answer.config_age_ms / 1000.0)
        actions: list[Action] = []
        if answer.is_leader and self._search.accept_leader(now, address, answer.members_term):
            actions = self._on_leader_answer(now, address, answer)
        else:
            self._on_follower_answer(now, address, answer)
        self._catch_up.on_reply(now, address, sent_at)
        return actions

    def _on_follower_answer(self, now: float, address: str, answer: pb.Renewed) -> None:
        if answer.core and not self._search.has_core():
            self._search.set_core(machine.address for machine in answer.core)
        self._updates.on_reported_position(now, CONFIG_TOPIC, configuration_position(answer.config_sequence), address)

    def _on_leader_answer(self, now: float, address: str, answer: pb.Renewed) -> list[Action]:
        if self._attached_term != answer.members_term:
            self._attached_term = answer.members_term
            self._homes.on_leader_changed()
        if answer.core:
            self._search.set_core(machine.address for machine in answer.core)
            self._requests.core_digest = answer.core_digest
        if answer.zone_edges:
            self._set_zone_edges(now, answer)
        for topic, position in reported_positions(answer).items():
            self._homes.add_topic(now, topic)
            self._updates.on_reported_position(now, topic, position, address)
        if answer.edges_total and answer.edges_total != self._edges_total:
            self._edges_total = answer.edges_total
            return [EdgesTotalChanged(answer.edges_total)]
        return []

    def _set_zone_edges(self, now: float, answer: pb.Renewed) -> None:
        self._requests.zone_revision = Position(answer.members_term, answer.members_revision)
        self._homes.set_zone_edges(now, [EdgeIdentity(one.name, one.zone, one.address) for one in answer.zone_edges])
        self._search.set_peers(one.address for one in answer.zone_edges if one.name != self._edge.name)

    # --- messages of home edges and of other edges

    def _on_home_message(self, now: float, connection: Connection, topic: str) -> None:
        if isinstance(connection, DialedLink):
            self._homes.on_home_message(now, topic, connection.address)

    def _on_renew_request(self, connection: Connection, renew: pb.Renew) -> list[Action]:
        """Name the leader to an edge of the zone that searches for it, while the leader answers here.

        The answer contains no freshness of the configuration: only core machines know it.
        """
        if not self.is_attached or self._search.leader is None:
            return []
        renewed = pb.Renewed(request=renew.request, leader=self._search.leader)
        return [SendMessage(connection, pb.Distribution(renewed=renewed))]

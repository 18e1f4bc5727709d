"""Distribution in an edge process: finds the leader, keeps the membership lease, follows the homes of its zone.

The edge is the home of some topics itself, and passes their news on to the others of its zone.

Nothing that it holds ever goes back in the life of the process: configuration by sequence, lists by (term, revision).
"""

from __future__ import annotations

from collections.abc import Iterable

from rosechute.distribution.actions import (
    Action,
    ConfigurationChanged,
    Connection,
    DialedLink,
    EdgesTotalChanged,
    SendMessage,
    ServersChanged,
)
from rosechute.distribution.catch_up import PATIENCE_PER_EDGE_S, PATIENCE_S, CatchUp
from rosechute.distribution.confirmation import Confirmation
from rosechute.distribution.fan_out import FanOut
from rosechute.distribution.home_subscriptions import HomeSubscriptions, SubscriptionRequest, SubscriptionState
from rosechute.distribution.leader_search import LeaderSearch, SearchState
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.values import (
    CONFIG_TOPIC,
    NO_POSITION,
    Configuration,
    Position,
    list_position,
    list_topic,
    reported_positions,
    service_of,
    topic_position,
)
from rosechute.messages import distribution_pb2 as pb

EXPIRE_INTERVAL_S = 1.0


class Subscriber:
    """One edge's side of the distribution."""

    def __init__(self, now: float, edge: EdgeIdentity, boot: int, seeds: Iterable[str]) -> None:
        self._edge = edge
        self._boot = boot
        self._leaving = False
        self._store = TopicStore()
        self._fan_out = FanOut(self._store)
        self._search = LeaderSearch(now, seeds)
        self._confirmation = Confirmation()
        self._catch_up = CatchUp()
        self._homes = HomeSubscriptions(edge.name)
        self._homes.add(now, CONFIG_TOPIC)
        self._members: Position = NO_POSITION
        self._edges_total = 0
        self._core_digest = 0
        self._leader_term = 0
        self._expire_at = now
        self._now = now  # of the last call

    @property
    def confirmed_at(self) -> float:
        """Steady time as of which the configuration held was the newest acknowledged one; minus infinity at first."""
        return self._confirmation.confirmed_at

    @property
    def leader(self) -> str | None:
        """Address of the leader's link, as far as known."""
        return self._search.leader

    @property
    def is_attached(self) -> bool:
        """Whether the leader answers."""
        return self._search.state is SearchState.ATTACHED

    @property
    def leader_term(self) -> int:
        """The highest term of a leader that answered; 0 before the first."""
        return self._search.term

    def leaderless_since(self) -> float | None:
        """Since when there is no leader to be asked; None while there is one, or one that is only silent."""
        since = self._search.leaderless_since
        return None if self.is_attached or since > self._now else since

    @property
    def edges_total(self) -> int:
        """Living edges; 0 until it is known."""
        return self._edges_total

    def position(self, topic: str) -> Position:
        """Where a topic stands here."""
        return self._store.position(topic)

    def positions(self) -> dict[str, Position]:
        """Where every topic stands here."""
        return {topic: self._store.position(topic) for topic in self._store.topics()}

    def subscription_state(self, topic: str) -> SubscriptionState:
        """How news of a topic comes here."""
        return self._homes.state(topic)

    def addresses(self) -> set[str]:
        """Every address that this edge may dial; links to others may be closed."""
        return set(self._search.addresses()) | set(self._search.peers()) | self._homes.addresses()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """The settings were read again."""
        self._search.set_seeds(seeds)

    def leave(self, now: float) -> None:
        """This edge shuts down: it is still counted, but is no home any more."""
        self._leaving = True
        self._search.renew_now(now)

    def next_wake(self) -> float:
        """When `tick` is to be called at the latest."""
        return min(self._search.next_due(), self._homes.next_due(), self._catch_up.next_due(), self._expire_at)

    def tick(self, now: float) -> list[Action]:
        """What is due by the clock."""
        self._now = now
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self._fan_out.expire(now)
        sends: list[Action] = [
            SendMessage(DialedLink(address), self._renew(request)) for address, request in self._search.due(now)
        ]
        for ask in self._homes.due(now):
            sends += self._subscribe(ask)
        for topic, source, attempt in self._catch_up.due(now):
            sends += self._fetch(topic, source, attempt)
        return sends

    def receive(self, now: float, connection: Connection, message: pb.Distribution) -> list[Action]:
        """A message from a core machine or from an edge of the zone."""
        match message.WhichOneof("body"):
            case "renew":
                actions = self._asked_here(connection, message.renew)
            case "renewed":
                actions = self._renewed(now, connection, message.renewed)
            case "config":
                actions = self._configuration(now, connection, message.config)
            case "list":
                actions = self._list(now, connection, message.list)
            case "subscribe":
                actions = self._subscribed_here(now, connection, message.subscribe)
            case "subscribed":
                actions = self._home_answered(now, connection, message.subscribed.topic)
            case "fetch":
                actions = self._fetched_here(now, connection, message.fetch.topic)
            case _:
                return []
        return [*actions, *self.tick(now)]

    def connection_closed(self, now: float, connection: Connection) -> list[Action]:
        """A connection has ended, or the link to an address could not be opened."""
        if isinstance(connection, DialedLink):
            self._search.closed(now, connection.address)
            self._homes.failed(now, connection.address)
        else:
            self._fan_out.connection_closed(now, connection)
        return self.tick(now)

    def _renew(self, request: int) -> pb.Distribution:
        return pb.Distribution(
            renew=pb.Renew(
                request=request,
                edge=self._identity(),
                boot=self._boot,
                config_sequence=self._store.position(CONFIG_TOPIC)[1],
                lists=[list_position(held.service, held.position) for held in self._store.lists()],
                members_term=self._members[0],
                members_revision=self._members[1],
                leaving=self._leaving,
                core_digest=self._core_digest,
            )
        )

    def _subscribe(self, ask: SubscriptionRequest) -> list[Action]:
        address = ask.home_address if ask.home_address is not None else self._search.leader
        if address is None:
            return []
        position = self._store.position(ask.topic)
        subscribe = pb.Subscribe(edge=self._identity(), topic=ask.topic)
        if ask.topic == CONFIG_TOPIC:
            subscribe.config_sequence = position[1]
        else:
            subscribe.list.CopyFrom(list_position(service_of(ask.topic), position))
        return [SendMessage(DialedLink(address), pb.Distribution(subscribe=subscribe))]

    def _fetch(self, topic: str, source: str, attempt: int) -> list[Action]:
        """From the leader; the configuration also from who told of it, and from the other core machines in turn."""
        address = self._search.leader if self.is_attached else None
        if topic == CONFIG_TOPIC and (address is None or attempt % 2):
            others = [source, *self._search.addresses()]
            address = others[attempt // 2 % len(others)]
        if address is None:
            return []
        return [SendMessage(DialedLink(address), pb.Distribution(fetch=pb.Fetch(topic=topic)))]

    def _renewed(self, now: float, connection: Connection, answer: pb.Renewed) -> list[Action]:
        if not isinstance(connection, DialedLink):
            return []
        sent_at = self._search.answered(now, connection.address, answer.request)
        if not answer.is_leader:
            self._search.not_leader(now, connection.address, answer.leader)
        if sent_at is None:
            if answer.is_leader and not answer.request:
                self._search.leads_now(now, connection.address, answer.members_term)
            return []
        if answer.config_known:
            self._confirmation.told(sent_at, answer.config_sequence, answer.config_age_ms / 1000.0)
        if answer.is_leader and self._search.is_leader(now, connection.address, answer.members_term):
            return self._leader_answered(now, connection.address, answer)
        if answer.core and not self._search.knows_core():
            self._search.set_core(machine.address for machine in answer.core)
        self._told(now, CONFIG_TOPIC, (0, answer.config_sequence), connection.address)
        return []

    def _leader_answered(self, now: float, address: str, answer: pb.Renewed) -> list[Action]:
        if self._leader_term != answer.members_term:
            self._leader_term = answer.members_term
            self._homes.leader_found(now)
        if answer.core:
            self._search.set_core(machine.address for machine in answer.core)
            self._core_digest = answer.core_digest
        if answer.zone_edges:
            self._members = (answer.members_term, answer.members_revision)
            self._homes.members(now, [EdgeIdentity(one.name, one.zone, one.address) for one in answer.zone_edges])
            self._search.set_peers(one.address for one in answer.zone_edges if one.name != self._edge.name)
        for topic, position in reported_positions(answer).items():
            self._homes.add(now, topic)
            self._told(now, topic, position, address)
        if answer.edges_total and answer.edges_total != self._edges_total:
            self._edges_total = answer.edges_total
            return [EdgesTotalChanged(answer.edges_total)]
        return []

    def _told(self, now: float, topic: str, position: Position, source: str) -> None:
        """Somebody holds this position; where it is newer, the home has a short time to bring it."""
        held = self._store.position(topic)
        if position <= held:
            return
        patience = PATIENCE_S + PATIENCE_PER_EDGE_S * self._homes.zone_size()
        if held == NO_POSITION and self._homes.state(topic) is SubscriptionState.LOCAL:
            patience = 0.0
        self._catch_up.told(topic, position, source, now + patience)

    def _configuration(self, now: float, connection: Connection, update: pb.ConfigUpdate) -> list[Action]:
        self._home_spoke(now, connection, CONFIG_TOPIC)
        if self._store.apply_configuration(update) is not UpdateResult.APPLIED:
            return []
        configuration = self._store.configuration()
        assert isinstance(configuration, Configuration)
        self._confirmation.held(configuration.sequence)
        changed = ConfigurationChanged(configuration.sequence, configuration.version, configuration.body)
        return [changed, *self._pass_on(now, CONFIG_TOPIC)]

    def _list(self, now: float, connection: Connection, update: pb.ListUpdate) -> list[Action]:
        service = update.position.service
        topic = list_topic(service)
        self._home_spoke(now, connection, topic)
        taken = self._store.apply_list(update, now)
        if taken is UpdateResult.GAP:
            return [SendMessage(connection, pb.Distribution(fetch=pb.Fetch(topic=topic)))]
        held = self._store.service_list(service)
        if taken is not UpdateResult.APPLIED or held is None:
            return []
        self._homes.add(now, topic)
        changed = ServersChanged(service, held.position, tuple(held.servers.values()))
        return [changed, *self._pass_on(now, topic)]

    def _pass_on(self, now: float, topic: str) -> list[SendMessage]:
        self._catch_up.held(topic, self._store.position(topic))
        return self._fan_out.publish(now, topic, self._fan_out.subscribers(topic))

    def _subscribed_here(self, now: float, connection: Connection, subscribe: pb.Subscribe) -> list[Action]:
        """Another edge takes this one for the home."""
        topic, name = subscribe.topic, subscribe.edge.name
        held = self._store.position(topic)
        answer = pb.Subscribed(topic=topic)
        if topic == CONFIG_TOPIC:
            answer.config_sequence = held[1]
        else:
            answer.list.CopyFrom(list_position(service_of(topic), held))
        self._fan_out.subscribe(now, topic, name)
        handed_over = self._fan_out.spoke(now, name, connection, {topic: topic_position(subscribe)})
        news = self._fan_out.publish(now, topic, [name])
        return [SendMessage(connection, pb.Distribution(subscribed=answer)), *handed_over, *news]

    def _asked_here(self, connection: Connection, renew: pb.Renew) -> list[Action]:
        """Another edge of the zone has not found the core: the leader is named, where it answers here. This says
        nothing of any freshness: only core machines know that."""
        if not self.is_attached or self._search.leader is None:
            return []
        renewed = pb.Renewed(request=renew.request, leader=self._search.leader)
        return [SendMessage(connection, pb.Distribution(renewed=renewed))]

    def _home_answered(self, now: float, connection: Connection, topic: str) -> list[Action]:
        self._home_spoke(now, connection, topic)
        return []

    def _home_spoke(self, now: float, connection: Connection, topic: str) -> None:
        if isinstance(connection, DialedLink):
            self._homes.answered(now, topic, connection.address)

    def _fetched_here(self, now: float, connection: Connection, topic: str) -> list[Action]:
        value = self._store.get(topic)
        return [SendMessage(connection, value.update_message(NO_POSITION, now))] if value is not None else []

    def _identity(self) -> pb.Edge:
        return pb.Edge(name=self._edge.name, zone=self._edge.zone, address=self._edge.address)

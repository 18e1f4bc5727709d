"""Distribution in a core process: membership of the edges, and the news pushed to them by the leader.

A core machine that is not the leader names the leader, tells how fresh its knowledge of the configuration is, and
serves the configuration that it holds.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from rosechute.distribution.actions import Connection, SendMessage
from rosechute.distribution.fan_out import FanOut
from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.membership import MEMBERSHIP_LEASE_S, EdgeIdentity, Membership
from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.values import (
    CONFIG_TOPIC,
    NO_POSITION,
    Configuration,
    ListedServer,
    Position,
    Value,
    is_unchanged,
    list_position,
    list_topic,
    next_service_list,
    reported_positions,
    topic_position,
)
from rosechute.messages import distribution_pb2 as pb

FETCH_AGAIN_S = 2.0
ASKED_S = 1.0  # an edge that asked so lately still searches, and is told of the leader at once

QuotaHandler = Callable[[float, pb.QuotaRequest], "pb.QuotaIssue | None"]


@dataclass(frozen=True, slots=True)
class CoreAddress:
    """A core machine of the current view."""

    id: str
    address: str  # of its link, host:port
    control: str  # of the operator's API, host:port


class PublisherState(enum.Enum):
    """Whether this machine holds the leader lease."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Publisher:
    """One core machine's side of the distribution."""

    def __init__(self, on_quota: QuotaHandler) -> None:
        self._on_quota = on_quota
        self._state = PublisherState.FOLLOWER
        self._term = 0
        self._leader_address: str | None = None
        self._store = TopicStore()
        self._fan_out = FanOut(self._store)
        self._membership = Membership(0.0)
        self._list_known = False  # whether the list was read in this term
        self._fresh_sequence = 0
        self._fresh_at = -math.inf
        self._core: tuple[pb.CoreMachine, ...] = ()
        self._core_digest = 0
        self._asked: dict[Connection, float] = {}  # while this is not the leader: who asked for it, and when
        self._fetched: dict[tuple[Connection, str], tuple[Position, float]] = {}

    @property
    def state(self) -> PublisherState:
        """Leader or follower."""
        return self._state

    @property
    def term(self) -> int:
        """Of the leader lease that was gained last; 0 for none."""
        return self._term

    def edges_total(self, now: float) -> int:
        """Living edges; 0 where it is not known, or this is not the leader."""
        return self._membership.total(now) if self._state is PublisherState.LEADER else 0

    def leadership_gained(self, now: float, term: int) -> list[SendMessage]:
        """This machine holds the leader lease from now on, for a term that is higher than every one before."""
        if self._state is PublisherState.LEADER and self._term == term:
            return []
        self._state = PublisherState.LEADER
        self._term = term
        self._membership = Membership(now)
        self._fan_out.clear()
        self._list_known = False
        searching = [connection for connection, at in self._asked.items() if now - at < ASKED_S]
        self._asked.clear()
        return self._tell(searching, pb.Renewed(is_leader=True, members_term=term))

    def leadership_lost(self, now: float) -> list[SendMessage]:
        """This machine does not hold the leader lease any more."""
        if self._state is PublisherState.FOLLOWER:
            return []
        self._state = PublisherState.FOLLOWER
        followers = self._fan_out.connections()
        self._fan_out.clear()
        self._leader_address = None
        return self._tell(followers, pb.Renewed())

    def set_leader_address(self, address: str | None) -> None:
        """The address of the leader's link, where it is another machine and known."""
        self._leader_address = address

    def set_core_machines(self, machines: Sequence[CoreAddress]) -> None:
        """The core machines of the current view."""
        self._core = tuple(pb.CoreMachine(id=one.id, address=one.address, control=one.control) for one in machines)
        told = "\n".join(f"{one.id} {one.address} {one.control}" for one in machines)
        self._core_digest = zlib.crc32(told.encode()) or 1

    def configuration_committed(self, now: float, sequence: int, version: int, body: bytes) -> list[SendMessage]:
        """A configuration is committed; called on every core machine."""
        if (0, sequence) <= self._store.position(CONFIG_TOPIC):
            return []
        self._store.put(Configuration.from_body(sequence, version, body))
        return self._publish(now, CONFIG_TOPIC)

    def update_freshness(self, now: float, sequence: int, age_s: float) -> None:
        """So long ago, the newest acknowledged configuration was at most the one of this sequence."""
        as_of = now - age_s
        if as_of >= self._fresh_at:
            self._fresh_at = as_of
            self._fresh_sequence = sequence

    def endpoint_list_read(self, now: float, entries: Iterable[ListedServer]) -> list[SendMessage]:
        """A whole reading of the platform's list, made under the lease."""
        if self._state is not PublisherState.LEADER:
            return []
        by_service: dict[str, list[ListedServer]] = {}
        for entry in entries:
            by_service.setdefault(entry.service, []).append(entry)
        known = {value.service for value in self._store.lists()}
        self._list_known = True
        sends: list[SendMessage] = []
        for service in sorted(known | by_service.keys()):
            sends += self._take_reading(now, service, by_service.get(service, []))
        return sends

    def receive(self, now: float, connection: Connection, message: pb.Distribution) -> list[SendMessage]:
        """A message of an edge, which came on this connection."""
        match message.WhichOneof("body"):
            case "renew":
                return self._renew(now, connection, message.renew)
            case "subscribe":
                return self._subscribe(now, connection, message.subscribe)
            case "fetch":
                return self._fetch(now, connection, message.fetch.topic)
            case "quota_request":
                return self._quota(now, connection, message.quota_request)
        return []

    def connection_closed(self, now: float, connection: Connection) -> None:
        """A connection of an edge has ended."""
        self._fan_out.connection_closed(now, connection)
        self._asked.pop(connection, None)
        for key in [key for key in self._fetched if key[0] == connection]:
            del self._fetched[key]

    def tick(self, now: float) -> list[SendMessage]:
        """End what has run out; a few times a second is enough."""
        if self._state is PublisherState.LEADER:
            self._membership.expire(now)
            self._fan_out.expire(now)
        for key in [key for key, (_, sent) in self._fetched.items() if now - sent >= FETCH_AGAIN_S]:
            del self._fetched[key]
        return []

    def _renew(self, now: float, connection: Connection, renew: pb.Renew) -> list[SendMessage]:
        if self._state is not PublisherState.LEADER:
            self._asked[connection] = now
            return [SendMessage(connection, pb.Distribution(renewed=self._answer(now, renew)))]
        edge = EdgeIdentity(renew.edge.name, renew.edge.zone, renew.edge.address)
        self._membership.renew(now, edge, renew.boot, renew.leaving)
        self._learn_services(now, renew)
        sends = self._fan_out.spoke(now, edge.name, connection, reported_positions(renew))
        return [SendMessage(connection, pb.Distribution(renewed=self._leader_answer(now, renew))), *sends]

    def _tell(self, connections: Iterable[Connection], answer: pb.Renewed) -> list[SendMessage]:
        """Tell edges unasked whether this machine leads; they ask again at once."""
        return [SendMessage(connection, pb.Distribution(renewed=answer)) for connection in connections]

    def _answer(self, now: float, renew: pb.Renew) -> pb.Renewed:
        """What every core machine can tell: the freshness of the configuration, the core, who leads."""
        answer = pb.Renewed(request=renew.request, leader=self._leader_address or "", core_digest=self._core_digest)
        answer.config_sequence = max(self._fresh_sequence, self._store.position(CONFIG_TOPIC)[1])
        if math.isfinite(self._fresh_at):
            answer.config_known = True
            answer.config_age_ms = min(math.ceil(max(0.0, now - self._fresh_at) * 1000.0), 2**32 - 1)
        if renew.core_digest != self._core_digest:
            answer.core.extend(self._core)
        return answer

    def _leader_answer(self, now: float, renew: pb.Renew) -> pb.Renewed:
        answer = self._answer(now, renew)
        answer.is_leader = True
        answer.leader = ""
        answer.lease_ms = int(MEMBERSHIP_LEASE_S * 1000.0)
        answer.members_term = self._term
        answer.edges_total = self._membership.total(now)
        for value in self._store.lists():
            if self._current(value.topic) is not None:
                answer.lists.append(list_position(value.service, value.position))
        if self._membership.settled(now):
            revision = self._membership.revision(renew.edge.zone)
            answer.members_revision = revision
            if (renew.members_term, renew.members_revision) != (self._term, revision):
                for edge in self._membership.zone_edges(renew.edge.zone):
                    answer.zone_edges.append(pb.Edge(name=edge.name, zone=edge.zone, address=edge.address))
        return answer

    def _learn_services(self, now: float, renew: pb.Renew) -> None:
        """A service that an edge has a list of, but that the platform does not name any more, has no servers."""
        if not self._list_known:
            return
        for told in renew.lists:
            if self._store.position(list_topic(told.service))[0] != self._term:
                self._take_reading(now, told.service, [])

    def _subscribe(self, now: float, connection: Connection, subscribe: pb.Subscribe) -> list[SendMessage]:
        """From an edge whose home for this topic fails."""
        if self._state is not PublisherState.LEADER:
            return []
        topic, held = subscribe.topic, topic_position(subscribe)
        self._fan_out.subscribe(now, topic, subscribe.edge.name)
        sends = self._fan_out.spoke(now, subscribe.edge.name, connection, {topic: held})
        if self._current(topic) is None:
            return sends
        return sends + self._fan_out.publish(now, topic, [subscribe.edge.name])

    def _fetch(self, now: float, connection: Connection, topic: str) -> list[SendMessage]:
        value = self._current(topic)
        if value is None:
            return []
        sent = self._fetched.get((connection, topic))
        if sent is not None and sent[0] == value.position and now - sent[1] < FETCH_AGAIN_S:
            return []  # it is on its way on this very connection, which may be slow
        self._fetched[connection, topic] = (value.position, now)
        return [SendMessage(connection, value.update_message(NO_POSITION, now))]

    def _current(self, topic: str) -> Value | None:
        """What this machine may tell of a topic: lists only under the lease, and only those read in its term."""
        value = self._store.get(topic)
        if value is None or topic == CONFIG_TOPIC:
            return value
        leads = self._state is PublisherState.LEADER
        return value if leads and value.position[0] == self._term else None

    def _quota(self, now: float, connection: Connection, request: pb.QuotaRequest) -> list[SendMessage]:
        if self._state is not PublisherState.LEADER:
            answer = pb.Renewed(leader=self._leader_address or "", core_digest=self._core_digest)
            return [SendMessage(connection, pb.Distribution(renewed=answer))]
        issue = self._on_quota(now, request)
        return [SendMessage(connection, pb.Distribution(quota_issue=issue))] if issue is not None else []

    def _take_reading(self, now: float, service: str, servers: list[ListedServer]) -> list[SendMessage]:
        old = self._store.service_list(service)
        same_term = old is not None and old.position[0] == self._term
        revision = old.position[1] + 1 if old is not None and same_term else 1
        value = next_service_list(old, service, (self._term, revision), servers, now)
        if same_term and is_unchanged(value):
            return []
        if self._store.put(value) is not UpdateResult.APPLIED:
            return []
        return self._publish(now, value.topic)

    def _publish(self, now: float, topic: str) -> list[SendMessage]:
        """News of a topic: to its home in each zone, and to those who follow it here."""
        if self._state is not PublisherState.LEADER:
            return []
        return self._fan_out.publish(now, topic, self._targets(now, topic))

    def _targets(self, now: float, topic: str) -> list[str]:
        if not self._membership.settled(now):
            return self._membership.names()
        homes = [home_edge(topic, names) for names in self._membership.zones().values()]
        targets = {name for name in homes if name is not None}
        return sorted(targets | set(self._fan_out.subscribers(topic)))

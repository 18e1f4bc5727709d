"""The core machine's side of the distribution: membership of the edges, and the updates pushed by the leader.

A core machine that is not the leader names the leader, reports how fresh its knowledge of the configuration is, and
serves the configuration that it holds.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence

from rosechute.distribution.actions import Connection, SendMessage
from rosechute.distribution.core_directory import CoreAddress, CoreDirectory
from rosechute.distribution.endpoint_lists import EndpointLists
from rosechute.distribution.fan_out import FanOut
from rosechute.distribution.freshness import ConfigurationFreshness
from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.membership import MEMBERSHIP_LEASE_S, EdgeIdentity, Membership
from rosechute.distribution.recent_fetches import RecentFetches
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topics import (
    CONFIG_TOPIC,
    NO_POSITION,
    configuration_position,
    list_position,
    reported_positions,
    topic_position,
)
from rosechute.distribution.values import Configuration, ListedServer
from rosechute.messages import distribution_pb2 as pb

SEARCHING_EDGE_S = 1.0  # edges that renewed this recently still search; a follower that becomes leader contacts them

QuotaHandler = Callable[[float, pb.QuotaRequest], "pb.QuotaIssue | None"]


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
        self._lists = EndpointLists(self._store)
        self._fan_out = FanOut(self._store)
        self._membership = Membership(0.0)
        self._freshness = ConfigurationFreshness()
        self._core = CoreDirectory()
        self._searching: dict[Connection, float] = {}  # last renewal of edges that asked this follower for the leader
        self._recent_fetches = RecentFetches()

    @property
    def state(self) -> PublisherState:
        """Leader or follower."""
        return self._state

    @property
    def term(self) -> int:
        """The term of the leader lease that was gained last; 0 for none."""
        return self._term

    def edges_total(self, now: float) -> int:
        """Return the number of living edges; 0 if it is unknown or this machine is not the leader."""
        return self._membership.total(now) if self._is_leader else 0

    # --- events of the core machine

    def leadership_gained(self, now: float, term: int) -> list[SendMessage]:
        """Become the leader for a term higher than every earlier one; announce it to the searching edges."""
        if self._is_leader and self._term == term:
            return []
        self._state = PublisherState.LEADER
        self._term = term
        self._membership = Membership(now)
        self._fan_out.clear()
        self._lists.begin_term(term)
        searching = [connection for connection, at in self._searching.items() if now - at < SEARCHING_EDGE_S]
        self._searching.clear()
        return _announce(searching, pb.Renewed(is_leader=True, members_term=term))

    def leadership_lost(self, now: float) -> list[SendMessage]:
        """Become a follower; announce it to the attached edges."""
        if not self._is_leader:
            return []
        self._state = PublisherState.FOLLOWER
        attached = self._fan_out.connections()
        self._fan_out.clear()
        self._leader_address = None
        return _announce(attached, pb.Renewed())

    def set_leader_address(self, address: str | None) -> None:
        """Set the address of the leader's link, if it is another machine and known."""
        self._leader_address = address

    def set_core_machines(self, machines: Sequence[CoreAddress]) -> None:
        """Set the core machines of the current view."""
        self._core.set_machines(machines)

    def configuration_committed(self, now: float, sequence: int, version: int, body: bytes) -> list[SendMessage]:
        """Store a committed configuration and push it; called on every core machine."""
        if configuration_position(sequence) <= self._store.position(CONFIG_TOPIC):
            return []
        self._store.put(Configuration.from_body(sequence, version, body))
        return self._publish(now, CONFIG_TOPIC)

    def update_freshness(self, now: float, sequence: int, age_s: float) -> None:
        """Record that `age_s` ago the newest acknowledged configuration had at most this sequence."""
        self._freshness.update(now, sequence, age_s)

    def endpoint_list_read(self, now: float, entries: Iterable[ListedServer]) -> list[SendMessage]:
        """Store a complete reading of the platform's list, made under the lease, and push the lists that changed."""
        if not self._is_leader:
            return []
        sends: list[SendMessage] = []
        for topic in self._lists.apply_reading(now, entries):
            sends += self._publish(now, topic)
        return sends

    def tick(self, now: float) -> list[SendMessage]:
        """Expire leases, subscriptions and hints; to be called a few times a second."""
        if self._is_leader:
            self._membership.expire(now)
            self._fan_out.expire(now)
        self._recent_fetches.expire(now)
        return []

    # --- events of the links

    def receive(self, now: float, connection: Connection, message: pb.Distribution) -> list[SendMessage]:
        """Process a message of an edge that arrived on this connection."""
        match message.WhichOneof("body"):
            case "renew":
                return self._on_renew(now, connection, message.renew)
            case "subscribe":
                return self._on_subscribe(now, connection, message.subscribe)
            case "fetch":
                return self._on_fetch(now, connection, message.fetch)
            case "quota_request":
                return self._on_quota_request(now, connection, message.quota_request)
        return []

    def connection_closed(self, now: float, connection: Connection) -> None:
        """Process the end of an edge's connection."""
        self._fan_out.connection_closed(now, connection)
        self._searching.pop(connection, None)
        self._recent_fetches.connection_closed(connection)

    # --- renewals

    def _on_renew(self, now: float, connection: Connection, renew: pb.Renew) -> list[SendMessage]:
        if not self._is_leader:
            self._searching[connection] = now
            return [SendMessage(connection, pb.Distribution(renewed=self._answer(now, renew)))]
        edge = EdgeIdentity(renew.edge.name, renew.edge.zone, renew.edge.address)
        self._membership.renew(now, edge, renew.boot, is_leaving=renew.leaving)
        self._empty_unlisted_services(now, renew)
        sends = self._fan_out.on_report(now, edge.name, connection, reported_positions(renew))
        return [SendMessage(connection, pb.Distribution(renewed=self._leader_answer(now, renew))), *sends]

    def _empty_unlisted_services(self, now: float, renew: pb.Renew) -> None:
        for topic in self._lists.empty_unlisted(now, [entry.service for entry in renew.lists]):
            # The messages are not sent: the fan-out records the update as sent, and the answers to renewals show the
            # edges that their list is outdated, so they fetch it.
            self._publish(now, topic)

    def _answer(self, now: float, renew: pb.Renew) -> pb.Renewed:
        """Return what every core machine answers: configuration freshness, core machines, and the leader."""
        answer = pb.Renewed(request=renew.request, leader=self._leader_address or "", core_digest=self._core.digest)
        self._freshness.report(now, self._store.position(CONFIG_TOPIC).revision, answer)
        answer.core.extend(self._core.unknown_to(renew.core_digest))
        return answer

    def _leader_answer(self, now: float, renew: pb.Renew) -> pb.Renewed:
        answer = self._answer(now, renew)
        answer.is_leader = True
        answer.leader = ""
        answer.lease_ms = int(MEMBERSHIP_LEASE_S * 1000.0)
        answer.members_term = self._term
        answer.edges_total = self._membership.total(now)
        answer.lists.extend(list_position(value.service, value.position) for value in self._lists.of_this_term())
        if self._membership.is_complete(now):
            self._report_zone_edges(renew, answer)
        return answer

    def _report_zone_edges(self, renew: pb.Renew, answer: pb.Renewed) -> None:
        """Write the revision of the zone's edges into an answer, and the edges if the receiver lacks it."""
        revision = self._membership.revision(renew.edge.zone)
        answer.members_revision = revision
        if (renew.members_term, renew.members_revision) != (self._term, revision):
            for edge in self._membership.zone_edges(renew.edge.zone):
                answer.zone_edges.append(pb.Edge(name=edge.name, zone=edge.zone, address=edge.address))

    # --- other messages of edges

    def _on_subscribe(self, now: float, connection: Connection, subscribe: pb.Subscribe) -> list[SendMessage]:
        """Serve an edge whose home for this topic failed."""
        if not self._is_leader:
            return []
        topic, name = subscribe.topic, subscribe.edge.name
        self._fan_out.subscribe(now, topic, name)
        sends = self._fan_out.on_report(now, name, connection, {topic: topic_position(subscribe)})
        if self._lists.sendable(topic, is_leader=True) is None:
            return sends
        return sends + self._fan_out.publish(now, topic, [name])

    def _on_fetch(self, now: float, connection: Connection, fetch: pb.Fetch) -> list[SendMessage]:
        topic = fetch.topic
        value = self._lists.sendable(topic, is_leader=self._is_leader)
        if value is None:
            return []
        if not fetch.lost and self._recent_fetches.is_in_flight(now, connection, topic, value.position):
            return []
        self._recent_fetches.record(now, connection, topic, value.position)
        return [SendMessage(connection, value.update_message(NO_POSITION, now))]

    def _on_quota_request(self, now: float, connection: Connection, request: pb.QuotaRequest) -> list[SendMessage]:
        if not self._is_leader:
            answer = pb.Renewed(leader=self._leader_address or "", core_digest=self._core.digest)
            return [SendMessage(connection, pb.Distribution(renewed=answer))]
        issue = self._on_quota(now, request)
        return [SendMessage(connection, pb.Distribution(quota_issue=issue))] if issue is not None else []

    # --- pushing

    @property
    def _is_leader(self) -> bool:
        return self._state is PublisherState.LEADER

    def _publish(self, now: float, topic: str) -> list[SendMessage]:
        """Return the updates of a topic for its home in each zone and for its subscribers here."""
        if not self._is_leader:
            return []
        return self._fan_out.publish(now, topic, self._targets(now, topic))

    def _targets(self, now: float, topic: str) -> list[str]:
        if not self._membership.is_complete(now):
            return self._membership.names()
        homes = [home_edge(topic, names) for names in self._membership.home_candidates().values()]
        targets = {name for name in homes if name is not None}
        return sorted(targets | set(self._fan_out.subscribers(topic)))


def _announce(connections: Iterable[Connection], answer: pb.Renewed) -> list[SendMessage]:
    """Return an unasked answer for each connection, by which edges learn that the leadership changed."""
    return [SendMessage(connection, pb.Distribution(renewed=answer)) for connection in connections]

"""The requests of an edge to the core and to home edges, with the positions that it holds."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION, Position, list_position, service_of
from rosechute.messages import distribution_pb2 as pb


@dataclass(slots=True)
class EdgeRequests:
    """Builds the requests of one edge from what it reports about itself."""

    edge: EdgeIdentity
    incarnation: int  # random number drawn at the start of the process
    store: TopicStore
    zone_revision: Position = NO_POSITION  # revision of the known edges of the zone, with the leader's term
    core_digest: int = 0  # digest of the known core machines; 0 if there are none
    is_leaving: bool = False

    def renew(self, request: int) -> pb.Distribution:
        """Return the renewal of the membership lease with this number."""
        return pb.Distribution(
            renew=pb.Renew(
                request=request,
                edge=self._identity(),
                boot=self.incarnation,
                config_sequence=self.store.position(CONFIG_TOPIC).revision,
                lists=[list_position(held.service, held.position) for held in self.store.lists()],
                members_term=self.zone_revision.term,
                members_revision=self.zone_revision.revision,
                leaving=self.is_leaving,
                core_digest=self.core_digest,
            )
        )

    def subscribe(self, topic: str) -> pb.Distribution:
        """Return the subscription to a topic."""
        subscribe = pb.Subscribe(edge=self._identity(), topic=topic)
        write_topic_position(subscribe, self.store.position(topic))
        return pb.Distribution(subscribe=subscribe)

    def _identity(self) -> pb.Edge:
        return pb.Edge(name=self.edge.name, zone=self.edge.zone, address=self.edge.address)


def fetch(topic: str, *, is_lost: bool = False) -> pb.Distribution:
    """Return the fetch of a topic.

    Args:
        topic: The topic.
        is_lost: Whether the reply to the previous fetch was lost.
    """
    return pb.Distribution(fetch=pb.Fetch(topic=topic, lost=is_lost))


def write_topic_position(message: pb.Subscribe | pb.Subscribed, position: Position) -> None:
    """Write the position of the message's topic into it; the inverse of `topics.topic_position`."""
    if message.topic == CONFIG_TOPIC:
        message.config_sequence = position.revision
    else:
        message.list.CopyFrom(list_position(service_of(message.topic), position))

"""The relay of an edge that is a home of its zone: it serves the subscriptions and fetches of the other edges."""

from __future__ import annotations

from rosechute.distribution.actions import Connection, SendMessage
from rosechute.distribution.fan_out import FanOut
from rosechute.distribution.requests import write_topic_position
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topics import NO_POSITION, topic_position
from rosechute.messages import distribution_pb2 as pb


class ZoneRelay:
    """Relays the updates that an edge receives to its subscribers."""

    def __init__(self, store: TopicStore) -> None:
        self._store = store
        self._fan_out = FanOut(store)

    def relay(self, now: float, topic: str) -> list[SendMessage]:
        """Return the updates of a topic for its subscribers."""
        return self._fan_out.publish(now, topic, self._fan_out.subscribers(topic))

    def on_subscribe(self, now: float, connection: Connection, subscribe: pb.Subscribe) -> list[SendMessage]:
        """Accept the subscription of an edge whose home is this one; return the answer and the missed updates."""
        topic, name = subscribe.topic, subscribe.edge.name
        answer = pb.Subscribed(topic=topic)
        write_topic_position(answer, self._store.position(topic))
        self._fan_out.subscribe(now, topic, name)
        missed = self._fan_out.on_report(now, name, connection, {topic: topic_position(subscribe)})
        updates = self._fan_out.publish(now, topic, [name])
        return [SendMessage(connection, pb.Distribution(subscribed=answer)), *missed, *updates]

    def on_fetch(self, now: float, connection: Connection, topic: str) -> list[SendMessage]:
        """Return a snapshot of a topic, if it has a value."""
        value = self._store.get(topic)
        return [SendMessage(connection, value.update_message(NO_POSITION, now))] if value is not None else []

    def connection_closed(self, now: float, connection: Connection) -> None:
        """Process the end of a subscriber's connection."""
        self._fan_out.connection_closed(now, connection)

    def expire(self, now: float) -> None:
        """Remove subscriptions that were not renewed."""
        self._fan_out.expire(now)

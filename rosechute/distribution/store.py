"""The newest value of each topic that a process holds. The position of a topic never decreases."""

from __future__ import annotations

import enum

from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION, Position, configuration_position, list_topic
from rosechute.distribution.values import (
    Configuration,
    ListedServer,
    ServiceList,
    Value,
    decode_configuration,
    decode_servers,
    next_service_list,
)
from rosechute.messages import distribution_pb2 as pb


class UpdateResult(enum.Enum):
    """The result of applying an update."""

    APPLIED = "applied"
    STALE = "stale"  # the store already holds this position or a newer one
    GAP = "gap"  # the update is a delta against a position that the store does not hold
    INVALID = "invalid"  # the update can't be decoded, or names no service


class TopicStore:
    """Values by topic."""

    def __init__(self) -> None:
        self._values: dict[str, Value] = {}

    def topics(self) -> list[str]:
        """Return the topics that have a value."""
        return list(self._values)

    def get(self, topic: str) -> Value | None:
        """Return the value of a topic, or None."""
        return self._values.get(topic)

    def configuration(self) -> Configuration | None:
        """Return the newest configuration, or None."""
        value = self._values.get(CONFIG_TOPIC)
        return value if isinstance(value, Configuration) else None

    def service_list(self, service: str) -> ServiceList | None:
        """Return the newest endpoint list of a service, or None."""
        value = self._values.get(list_topic(service))
        return value if isinstance(value, ServiceList) else None

    def lists(self) -> list[ServiceList]:
        """Return the newest endpoint list of every service."""
        return [value for value in self._values.values() if isinstance(value, ServiceList)]

    def position(self, topic: str) -> Position:
        """Return the position of a topic's value; NO_POSITION where there is none."""
        value = self._values.get(topic)
        return value.position if value is not None else NO_POSITION

    def put(self, value: Value) -> UpdateResult:
        """Store a value if its position is newer than the one held."""
        if value.position <= self.position(value.topic):
            return UpdateResult.STALE
        self._values[value.topic] = value
        return UpdateResult.APPLIED

    def apply_configuration(self, update: pb.ConfigUpdate) -> UpdateResult:
        """Store the configuration of an update if it is newer."""
        if configuration_position(update.sequence) <= self.position(CONFIG_TOPIC):
            return UpdateResult.STALE
        configuration = decode_configuration(update)
        return self.put(configuration) if configuration is not None else UpdateResult.INVALID

    def apply_list(self, update: pb.ListUpdate, now: float) -> UpdateResult:
        """Store the endpoint list of a snapshot, or apply a delta to the one held, if the result is newer."""
        service = update.position.service
        position = Position(update.position.term, update.position.revision)
        old = self.service_list(service)
        if not service:
            return UpdateResult.INVALID
        if old is not None and position <= old.position:
            return UpdateResult.STALE
        servers = decode_servers(update, now)
        if not update.whole:
            if old is None or old.position != Position(position.term, update.base_revision):
                return UpdateResult.GAP
            servers = _with_delta(old, servers, update)
        return self.put(next_service_list(old, service, position, servers, now))


def _with_delta(old: ServiceList, changed: list[ListedServer], update: pb.ListUpdate) -> list[ListedServer]:
    """Return the servers of `old` that a delta leaves as they are, then those that it changes or adds."""
    replaced = set(update.removed) | {server.id for server in changed}
    return [server for server in old.servers.values() if server.id not in replaced] + changed

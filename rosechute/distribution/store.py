"""The newest value of each topic that a process holds. Nothing in it ever goes back."""

from __future__ import annotations

import enum

from rosechute.distribution.values import (
    CONFIG_TOPIC,
    NO_POSITION,
    Configuration,
    Position,
    ServiceList,
    Value,
    decode_configuration,
    decode_servers,
    list_topic,
    next_service_list,
)
from rosechute.messages import distribution_pb2 as pb


class UpdateResult(enum.Enum):
    """What became of an update."""

    APPLIED = "applied"  # it is held now
    STALE = "stale"  # it was held already, or a newer one is
    GAP = "gap"  # it tells changes against something that is not held
    INVALID = "invalid"  # it can't be read


class TopicStore:
    """Values by topic."""

    def __init__(self) -> None:
        self._values: dict[str, Value] = {}

    def topics(self) -> list[str]:
        """The topics that have a value."""
        return list(self._values)

    def get(self, topic: str) -> Value | None:
        """The value of a topic, where there is one."""
        return self._values.get(topic)

    def configuration(self) -> Configuration | None:
        """The newest configuration, where there is one."""
        value = self._values.get(CONFIG_TOPIC)
        return value if isinstance(value, Configuration) else None

    def service_list(self, service: str) -> ServiceList | None:
        """The newest list of a service, where there is one."""
        value = self._values.get(list_topic(service))
        return value if isinstance(value, ServiceList) else None

    def lists(self) -> list[ServiceList]:
        """The lists of all services."""
        return [value for value in self._values.values() if isinstance(value, ServiceList)]

    def position(self, topic: str) -> Position:
        """Where a topic stands here."""
        value = self._values.get(topic)
        return value.position if value is not None else NO_POSITION

    def put(self, value: Value) -> UpdateResult:
        """Hold a value unless it is no newer than the one held."""
        if value.position <= self.position(value.topic):
            return UpdateResult.STALE
        self._values[value.topic] = value
        return UpdateResult.APPLIED

    def apply_configuration(self, update: pb.ConfigUpdate) -> UpdateResult:
        """Hold the configuration of an update, if it is newer."""
        if (0, update.sequence) <= self.position(CONFIG_TOPIC):
            return UpdateResult.STALE
        configuration = decode_configuration(update)
        return self.put(configuration) if configuration is not None else UpdateResult.INVALID

    def apply_list(self, update: pb.ListUpdate, now: float) -> UpdateResult:
        """Hold the list of an update, if it is newer and, where it tells changes, they are to what is held."""
        service = update.position.service
        position = (update.position.term, update.position.revision)
        old = self.service_list(service)
        if not service:
            return UpdateResult.INVALID
        if old is not None and position <= old.position:
            return UpdateResult.STALE
        servers = decode_servers(update, now)
        if not update.whole:
            if old is None or old.position != (position[0], update.base_revision):
                return UpdateResult.GAP
            removed = set(update.removed)
            changed = {server.id: server for server in servers}
            kept = [server for server in old.servers.values() if server.id not in removed | changed.keys()]
            servers = kept + servers
        return self.put(next_service_list(old, service, position, servers, now))

"""Updates at an edge: they are stored, put in force and relayed; a topic that is behind gets a fetch scheduled."""

from __future__ import annotations

from rosechute.distribution.actions import Action, ConfigurationChanged, Connection, SendMessage, ServersChanged
from rosechute.distribution.catch_up import PATIENCE_PER_EDGE_S, PATIENCE_S, CatchUp
from rosechute.distribution.confirmation import Confirmation
from rosechute.distribution.home_subscriptions import HomeSubscriptions, SubscriptionState
from rosechute.distribution.requests import fetch
from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION, Position, list_topic
from rosechute.distribution.values import Configuration
from rosechute.distribution.zone_relay import ZoneRelay
from rosechute.messages import distribution_pb2 as pb


class TopicUpdates:
    """Applies updates to the store of an edge, and notifies the parts that depend on the positions held."""

    def __init__(
        self,
        store: TopicStore,
        homes: HomeSubscriptions,
        relay: ZoneRelay,
        catch_up: CatchUp,
        confirmation: Confirmation,
    ) -> None:
        self._store = store
        self._homes = homes
        self._relay = relay
        self._catch_up = catch_up
        self._confirmation = confirmation

    def on_configuration(self, now: float, update: pb.ConfigUpdate) -> list[Action]:
        """Apply a configuration, if it is newer."""
        if self._store.apply_configuration(update) is not UpdateResult.APPLIED:
            return []
        configuration = self._store.configuration()
        assert isinstance(configuration, Configuration)
        self._confirmation.on_configuration_applied(configuration.sequence)
        changed = ConfigurationChanged(configuration.sequence, configuration.version, configuration.body)
        return [changed, *self._on_applied(now, CONFIG_TOPIC)]

    def on_list(self, now: float, connection: Connection, update: pb.ListUpdate) -> list[Action]:
        """Apply an endpoint list, if it is newer; a delta against another base is answered by a fetch."""
        service = update.position.service
        topic = list_topic(service)
        result = self._store.apply_list(update, now)
        if result is UpdateResult.GAP:
            return [SendMessage(connection, fetch(topic))]
        held = self._store.service_list(service)
        if result is not UpdateResult.APPLIED or held is None:
            return []
        self._homes.add_topic(now, topic)
        changed = ServersChanged(service, held.position, tuple(held.servers.values()))
        return [changed, *self._on_applied(now, topic)]

    def on_reported_position(self, now: float, topic: str, position: Position, source: str) -> None:
        """Schedule a fetch where a core machine reports a newer position; the home has a head start to relay it.

        Args:
            now: The time of the report.
            topic: The topic.
            position: The reported position.
            source: Address of the core machine.
        """
        held = self._store.position(topic)
        if position <= held:
            return
        patience_s = PATIENCE_S + PATIENCE_PER_EDGE_S * self._homes.zone_size()
        if held == NO_POSITION and self._homes.state(topic) is SubscriptionState.LOCAL:
            patience_s = 0.0  # no head start: the edge has no value yet, and no other edge would relay one
        self._catch_up.on_newer_position(topic, position, source, now + patience_s)

    def _on_applied(self, now: float, topic: str) -> list[SendMessage]:
        self._catch_up.on_position_applied(topic, self._store.position(topic))
        return self._relay.relay(now, topic)

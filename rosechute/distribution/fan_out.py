"""Fan-out of updates to targets, with hinted handoff for those that can't be reached.

The leader uses it for the home edges, a home edge for its subscribers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rosechute.distribution.actions import Connection, SendMessage
from rosechute.distribution.hints import Hints
from rosechute.distribution.store import TopicStore
from rosechute.distribution.topics import NO_POSITION, Position

SUBSCRIPTION_S = 5.0  # lifetime of a subscription without renewal, and of a target without messages


@dataclass(slots=True)
class _Target:
    """A process that contacted this one, and the connection to it."""

    connection: Connection | None
    last_received_at: float
    sent_or_reported: dict[str, Position] = field(
        default_factory=dict
    )  # newest position by topic, on this connection
    reported: dict[str, Position] = field(default_factory=dict)  # reported by the target, so it holds them


class FanOut:
    """Targets by name, their subscriptions, and the positions that each target holds."""

    def __init__(self, store: TopicStore) -> None:
        self._store = store
        self._targets: dict[str, _Target] = {}
        self._subscriptions: dict[str, dict[str, float]] = {}  # expiry time by topic and target name
        self._hints = Hints()

    def on_report(
        self, now: float, name: str, connection: Connection, reported: dict[str, Position]
    ) -> list[SendMessage]:
        """Record a message of a target and the positions that it reports; return the updates that it missed."""
        target = self._targets.get(name)
        if target is None or target.connection != connection:
            self._add_hints_for_unconfirmed(now, name, target)
            target = self._targets[name] = _Target(connection, now)
        target.last_received_at = now
        target.sent_or_reported.update(reported)
        target.reported.update(reported)
        return self._deliver_hinted(now, name, target)

    def subscribe(self, now: float, topic: str, name: str) -> None:
        """Add or renew a subscription of this target."""
        self._subscriptions.setdefault(topic, {})[name] = now + SUBSCRIPTION_S

    def subscribers(self, topic: str) -> list[str]:
        """Return the names of a topic's subscribers."""
        return list(self._subscriptions.get(topic, {}))

    def publish(self, now: float, topic: str, names: Iterable[str]) -> list[SendMessage]:
        """Return the updates of a topic for these targets; add a hint for each one without a connection."""
        sends: list[SendMessage] = []
        for name in names:
            target = self._targets.get(name)
            if target is None or target.connection is None:
                self._hints.add(name, topic, now)
                continue
            sends += self._update(now, topic, target)
        return sends

    def connection_closed(self, now: float, connection: Connection) -> None:
        """Add hints for the updates that were sent on this connection and not confirmed: they may be lost."""
        for name, target in self._targets.items():
            if target.connection == connection:
                self._add_hints_for_unconfirmed(now, name, target)
                target.connection = None

    def connections(self) -> list[Connection]:
        """Return the open connections to targets."""
        return [target.connection for target in self._targets.values() if target.connection is not None]

    def expire(self, now: float) -> None:
        """Remove subscriptions that were not renewed, silent targets and old hints."""
        self._expire_subscriptions(now)
        silent = [name for name, each in self._targets.items() if each.last_received_at + SUBSCRIPTION_S <= now]
        for name in silent:
            self._add_hints_for_unconfirmed(now, name, self._targets.pop(name))
        self._hints.expire(now)

    def clear(self) -> None:
        """Remove all targets, subscriptions and hints."""
        self._targets.clear()
        self._subscriptions.clear()
        self._hints.clear()

    def _expire_subscriptions(self, now: float) -> None:
        for topic, names in list(self._subscriptions.items()):
            for name in [name for name, expires_at in names.items() if expires_at <= now]:
                del names[name]
            if not names:
                del self._subscriptions[topic]

    def _add_hints_for_unconfirmed(self, now: float, name: str, target: _Target | None) -> None:
        if target is None or target.connection is None:
            return
        for topic, position in target.sent_or_reported.items():
            if position > target.reported.get(topic, NO_POSITION):
                self._hints.add(name, topic, now)

    def _deliver_hinted(self, now: float, name: str, target: _Target) -> list[SendMessage]:
        sends: list[SendMessage] = []
        for topic in self._hints.pop(name):
            sends += self._update(now, topic, target)
        return sends

    def _update(self, now: float, topic: str, target: _Target) -> list[SendMessage]:
        value = self._store.get(topic)
        held = target.sent_or_reported.get(topic, NO_POSITION)
        if value is None or held >= value.position or target.connection is None:
            return []
        target.sent_or_reported[topic] = value.position
        return [SendMessage(target.connection, value.update_message(held, now))]

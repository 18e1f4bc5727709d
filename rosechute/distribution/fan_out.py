"""Passing values on to those who follow them, and hints for those who could not be reached.

The leader uses it for the home edges, a home edge for its subscribers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rosechute.distribution.actions import Connection, SendMessage
from rosechute.distribution.hints import Hints
from rosechute.distribution.store import TopicStore
from rosechute.distribution.values import NO_POSITION, Position

SUBSCRIPTION_S = 5.0  # a subscription that is not renewed ends


@dataclass(slots=True)
class _Target:
    """Somebody who spoke to this process, and how it is reached."""

    connection: Connection | None
    spoke: float
    held: dict[str, Position] = field(default_factory=dict)  # told by it, or sent on this connection
    told: dict[str, Position] = field(default_factory=dict)  # told by it


class FanOut:
    """Targets by name, their subscriptions, and what each is known to hold."""

    def __init__(self, store: TopicStore) -> None:
        self._store = store
        self._targets: dict[str, _Target] = {}
        self._subscribed: dict[str, dict[str, float]] = {}  # by topic and name: until when
        self._hints = Hints()

    def spoke(self, now: float, name: str, connection: Connection, told: dict[str, Position]) -> list[SendMessage]:
        """A target spoke on this connection and told what it holds; what was missed is handed over."""
        target = self._targets.get(name)
        if target is None or target.connection != connection:
            self._keep_missed(now, name, target)
            target = self._targets[name] = _Target(connection, now)
        target.spoke = now
        target.held.update(told)
        target.told.update(told)
        return self._hand_over(now, name, target)

    def subscribe(self, now: float, topic: str, name: str) -> None:
        """This target follows a topic from here on, for a while."""
        self._subscribed.setdefault(topic, {})[name] = now + SUBSCRIPTION_S

    def subscribers(self, topic: str) -> list[str]:
        """Who follows a topic."""
        return list(self._subscribed.get(topic, {}))

    def publish(self, now: float, topic: str, names: Iterable[str]) -> list[SendMessage]:
        """Send the value of a topic to these targets, or keep a hint."""
        sends: list[SendMessage] = []
        for name in names:
            target = self._targets.get(name)
            if target is None or target.connection is None:
                self._hints.put(name, topic, now)
                continue
            sends += self._send(now, topic, target)
        return sends

    def connection_closed(self, now: float, connection: Connection) -> None:
        """A connection ended: what was sent on it and not told back may be lost."""
        for name, target in self._targets.items():
            if target.connection == connection:
                self._keep_missed(now, name, target)
                target.connection = None

    def connections(self) -> list[Connection]:
        """The connections on which targets are reached."""
        return [target.connection for target in self._targets.values() if target.connection is not None]

    def expire(self, now: float) -> None:
        """End subscriptions that were not renewed, forget old hints and silent targets."""
        for topic, names in list(self._subscribed.items()):
            for name in [name for name, until in names.items() if until <= now]:
                del names[name]
            if not names:
                del self._subscribed[topic]
        for name in [name for name, target in self._targets.items() if target.spoke + SUBSCRIPTION_S <= now]:
            self._keep_missed(now, name, self._targets.pop(name))
        self._hints.expire(now)

    def clear(self) -> None:
        """Forget everything about the targets."""
        self._targets.clear()
        self._subscribed.clear()
        self._hints.clear()

    def _keep_missed(self, now: float, name: str, target: _Target | None) -> None:
        if target is None or target.connection is None:
            return
        for topic, position in target.held.items():
            if position > target.told.get(topic, NO_POSITION):
                self._hints.put(name, topic, now)

    def _hand_over(self, now: float, name: str, target: _Target) -> list[SendMessage]:
        sends: list[SendMessage] = []
        for topic in self._hints.take(name):
            sends += self._send(now, topic, target)
        return sends

    def _send(self, now: float, topic: str, target: _Target) -> list[SendMessage]:
        value = self._store.get(topic)
        held = target.held.get(topic, NO_POSITION)
        if value is None or held >= value.position or target.connection is None:
            return []
        target.held[topic] = value.position
        return [SendMessage(target.connection, value.update_message(held, now))]

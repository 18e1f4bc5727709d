"""The endpoint lists of the leader: readings of the platform's list become revisions of the services' lists.

Only lists that were read in the leader's own term may be sent, which fences off the readings of a former leader.
"""

from __future__ import annotations

from collections.abc import Iterable

from rosechute.distribution.store import TopicStore, UpdateResult
from rosechute.distribution.topics import CONFIG_TOPIC, Position, list_topic
from rosechute.distribution.values import ListedServer, ServiceList, Value, next_service_list


class EndpointLists:
    """The endpoint lists in a store, updated from the readings of one term."""

    def __init__(self, store: TopicStore) -> None:
        self._store = store
        self._term = 0
        self._is_read = False  # whether the list was read in this term

    def begin_term(self, term: int) -> None:
        """Start a term: lists of earlier terms are no longer sendable."""
        self._term = term
        self._is_read = False

    def apply_reading(self, now: float, entries: Iterable[ListedServer]) -> list[str]:
        """Store a complete reading; return the topics of the services that have a new revision, in their order."""
        by_service: dict[str, list[ListedServer]] = {}
        for entry in entries:
            by_service.setdefault(entry.service, []).append(entry)
        known = {value.service for value in self._store.lists()}
        self._is_read = True
        return [
            list_topic(service)
            for service in sorted(known | by_service.keys())
            if self._apply_service(now, service, by_service.get(service, []))
        ]

    def empty_unlisted(self, now: float, reported: Iterable[str]) -> list[str]:
        """Store an empty list for each service that an edge reports but no reading of this term contains.

        Returns:
            The topics that have a new revision.
        """
        if not self._is_read:
            return []
        return [
            list_topic(service)
            for service in reported
            if self._store.position(list_topic(service)).term != self._term and self._apply_service(now, service, [])
        ]

    def of_this_term(self) -> list[ServiceList]:
        """Return the lists that the leader may send: those read in this term."""
        return [value for value in self._store.lists() if self.sendable(value.topic, is_leader=True) is not None]

    def sendable(self, topic: str, *, is_leader: bool) -> Value | None:
        """Return a topic's value if this machine may send it: a list only under the lease and of its own term."""
        value = self._store.get(topic)
        if value is None or topic == CONFIG_TOPIC:
            return value
        return value if is_leader and value.position.term == self._term else None

    def _apply_service(self, now: float, service: str, servers: list[ListedServer]) -> bool:
        """Store the servers of one service; return whether the list has a new revision."""
        old = self._store.service_list(service)
        is_same_term = old is not None and old.position.term == self._term
        revision = old.position.revision + 1 if old is not None and is_same_term else 1
        value = next_service_list(old, service, Position(self._term, revision), servers, now)
        if is_same_term and value.is_unchanged:
            return False
        return self._store.put(value) is UpdateResult.APPLIED

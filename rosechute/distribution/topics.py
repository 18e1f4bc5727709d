"""Topics of the distribution, and the position of a topic's value: a version that only increases.

A topic is the configuration, or the endpoint list of one service.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from rosechute.messages import distribution_pb2 as pb

CONFIG_TOPIC: Final = "config"
LIST_PREFIX: Final = "list/"


class Position(NamedTuple):
    """The version of a topic's value; positions of one topic are compared term first, then revision.

    An endpoint list has the term of the leader that read it. A configuration has the term 0, and its committed
    sequence as the revision.
    """

    term: int
    revision: int


NO_POSITION: Final = Position(0, 0)


def configuration_position(sequence: int) -> Position:
    """Return the position of the configuration with this committed sequence."""
    return Position(0, sequence)


def list_topic(service: str) -> str:
    """Return the topic of a service's endpoint list."""
    return LIST_PREFIX + service


def service_of(topic: str) -> str:
    """Return the service of an endpoint list's topic."""
    return topic.removeprefix(LIST_PREFIX)


def list_position(service: str, position: Position) -> pb.ListPosition:
    """Return the position of an endpoint list as a message."""
    return pb.ListPosition(service=service, term=position.term, revision=position.revision)


def reported_positions(message: pb.Renew | pb.Renewed) -> dict[str, Position]:
    """Return the positions that a renewal, or the answer to one, reports, by topic."""
    positions = {list_topic(entry.service): Position(entry.term, entry.revision) for entry in message.lists}
    positions[CONFIG_TOPIC] = configuration_position(message.config_sequence)
    return positions


def topic_position(message: pb.Subscribe | pb.Subscribed) -> Position:
    """Return the position that a subscription, or the answer to one, reports for its topic."""
    if message.topic == CONFIG_TOPIC:
        return configuration_position(message.config_sequence)
    return Position(message.list.term, message.list.revision)

"""What is distributed: the configuration and the list of each service, each under a topic and at a position.

A position is a pair that only grows: (0, sequence) of the configuration, (term, revision) of a list.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from rosechute.messages import distribution_pb2 as pb

Position = tuple[int, int]
NO_POSITION: Final[Position] = (0, 0)

CONFIG_TOPIC: Final = "config"
LIST_PREFIX: Final = "list/"

COLD_TOLERANCE_S = 0.5  # a cold time that differs by less between two readings is the same
BODY_LIMIT_BYTES = 32 * 1024 * 1024
COMPRESSION_LEVEL = 6


def list_topic(service: str) -> str:
    """The topic of a service's list."""
    return LIST_PREFIX + service


def service_of(topic: str) -> str:
    """The service of a list's topic."""
    return topic.removeprefix(LIST_PREFIX)


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One server as the platform's list shows it."""

    id: str
    service: str
    address: str  # host:port
    zone: str
    slots: int
    ready: bool  # False while it drains
    cold_until: float = 0.0  # steady time of this process until which it is slow from its start

    def same_as(self, other: ListedServer, now: float) -> bool:
        """Whether nothing of note differs."""
        mine, theirs = max(self.cold_until, now), max(other.cold_until, now)
        return abs(mine - theirs) < COLD_TOLERANCE_S and self._told() == other._told()

    def _told(self) -> tuple[str, str, str, str, int, bool]:
        """All but the cold time. Every entry of every reading is compared: copies of the entries would cost more."""
        return (self.id, self.service, self.address, self.zone, self.slots, self.ready)


@dataclass(frozen=True, slots=True)
class Configuration:
    """A committed configuration."""

    sequence: int
    version: int
    body: bytes
    compressed: bytes

    @property
    def topic(self) -> str:
        return CONFIG_TOPIC

    @property
    def position(self) -> Position:
        return (0, self.sequence)

    @staticmethod
    def from_body(sequence: int, version: int, body: bytes) -> Configuration:
        """From the body as the operator sent it; it is compressed here, once."""
        return Configuration(sequence, version, body, zlib.compress(body, COMPRESSION_LEVEL))

    def update_message(self, held: Position, now: float) -> pb.Distribution:
        """The update for somebody at the position `held`: always whole."""
        update = pb.ConfigUpdate(sequence=self.sequence, version=self.version, body=self.compressed)
        return pb.Distribution(config=update)


@dataclass(frozen=True, slots=True)
class ServiceList:
    """The list of one service, and how it came from the position `base` of the same term."""

    service: str
    position: Position
    servers: dict[str, ListedServer]
    base: Position = NO_POSITION
    changed: tuple[ListedServer, ...] = ()
    removed: tuple[str, ...] = ()
    _encoded: dict[bool, tuple[float, pb.Distribution]] = field(default_factory=dict, compare=False)

    @property
    def topic(self) -> str:
        return list_topic(self.service)

    def update_message(self, held: Position, now: float) -> pb.Distribution:
        """The update for somebody at the position `held`: the changes where that is the base, else whole."""
        delta = self.base != NO_POSITION and held == self.base and held[0] == self.position[0]
        known = self._encoded.get(delta)
        if known is not None and known[0] == now:
            return known[1]
        servers = self.changed if delta else self.servers.values()
        update = pb.ListUpdate(
            position=list_position(self.service, self.position),
            whole=not delta,
            base_revision=self.base[1] if delta else 0,
            servers=[_encode(server, now) for server in servers],
            removed=self.removed if delta else (),
        )
        message = pb.Distribution(list=update)
        self._encoded[delta] = (now, message)
        return message


Value = Configuration | ServiceList


def next_service_list(
    old: ServiceList | None, service: str, position: Position, servers: Iterable[ListedServer], now: float
) -> ServiceList:
    """The list at `position`, with its changes against `old`; servers that are the same keep their old entry."""
    before = old.servers if old is not None else {}
    after: dict[str, ListedServer] = {}
    changed: list[ListedServer] = []
    for server in servers:
        known = before.get(server.id)
        if known is not None and known.same_as(server, now):
            after[server.id] = known
            continue
        after[server.id] = server
        changed.append(server)
    removed = tuple(id for id in before if id not in after)
    base = old.position if old is not None and old.position[0] == position[0] else NO_POSITION
    return ServiceList(service, position, after, base, tuple(changed), removed)


def is_unchanged(new: ServiceList) -> bool:
    """Whether a list that `advance` made differs in nothing from the one before."""
    return not new.changed and not new.removed


def list_position(service: str, position: Position) -> pb.ListPosition:
    """A list's position as a message."""
    return pb.ListPosition(service=service, term=position[0], revision=position[1])


def reported_positions(message: pb.Renew | pb.Renewed) -> dict[str, Position]:
    """By topic, the positions that a renewal or its answer tells."""
    positions = {list_topic(told.service): (told.term, told.revision) for told in message.lists}
    positions[CONFIG_TOPIC] = (0, message.config_sequence)
    return positions


def topic_position(message: pb.Subscribe | pb.Subscribed) -> Position:
    """The position that a subscription or its answer tells for its topic."""
    if message.topic == CONFIG_TOPIC:
        return (0, message.config_sequence)
    return (message.list.term, message.list.revision)


def decode_configuration(update: pb.ConfigUpdate) -> Configuration | None:
    """The configuration in an update; None where its body can't be decompressed."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(update.body, BODY_LIMIT_BYTES)
    except zlib.error:
        return None
    if not inflater.eof:
        return None
    return Configuration(update.sequence, update.version, body, update.body)


def decode_servers(update: pb.ListUpdate, now: float) -> list[ListedServer]:
    """The servers in an update; remaining cold times are counted from `now`."""
    return [_decode(server, update.position.service, now) for server in update.servers]


def _encode(server: ListedServer, now: float) -> pb.Server:
    return pb.Server(
        id=server.id,
        address=server.address,
        zone=server.zone,
        slots=server.slots,
        ready=server.ready,
        cold_remaining_ms=max(0, math.ceil((server.cold_until - now) * 1000.0)),
    )


def _decode(server: pb.Server, service: str, now: float) -> ListedServer:
    cold_until = now + server.cold_remaining_ms / 1000.0 if server.cold_remaining_ms else 0.0
    return ListedServer(server.id, service, server.address, server.zone, server.slots, server.ready, cold_until)

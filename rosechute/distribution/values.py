"""The distributed values: the configuration and the endpoint list of each service, and their updates as messages.

An update is a snapshot, or, for an endpoint list, a delta against the revision before.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from rosechute.distribution.topics import (
    CONFIG_TOPIC,
    NO_POSITION,
    Position,
    configuration_position,
    list_position,
    list_topic,
)
from rosechute.messages import distribution_pb2 as pb

COLD_TOLERANCE_S = 0.5  # warm-up ends of two readings that differ by less count as equal: they jitter
BODY_LIMIT_BYTES = 32 * 1024 * 1024  # limit for a decompressed configuration; bounds the memory of a malformed update
COMPRESSION_LEVEL = 6  # zlib's default


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One model server as the platform's endpoint list shows it."""

    id: str
    service: str
    address: str  # host:port
    zone: str
    slots: int
    ready: bool  # False while the server drains
    cold_until: float = 0.0  # end of its warm-up, in steady time of this process

    def is_equivalent_to(self, other: ListedServer, now: float) -> bool:
        """Return whether both servers are equal, with a tolerance of `COLD_TOLERANCE_S` for their warm-up ends."""
        own_end, other_end = max(self.cold_until, now), max(other.cold_until, now)
        is_same_warm_up = abs(own_end - other_end) < COLD_TOLERANCE_S
        return is_same_warm_up and self._compared_fields() == other._compared_fields()

    def _compared_fields(self) -> tuple[str, str, str, str, int, bool]:
        # Tuples are cheaper than copies with equal warm-up ends, and this runs for every entry of every reading.
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
        """The topic of every configuration."""
        return CONFIG_TOPIC

    @property
    def position(self) -> Position:
        """The position by its committed sequence."""
        return configuration_position(self.sequence)

    @staticmethod
    def from_body(sequence: int, version: int, body: bytes) -> Configuration:
        """Create a configuration from the operator's JSON; this compresses the body, once for all updates."""
        return Configuration(sequence, version, body, zlib.compress(body, COMPRESSION_LEVEL))

    def update_message(self, held: Position, now: float) -> pb.Distribution:
        """Return the update for a receiver at the position `held`: always a snapshot."""
        update = pb.ConfigUpdate(sequence=self.sequence, version=self.version, body=self.compressed)
        return pb.Distribution(config=update)


@dataclass(frozen=True, slots=True)
class ServiceList:
    """The endpoint list of one service, and its delta against the position `base` of the same term."""

    service: str
    position: Position
    servers: dict[str, ListedServer]
    base: Position = NO_POSITION  # NO_POSITION if there is no delta
    changed: tuple[ListedServer, ...] = ()
    removed: tuple[str, ...] = ()
    _encoded: dict[bool, tuple[float, pb.Distribution]] = field(default_factory=dict, compare=False)

    @property
    def topic(self) -> str:
        """The topic of the service's list."""
        return list_topic(self.service)

    @property
    def is_unchanged(self) -> bool:
        """Whether the delta is empty."""
        return not self.changed and not self.removed

    def update_message(self, held: Position, now: float) -> pb.Distribution:
        """Return the update for a receiver at the position `held`: a delta if that is the base, else a snapshot.

        The encoded message is reused for the same `now` only, since remaining warm-up times depend on it.
        """
        is_delta = self.base != NO_POSITION and held == self.base and held.term == self.position.term
        encoded = self._encoded.get(is_delta)
        if encoded is not None and encoded[0] == now:
            return encoded[1]
        message = pb.Distribution(list=self._encode(is_delta=is_delta, now=now))
        self._encoded[is_delta] = (now, message)
        return message

    def _encode(self, *, is_delta: bool, now: float) -> pb.ListUpdate:
        servers = self.changed if is_delta else self.servers.values()
        return pb.ListUpdate(
            position=list_position(self.service, self.position),
            whole=not is_delta,
            base_revision=self.base.revision if is_delta else 0,
            servers=[_encode_server(server, now) for server in servers],
            removed=self.removed if is_delta else (),
        )


Value = Configuration | ServiceList


def next_service_list(
    old: ServiceList | None, service: str, position: Position, servers: Iterable[ListedServer], now: float
) -> ServiceList:
    """Return the list at `position` with its delta against `old`; equivalent servers keep their old entry."""
    before = old.servers if old is not None else {}
    after: dict[str, ListedServer] = {}
    changed: list[ListedServer] = []
    for server in servers:
        known = before.get(server.id)
        if known is not None and known.is_equivalent_to(server, now):
            after[server.id] = known
            continue
        after[server.id] = server
        changed.append(server)
    removed = tuple(id for id in before if id not in after)
    base = old.position if old is not None and old.position.term == position.term else NO_POSITION
    return ServiceList(service, position, after, base, tuple(changed), removed)


def decode_configuration(update: pb.ConfigUpdate) -> Configuration | None:
    """Return the configuration in an update; None if its body can't be decompressed."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(update.body, BODY_LIMIT_BYTES)
    except zlib.error:
        return None
    if not inflater.eof:
        return None
    return Configuration(update.sequence, update.version, body, update.body)


def decode_servers(update: pb.ListUpdate, now: float) -> list[ListedServer]:
    """Return the servers in an update; remaining warm-up times count from `now`."""
    return [_decode_server(server, update.position.service, now) for server in update.servers]


def _encode_server(server: ListedServer, now: float) -> pb.Server:
    return pb.Server(
        id=server.id,
        address=server.address,
        zone=server.zone,
        slots=server.slots,
        ready=server.ready,
        cold_remaining_ms=max(0, math.ceil((server.cold_until - now) * 1000.0)),
    )


def _decode_server(server: pb.Server, service: str, now: float) -> ListedServer:
    cold_until = now + server.cold_remaining_ms / 1000.0 if server.cold_remaining_ms else 0.0
    return ListedServer(server.id, service, server.address, server.zone, server.slots, server.ready, cold_until)

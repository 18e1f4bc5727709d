"""The actions that the distribution asks its process to carry out, in their order."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from rosechute.distribution.topics import Position
from rosechute.distribution.values import ListedServer
from rosechute.messages.distribution_pb2 import Distribution

Connection = Hashable  # identifies an open connection; created and interpreted by the process


@dataclass(frozen=True, slots=True)
class DialedLink:
    """The outbound link of this process to an address, as a connection."""

    address: str  # host:port


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message on a connection; delivery is not guaranteed."""

    connection: Connection
    message: Distribution


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Put a newer configuration in force."""

    sequence: int
    version: int
    body: bytes  # the operator's JSON


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """Use a newer endpoint list of one service."""

    service: str
    position: Position
    servers: tuple[ListedServer, ...]


@dataclass(frozen=True, slots=True)
class EdgesTotalChanged:
    """Use another number of living edges."""

    count: int


Action = SendMessage | ConfigurationChanged | ServersChanged | EdgesTotalChanged

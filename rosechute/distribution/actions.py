"""What the distribution asks the process around it to do."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from rosechute.distribution.values import ListedServer, Position
from rosechute.messages.distribution_pb2 import Distribution

Connection = Hashable  # names an open connection; the process around gives and understands it


@dataclass(frozen=True, slots=True)
class DialedLink:
    """The link that this process opens to an address, as a connection."""

    address: str  # host:port


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message on a connection; it may be lost."""

    connection: Connection
    message: Distribution


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is to be put in force."""

    sequence: int
    version: int
    body: bytes  # the operator's JSON


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """A newer list of one service is to be used."""

    service: str
    position: Position
    servers: tuple[ListedServer, ...]


@dataclass(frozen=True, slots=True)
class EdgesTotalChanged:
    """The number of living edges is another now."""

    count: int


Action = SendMessage | ConfigurationChanged | ServersChanged | EdgesTotalChanged

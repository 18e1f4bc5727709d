"""Builders shared by the unit tests of the distribution."""

from __future__ import annotations

from typing import Any

from rosechute.distribution.actions import SendMessage
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.topics import Position, list_topic
from rosechute.distribution.values import ListedServer, next_service_list

NOW = 1000.0
TOPIC = list_topic("svc")
LEADER, OTHER, THIRD = "10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500"


def server(number: int, **fields: Any) -> ListedServer:
    known = {"zone": "z", "slots": 4, "ready": True}
    return ListedServer(f"i-{number}", "svc", f"10.3.0.{number}:80", **(known | fields))


def edge(name: str, zone: str = "z") -> EdgeIdentity:
    return EdgeIdentity(name, zone, f"{name}:7501")


def listed(*servers: ListedServer, position: tuple[int, int] = (3, 1), old: Any = None) -> Any:
    return next_service_list(old, "svc", Position(*position), servers, NOW)


def sent(actions: Any, kind: str) -> list[tuple[Any, Any]]:
    """Connection and body of each message of a kind."""
    sends = [(each.connection, each.message) for each in actions if isinstance(each, SendMessage)]
    return [(to, getattr(message, kind)) for to, message in sends if message.WhichOneof("body") == kind]

"""What other edges have told of their own requests at servers.

An edge of a large fleet has few requests of its own at any server, so that its own picture shows next to nothing of
what is waiting there. Edges tell one another how much of the prompts that they have sent where is not read yet. What
was told is forgotten when it is not told again in time: its edge may be gone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

FORGET_S = 0.8  # after which what an edge has told is not believed any more


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What one edge has at one server."""

    server: int  # hash of the server's id
    unread_tokens: int  # of prompts whose answer has not begun
    calls: int  # in flight


@dataclass(frozen=True, slots=True)
class _Told:
    unread_tokens: int
    calls: int
    at: float


class LoadBook:
    """Loads by server and edge."""

    def __init__(self) -> None:
        self.telling = 0  # edges that tell their loads here
        self._by_server: dict[int, dict[str, _Told]] = {}
        self._by_edge: dict[str, list[int]] = {}  # servers of the newest report

    def take(self, now: float, edge: str, loads: Iterable[ServerLoad]) -> None:
        """An edge tells of all servers at which it has anything; it replaces what it told before."""
        self._drop(edge)
        servers = self._by_edge[edge] = []
        for load in loads:
            self._by_server.setdefault(load.server, {})[edge] = _Told(load.unread_tokens, load.calls, now)
            servers.append(load.server)

    def keep(self, edges: Collection[str]) -> None:
        """These edges tell their loads from now on."""
        self.telling = len(edges)
        for edge in [edge for edge in self._by_edge if edge not in edges]:
            self._drop(edge)

    def at(self, now: float, server: int) -> tuple[int, int]:
        """Unread tokens and calls of others at a server."""
        told = self._by_server.get(server)
        if not told:
            return 0, 0
        tokens = calls = 0
        for each in told.values():
            if now - each.at <= FORGET_S:
                tokens += each.unread_tokens
                calls += each.calls
        return tokens, calls

    def _drop(self, edge: str) -> None:
        for server in self._by_edge.pop(edge, ()):
            told = self._by_server.get(server)
            if told is not None:
                told.pop(edge, None)
                if not told:
                    del self._by_server[server]

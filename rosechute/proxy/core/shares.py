"""Division of a process's descriptors. Shared by the process and by the check of an operator's limits."""

from __future__ import annotations

from typing import NamedTuple

MARGIN_NS = 10_000_000  # time for the response to reach the client: the module's deadline is this much earlier
RESERVED_DESCRIPTORS = (
    32  # descriptors of the program itself: event loop, signals, log, discovery, files, control connections
)


class Descriptors(NamedTuple):
    """Maximum numbers of client and server connections."""

    clients: int
    servers: int


def descriptors(sockets: int) -> Descriptors:
    """Divide a process's descriptors so that neither many clients nor slow servers can exhaust the other side's.

    Clients get two thirds: one third for connections with a request, one third for idle connections.

    Args:
        sockets: Descriptors that the process may open in all.
    """
    clients = max(1, (sockets - RESERVED_DESCRIPTORS) * 2 // 3)
    return Descriptors(clients, max(1, sockets - clients - RESERVED_DESCRIPTORS))

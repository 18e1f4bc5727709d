"""How a process deals out what it may hold. Pure: the process goes by it, and so does whoever checks limits."""

from __future__ import annotations

from typing import NamedTuple

MARGIN_NS = 10_000_000  # the module's deadline comes this much before the client's: answers take their way
RESERVE = 32  # descriptors for the program itself: loop, signals, log, discovery, files, operators


class Descriptors(NamedTuple):
    """How many connections either side may hold."""

    clients: int
    servers: int


def descriptors(sockets: int) -> Descriptors:
    """Deal out a process's descriptors: neither a flood of clients nor slow servers may take the other side's.

    Clients may hold a third of all for requests; as many again are left to those that send none.
    """
    clients = max(1, (sockets - RESERVE) * 2 // 3)
    return Descriptors(clients, max(1, sockets - clients - RESERVE))

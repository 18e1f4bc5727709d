"""Limits of a listener, derived from the limits of its process. Pure: no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

MEGABYTE = 1 << 20
MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES = 16 * 1024, 64 * 1024
MEMORY_DIVISOR = 8  # a listener with large messages may hold this fraction of the memory of its process
MIN_LARGE_MEMORY_BYTES = 24 * MEGABYTE  # the largest message, while it is received and copied once
SMALL_MEMORY_BYTES = 4 * MEGABYTE  # of a listener whose requests have no body
SMALL_CONNECTIONS = 32  # of a listener whose callers are few and known
CONTROL_DIVISOR, MIN_CONTROL_CONNECTIONS = 16, 16  # fraction of a core process's descriptors for the operator's API
LINKS_DIVISOR, MIN_LINKS = 4, 64  # fraction of a core process's descriptors for links that others open
EDGE_LINKS_DIVISOR, MIN_EDGE_LINKS = 32, 64  # the same for an edge, which other edges of its zone subscribe to


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    Attributes:
        connections: Largest number of open connections.
        memory_bytes: Memory that all connections together may hold for messages that are not complete or answered.
    """

    connections: int
    memory_bytes: int

    @property
    def receive_buffer_bytes(self) -> int:
        """Size of the kernel's receive buffer of one connection: unread bytes count as memory of the process."""
        fair = self.memory_bytes // max(1, self.connections)
        return min(MAX_RECEIVE_BUFFER_BYTES, max(MIN_RECEIVE_BUFFER_BYTES, fair))


SMALL_LISTENER = ListenerLimits(SMALL_CONNECTIONS, SMALL_MEMORY_BYTES)


def control_limits(memory_mb: float, max_fds: int) -> ListenerLimits:
    """Return the limits of the operator's API of a core process with these limits."""
    return ListenerLimits(max(MIN_CONTROL_CONNECTIONS, max_fds // CONTROL_DIVISOR), large_memory_bytes(memory_mb))


def core_link_limits(memory_mb: float, max_fds: int) -> ListenerLimits:
    """Return the limits of the links that others open to a core process with these limits."""
    return ListenerLimits(max(MIN_LINKS, max_fds // LINKS_DIVISOR), large_memory_bytes(memory_mb))


def edge_link_limits(memory_mb: float, max_fds: int) -> ListenerLimits:
    """Return the limits of the links that others open to an edge with these limits."""
    return ListenerLimits(max(MIN_EDGE_LINKS, max_fds // EDGE_LINKS_DIVISOR), large_memory_bytes(memory_mb))


def large_memory_bytes(memory_mb: float) -> int:
    """Return the memory of a listener whose messages may be as large as a configuration."""
    return max(MIN_LARGE_MEMORY_BYTES, int(memory_mb) * MEGABYTE // MEMORY_DIVISOR)

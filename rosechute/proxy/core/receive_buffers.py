"""Sizes of the kernel's receive buffers of clients' connections. Pure: no I/O and no clock.

What has arrived and was not read counts as memory of the process, so it is bounded as bodies are: a few connections
get much and many get little.
"""

from __future__ import annotations

LARGE_RECEIVE_BUFFER_BYTES = 128 * 1024  # and so the most that one read returns
MEDIUM_RECEIVE_BUFFER_BYTES = 16 * 1024  # beside many connections
MIN_RECEIVE_BUFFER_BYTES = 2 * 1024  # beside thousands
KERNEL_BUFFER_FACTOR = 2  # the kernel doubles the size that it is asked for
STEP_DIVISOR = 8  # one large buffer may have this fraction of what is left for large ones


def receive_buffer_bytes(allowed_bytes: int, connections: int) -> int:
    """Return the size to ask for, for a connection beside so many others, in bytes.

    Args:
        allowed_bytes: Bytes that the kernel may hold unread in all buffers above the smallest. Large buffers have one
            half of them, medium ones the other.
        connections: Connections that are open.
    """
    half = allowed_bytes // 2
    large = (half - connections * LARGE_RECEIVE_BUFFER_BYTES * KERNEL_BUFFER_FACTOR) // STEP_DIVISOR
    if large >= MEDIUM_RECEIVE_BUFFER_BYTES:
        return min(LARGE_RECEIVE_BUFFER_BYTES, large)
    if connections * MEDIUM_RECEIVE_BUFFER_BYTES * KERNEL_BUFFER_FACTOR < half:
        return MEDIUM_RECEIVE_BUFFER_BYTES
    return MIN_RECEIVE_BUFFER_BYTES

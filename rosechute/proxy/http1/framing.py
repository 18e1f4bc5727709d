"""Limit of the framing that a body may have beside its payload. Pure: no I/O."""

from __future__ import annotations

# Bytes that a body may take with its chunk sizes, extensions and trailers, for each byte of its payload, and besides.
# A chunk of one byte has five.
MAX_FRAMING_RATIO = 16
MAX_FRAMING_BYTES = 64 * 1024


def has_excess_framing(received_bytes: int, payload_bytes: int) -> bool:
    """Return whether so many bytes, received for a body with this payload, have too much framing among them."""
    return received_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * payload_bytes

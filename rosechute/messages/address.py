"""Addresses of links."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split the address of a link.

    Args:
        address: `host:port`, as another process sent it; it may be malformed.

    Returns:
        The host and the port.

    Raises:
        ValueError: The address is not of that form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"address {address!r} is not of the form host:port")
    return host, int(port)

"""Listening sockets whose connections begin with small receive buffers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 256  # limit of pending connections; after a restart all peers connect at once
ACCEPT_BATCH = 16  # connections accepted in one turn of the event loop: each has a descriptor until it is refused


async def listen(
    make_protocol: Callable[[], asyncio.Protocol], address: tuple[str, int], receive_buffer_bytes: int
) -> asyncio.Server:
    """Listen at an address.

    Args:
        make_protocol: Returns the protocol of a new connection.
        address: Host and port; port 0 selects a free port.
        receive_buffer_bytes: Size of the kernel's receive buffer of each connection.

    Raises:
        OSError: The address is in use or does not belong to this machine.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        listening.bind(address)
        listening.setblocking(False)
        # The loop accepts as many connections at a time as its backlog says; the kernel's queue is longer.
        server = await asyncio.get_running_loop().create_server(make_protocol, sock=listening, backlog=ACCEPT_BATCH)
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return server

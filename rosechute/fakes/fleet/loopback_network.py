"""A loopback network that no other run on this machine uses: addresses 127.NETWORK.x.y."""

from __future__ import annotations

import functools
import os
import socket

FIRST_NETWORK, NETWORK_COUNT = 20, 200
RESERVED_HOST, RESERVED_PORT = "255.254", 9  # no process of a fleet uses this address

_reservations: list[socket.socket] = []  # open until the process ends


@functools.cache
def reserve_network() -> int:
    """Return the number of a network that is reserved for this process until it ends; the same at each call.

    Raises:
        OSError: All networks are in use.
    """
    for offset in range(NETWORK_COUNT):
        network = FIRST_NETWORK + (os.getpid() + offset) % NETWORK_COUNT
        holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            holder.bind((f"127.{network}.{RESERVED_HOST}", RESERVED_PORT))
        except OSError:
            holder.close()
            continue
        _reservations.append(holder)
        return network
    raise OSError("all loopback networks are in use")

"""TCP options of links: short time-outs, so that a peer behind a network partition is noticed within seconds."""

from __future__ import annotations

import contextlib
import socket

USER_TIMEOUT_MS = 2000  # the kernel closes a link with bytes unacknowledged for this long (RFC 5482)
KEEPALIVE_IDLE_S = 2  # silence before the first keepalive probe
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2  # unanswered probes after which the kernel closes a link

_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def set_link_options(link_socket: socket.socket) -> None:
    """Set the options of a link; options that the system does not support are skipped."""
    for level, option, value in _OPTIONS:
        with contextlib.suppress(OSError):
            link_socket.setsockopt(level, option, value)

"""Callers of a faulty server through a process under test, in a process of their own.

Run: `python -m tests.crowds.endless_callers HOST PORT COUNT CREDENTIAL TARGET...`. The callers share the targets
evenly. Every other caller reads nothing of its answers. A caller whose connection is closed comes back. They go on
until the process is ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Sequence

READ_BYTES = 256 * 1024
CONNECT_TIMEOUT_S = 5.0
RETURN_DELAY_S = 0.05
STAY_S = 20.0
DEADLINE_MS = 8000


def request(target: str, number: int, credential: str) -> bytes:
    """Return a request with the headers that the fleet and the sidecar need; no credential if it is empty."""
    lines = (
        f"POST {target} HTTP/1.1",
        "Host: fleet.example",
        f"X-Rosechute-Request-Id: faulty-{number}",
        f"X-Rosechute-Deadline-Ms: {DEADLINE_MS}",
        f"X-Request-ID: faulty-{number}",
        *((f"X-Rosechute-Credential: {credential}",) if credential else ()),
        "Content-Length: 0",
        "\r\n",
    )
    return "\r\n".join(lines).encode()


async def call(address: tuple[str, int], credential: str, target: str, number: int, reads: bool) -> None:
    """Call again and again."""
    loop = asyncio.get_running_loop()
    sent = 0
    while True:
        with socket.socket() as caller, contextlib.suppress(OSError):
            caller.setblocking(False)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(caller, address)
            sent += 1
            await loop.sock_sendall(caller, request(target, number * 1_000_000 + sent, credential))
            async with asyncio.timeout(STAY_S):
                while reads and await loop.sock_recv(caller, READ_BYTES):
                    pass
                if not reads:
                    await asyncio.Event().wait()
        await asyncio.sleep(RETURN_DELAY_S)


async def main(host: str, port: int, count: int, credential: str, targets: Sequence[str]) -> None:
    """Have all callers call until the process is ended."""
    calls = (
        call(
            (host, port), credential, targets[number % len(targets)], number, reads=(number // len(targets)) % 2 == 0
        )
        for number in range(count)
    )
    await asyncio.gather(*calls)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4], sys.argv[5:]))

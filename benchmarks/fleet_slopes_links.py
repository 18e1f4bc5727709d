"""What a new leader's whole list costs it with real links: encoded and sent to every edge in one turn of the loop.

The leader's publisher and link server are in one process, the edges are connections of another that only reads.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import subprocess
import sys
import time

from benchmarks.fitting import Slope
from benchmarks.fleet_size import SIZE, servers
from benchmarks.fleet_slopes_core import edge_identity
from rosechute.distribution.publisher import Publisher
from rosechute.distribution.subscriber import Subscriber
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_server import LinkServer

MEMBERS = (50, 100, 350)
PORT = 7599
NOW = 1000.0
DRAIN_S = 30.0


def read_all(port: int, count: int) -> None:
    """Open so many connections and read until all end."""
    waiting = selectors.DefaultSelector()
    for _ in range(count):
        opened = socket.create_connection(("127.0.0.1", port))
        opened.sendall(b"\0\0\0\0\2")  # an empty message: the connection is there
        waiting.register(opened, selectors.EVENT_READ)
    while waiting.get_map():
        for key, _ in waiting.select():
            if not key.fileobj.recv(1 << 20):
                return


def new_term_with_links() -> list[Slope]:
    """One turn of the new leader, and all of it until the last byte is with the system."""
    turn = Slope("leader: first reading of a term, with its links, one turn", "us", "members")
    turn_wall = Slope("leader: the same, wall time of the turn", "us", "members")
    whole = Slope("leader: the same, all until the last byte is sent", "us", "members")
    for members in MEMBERS:
        turn.points[members], turn_wall.points[members], whole.points[members] = asyncio.run(_measured(members))
    return [turn, turn_wall, whole]


async def _measured(members: int) -> tuple[float, float, float]:
    """Microseconds: processor time of the turn, wall time of the turn, processor time of all."""
    connections: list[LinkConnection] = []
    server = LinkServer(f"127.0.0.1:{PORT}", lambda connection, kind, data: connections.append(connection))
    await server.start()
    child = subprocess.Popen([sys.executable, "-m", "benchmarks.fleet_slopes_links", str(PORT), str(members)])
    while len(connections) < members:
        await asyncio.sleep(0.02)
    publisher = Publisher(lambda now, request: None)
    publisher.leadership_gained(NOW, 1)
    for number, connection in enumerate(connections):
        renew = Subscriber(NOW, edge_identity(number), number + 1, ["10.9.0.1:7500"])._requests.renew(1)
        publisher.receive(NOW, connection, renew)
    listed = servers(SIZE.servers)
    began, wall = time.process_time_ns(), time.perf_counter_ns()
    for send in publisher.endpoint_list_read(NOW, listed):
        send.connection.send(MessageKind.DISTRIBUTION, send.message.SerializeToString())
    turn, turn_wall = time.process_time_ns() - began, time.perf_counter_ns() - wall
    until = time.monotonic() + DRAIN_S
    while time.monotonic() < until and any(_waits(connection) for connection in connections):
        await asyncio.sleep(0.02)
    whole = time.process_time_ns() - began
    server.close()
    await asyncio.sleep(0.2)  # for the connections to close
    child.terminate()
    child.wait(5)
    return turn / 1e3, turn_wall / 1e3, whole / 1e3


def _waits(connection: LinkConnection) -> bool:
    """Whether something is still to be sent."""
    transport = connection._transport
    return transport is not None and (bool(connection._queue) or transport.get_write_buffer_size() > 0)


if __name__ == "__main__":
    read_all(int(sys.argv[1]), int(sys.argv[2]))

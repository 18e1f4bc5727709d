"""Links of a core machine: dispatch of incoming frames by kind, and sending of messages to machines and edges."""

from collections.abc import Callable, Sequence

from rosechute.distribution.actions import DialedLink, SendMessage
from rosechute.listening.limits import ListenerLimits
from rosechute.messages.coordination_pb2 import CoreMessage
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer


class CoreLinks:
    """A server for connections from edges and other core machines, and a pool of links dialed by this machine."""

    def __init__(
        self,
        address: str,
        on_coordination: Callable[[bytes], None],
        on_distribution: Callable[[LinkConnection, bytes], None],
        on_closed: Callable[[LinkConnection], None],
        limits: ListenerLimits,
    ) -> None:
        """Prepare the links; `start` opens the server.

        Args:
            address: Link address of this machine, host:port.
            on_coordination: Called with each encoded message from another core machine.
            on_distribution: Called with each encoded message from an edge and the connection it arrived on.
            on_closed: Called when a connection accepted by the server has closed.
            limits: Limits of the connections that the server accepts.
        """
        self._on_coordination = on_coordination
        self._on_distribution = on_distribution
        self._pool = LinkPool(self._on_frame)
        self._server = LinkServer(address, self._on_frame, on_closed, limits)

    async def start(self) -> None:
        """Listen for links. Raises OSError if the address is in use."""
        await self._server.start()

    def close(self) -> None:
        """Close the server and all links."""
        self._server.close()
        self._pool.close()

    def shed_total(self) -> int:
        """Return how many accepted connections were closed since the start to keep to the limits."""
        return self._server.connections.shed_total

    def send_to_core(self, address: str, message: CoreMessage) -> None:
        """Send a coordination message to the core machine at a link address."""
        self._pool.send(address, MessageKind.COORDINATION, message.SerializeToString())

    def send_to_edges(self, messages: Sequence[SendMessage]) -> None:
        """Send distribution messages in order, each on the connection it names."""
        for send in messages:
            data = send.message.SerializeToString()
            if isinstance(send.connection, LinkConnection):
                send.connection.send(MessageKind.DISTRIBUTION, data)
            elif isinstance(send.connection, DialedLink):
                self._pool.send(send.connection.address, MessageKind.DISTRIBUTION, data)

    def _on_frame(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind == MessageKind.COORDINATION:
            self._on_coordination(data)
        else:
            self._on_distribution(connection, data)

"""Links of an edge process, which connect its subscriber and its quota client to the core and to other edges."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError
from loguru import logger

from rosechute.configuration.process import ProcessSettings
from rosechute.distribution.actions import Action, Connection, DialedLink, SendMessage
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.subscriber import Subscriber
from rosechute.listening.limits import edge_link_limits
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.errors import LinkError
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer
from rosechute.processes.quota_client import QuotaClient
from rosechute.routing.counts import Counts

UNUSED_LINKS_INTERVAL_S = 5.0  # between checks for links to addresses that are no longer in use
MIN_SLEEP_S = 0.001  # even if the next tick is due already, so that other tasks run first
BYTES_SENT = "bytes_sent"  # event in `Counts`, by kind of message

Apply = Callable[[Action], None]


class EdgeLinks:
    """Runs one `Subscriber` and one `QuotaClient` over the links of an edge process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: ProcessSettings, incarnation: int, apply: Apply
    ) -> None:
        """Create the links; `listen` and `start` open them.

        Args:
            loop: The loop that runs them.
            settings: The process settings.
            incarnation: Random number that identifies this run of the process.
            apply: Called with each change to apply, in order.
        """
        self._loop = loop
        self._apply = apply
        self.counts = Counts()
        address = settings.edge_link_address
        edge = EdgeIdentity(settings.node_name, settings.zone, address)
        self.subscriber = Subscriber(loop.time(), edge, incarnation, settings.seed_peers)
        self.quota = QuotaClient(
            loop, settings.node_name, incarnation, self.send_to_leader, self.subscriber.leaderless_since
        )
        self._pool = LinkPool(self._on_dialed_frame, self._on_dialed_closed)
        limits = edge_link_limits(settings.limits.memory_mb, settings.limits.max_fds)
        self._server = LinkServer(address, self._on_accepted_frame, self._on_accepted_closed, limits)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._logged_leader: str | None = None  # leader named by the last log line about it
        self._close_unused_at = loop.time() + UNUSED_LINKS_INTERVAL_S

    async def listen(self) -> None:
        """Listen for links of other edges. May be called again after a failure.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        await self._server.start()

    def start(self) -> None:
        """Search for the leader, whether or not this edge listens yet."""
        self._tick()

    def shed_total(self) -> int:
        """Return how many accepted connections were closed since the start to keep to the limits."""
        return self._server.connections.shed_total

    def close(self) -> None:
        """Close every link."""
        if self._timer is not None:
            self._timer.cancel()
        self.quota.close()
        self._server.close()
        self._pool.close()

    def change_settings(self, settings: ProcessSettings) -> None:
        """Use the seed addresses of reloaded settings."""
        self.subscriber.set_seeds(settings.seed_peers)

    def leave(self) -> None:
        """Announce to the leader that this edge is shutting down."""
        self.subscriber.leave(self._loop.time())
        self._tick()

    def send_to_leader(self, message: pb.Distribution) -> None:
        """Send a message to the leader, if one is known."""
        leader = self.subscriber.leader
        if leader is not None:
            self._send(DialedLink(leader), message)

    # --- events of the links

    def _on_accepted_frame(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind is MessageKind.DISTRIBUTION:
            self._receive(connection, data)

    def _on_dialed_frame(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind is MessageKind.DISTRIBUTION:
            self._receive(DialedLink(connection.address), data)

    def _receive(self, connection: Connection, data: bytes) -> None:
        try:
            message = pb.Distribution.FromString(data)
        except DecodeError as error:
            logger.warning("undecodable message connection={} error={}", connection, error)
            return
        if message.HasField("quota_issue"):
            self.quota.on_quota_issue(message.quota_issue)
            return
        self._carry_out(self.subscriber.receive(self._loop.time(), connection, message))

    def _on_dialed_closed(self, error: LinkError) -> None:
        logger.debug("link closed peer={} step={} reason={}", error.peer, error.step, error.reason)
        self._carry_out(self.subscriber.connection_closed(self._loop.time(), DialedLink(error.peer)))

    def _on_accepted_closed(self, connection: LinkConnection) -> None:
        self._carry_out(self.subscriber.connection_closed(self._loop.time(), connection))

    # --- timer and actions of the subscriber

    def _tick(self) -> None:
        now = self._loop.time()
        self._timer = None
        if now >= self._close_unused_at:
            self._close_unused_at = now + UNUSED_LINKS_INTERVAL_S
            self._close_unused_links()
        self._carry_out(self.subscriber.tick(now))

    def _carry_out(self, actions: Iterable[Action]) -> None:
        try:
            for action in actions:
                if isinstance(action, SendMessage):
                    self._send(action.connection, action.message)
                else:
                    self._apply(action)
            self._log_leader()
            if self.subscriber.is_attached:
                self.quota.on_leader_known(self.subscriber.leader_term)
        finally:
            self._schedule_tick(max(self.subscriber.next_wake(), self._loop.time() + MIN_SLEEP_S))

    def _log_leader(self) -> None:
        leader = self.subscriber.leader if self.subscriber.is_attached else None
        if leader == self._logged_leader:
            return
        if leader is None:
            logger.info("leader lost address={}", self._logged_leader)
        else:
            logger.info("attached to leader address={}", leader)
        self._logged_leader = leader

    def _send(self, connection: Connection, message: pb.Distribution) -> None:
        data = message.SerializeToString()
        self.counts.add(BYTES_SENT, message.WhichOneof("body") or "", len(data))
        if isinstance(connection, DialedLink):
            self._pool.send(connection.address, MessageKind.DISTRIBUTION, data)
        elif isinstance(connection, LinkConnection):
            connection.send(MessageKind.DISTRIBUTION, data)

    def _schedule_tick(self, when: float) -> None:
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._tick)

    def _close_unused_links(self) -> None:
        used = self.subscriber.addresses()
        for address in self._pool.addresses():
            if address not in used:
                self._pool.remove(address)

"""The links of an edge process: carries messages between them, the subscriber and the quota client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError
from loguru import logger

from rosechute.configuration.process import ProcessSettings
from rosechute.distribution.actions import Action, Connection, DialedLink, SendMessage
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.subscriber import Subscriber
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.errors import LinkError
from rosechute.messages.framing import MessageKind
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer
from rosechute.processes.quota_client import QuotaClient
from rosechute.routing.counts import Counts

FORGET_INTERVAL_S = 5.0  # how often links that are not needed any more are looked for
LEAST_SLEEP_S = 0.001
BYTES_SENT = "bytes_sent"  # the event that is counted

Apply = Callable[[Action], None]


class EdgeLinks:
    """Runs one Subscriber. `apply` is called with every change that is to be put in force, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: ProcessSettings, boot: int, apply: Apply) -> None:
        self._loop = loop
        self._apply = apply
        self.counts = Counts()
        address = settings.edge_link_address
        edge = EdgeIdentity(settings.node_name, settings.zone, address)
        self.subscriber = Subscriber(loop.time(), edge, boot, settings.seed_peers)
        self.quota = QuotaClient(
            loop, settings.node_name, boot, self.send_to_leader, self.subscriber.leaderless_since
        )
        self._pool = LinkPool(self._received_dialed, self._dialed_closed)
        self._server = LinkServer(address, self._received, self._accepted_closed)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._followed: str | None = None  # the leader, as last told to the log
        self._forget_at = loop.time() + FORGET_INTERVAL_S

    async def start(self) -> None:
        """Listen, and look for the leader."""
        await self._server.start()
        self._tick()

    def close(self) -> None:
        """Close every link."""
        if self._timer is not None:
            self._timer.cancel()
        self.quota.close()
        self._server.close()
        self._pool.close()

    def change_settings(self, settings: ProcessSettings) -> None:
        """The settings were read again: other seeds."""
        self.subscriber.set_seeds(settings.seed_peers)

    def leave(self) -> None:
        """This process shuts down: it is no home any more."""
        self.subscriber.leave(self._loop.time())
        self._tick()

    def send_to_leader(self, message: pb.Distribution) -> None:
        """Send a message to the leader, if one is known."""
        leader = self.subscriber.leader
        if leader is not None:
            data = message.SerializeToString()
            self.counts.add(BYTES_SENT, message.WhichOneof("body") or "", len(data))
            self._pool.send(leader, MessageKind.DISTRIBUTION, data)

    def _received(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind is MessageKind.DISTRIBUTION:
            self._handle(connection, data)

    def _received_dialed(self, connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
        if kind is MessageKind.DISTRIBUTION:
            self._handle(DialedLink(connection.address), data)

    def _handle(self, connection: Connection, data: bytes) -> None:
        try:
            message = pb.Distribution.FromString(data)
        except DecodeError as error:
            logger.warning("message from {}: {}", connection, error)
            return
        if message.HasField("quota_issue"):
            self.quota.on_quota_issue(message.quota_issue)
            return
        self._carry(self.subscriber.receive(self._loop.time(), connection, message))

    def _dialed_closed(self, error: LinkError) -> None:
        logger.debug("link to {}: {}: {}", error.peer, error.step, error.reason)
        self._carry(self.subscriber.connection_closed(self._loop.time(), DialedLink(error.peer)))

    def _accepted_closed(self, connection: LinkConnection) -> None:
        self._carry(self.subscriber.connection_closed(self._loop.time(), connection))

    def _tick(self) -> None:
        now = self._loop.time()
        self._timer = None
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self._forget_links()
        self._carry(self.subscriber.tick(now))

    def _carry(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(action)
            else:
                self._apply(action)
        self._log_leader()
        if self.subscriber.is_attached:
            self.quota.on_leader_known(self.subscriber.leader_term)
        self._wake_at(max(self.subscriber.next_wake(), self._loop.time() + LEAST_SLEEP_S))

    def _log_leader(self) -> None:
        followed = self.subscriber.leader if self.subscriber.is_attached else None
        if followed == self._followed:
            return
        if followed is None:
            logger.info("leader {} lost", self._followed)
        else:
            logger.info("leader {} followed", followed)
        self._followed = followed

    def _send(self, action: SendMessage) -> None:
        data = action.message.SerializeToString()
        self.counts.add(BYTES_SENT, action.message.WhichOneof("body") or "", len(data))
        connection = action.connection
        if isinstance(connection, DialedLink):
            self._pool.send(connection.address, MessageKind.DISTRIBUTION, data)
        elif isinstance(connection, LinkConnection):
            connection.send(MessageKind.DISTRIBUTION, data)

    def _wake_at(self, when: float) -> None:
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._tick)

    def _forget_links(self) -> None:
        kept = self.subscriber.addresses()
        for address in self._pool.addresses():
            if address not in kept:
                self._pool.remove(address)

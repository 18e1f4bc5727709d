"""One attempt: a request to one server over one connection, which is written at most once and ends exactly once."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

from rosechute.data_plane import attempt_outcome
from rosechute.data_plane.attempt_outcome import AttemptOutcome
from rosechute.data_plane.connection_pool import ConnectionPool, PooledConnection, ServerConnections
from rosechute.proxy.core.flow import Body, Sink
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.connection import Echo, Reply


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def build_request(self, attempt: Attempt) -> bytes | None:
        """Return the bytes to write, right before the first of them is written.

        Returns:
            The serialized request; None if it must not be sent any more. The owner has then ended the attempt itself.
        """

    def on_response_head(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """Return the sink for the body of a response whose head has arrived; None if the response can't be used.

        Args:
            attempt: The attempt.
            reply: Status and headers.
            length: Length of the body in bytes; None if it is not known.
        """

    def on_attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Handle the outcome of an attempt that has ended."""


class AttemptState(enum.Enum):
    """The state of an attempt. A state may change to the next one or to FINISHED."""

    CONNECTING = "connecting"  # no byte of the request has been written
    SENT = "sent"  # bytes of the request may have reached the server
    STREAMING = "streaming"  # the response is forwarded as it arrives
    FINISHED = "finished"


class Attempt:
    """A request to one server.

    Attributes:
        server: The server and the connections to it.
        state: Current state; only this class changes it.
    """

    __slots__ = ("server", "state", "_pool", "_loop", "_owner", "_echo", "_body", "_eager", "_connection", "_task")

    def __init__(
        self,
        pool: ConnectionPool,
        loop: asyncio.AbstractEventLoop,
        server: ServerConnections,
        owner: AttemptOwner,
        echo: Echo,
        body: Body | None,
        eager: bool,
    ) -> None:
        self.server = server
        self.state = AttemptState.CONNECTING
        self._pool, self._loop, self._owner = pool, loop, owner
        self._echo = echo  # name and value of the header in which a response must echo the request id
        self._body = body  # the request body, if it is forwarded as it arrives
        self._eager = eager  # whether a success is forwarded as soon as its head has arrived
        self._connection: PooledConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Send the request over an idle connection, or over a new one once it is established."""
        connection = self._pool.acquire_idle(self.server)
        if connection is not None:
            self._write(connection)
        else:
            self._task = self._loop.create_task(self._connect())

    def abort(self) -> None:
        """Abort the attempt. Closing the connection makes the server drop the request.

        A connection that is still being established is kept for later requests.
        """
        connection, self._connection = self._connection, None
        self.state = AttemptState.FINISHED
        if connection is not None:
            connection.wire.forget()
            connection.wire.abort()

    def pause(self) -> None:
        """Stop reading the response: the client accepts no more for now."""
        if self._connection is not None:
            self._connection.wire.pause()

    def resume(self) -> None:
        """Resume reading the response."""
        if self._connection is not None:
            self._connection.wire.resume()

    # --- events of the connection

    async def _connect(self) -> None:
        try:
            connection = await self._pool.connect(self.server)
        except OSError:  # TimeoutError is a subclass
            self._finish(attempt_outcome.CONNECT_FAILED)
            return
        except Exception:
            # Any other error also ends the attempt: otherwise its request would wait forever.
            LOG.error("servers.connect_broken", exc_info=True)
            self._finish(attempt_outcome.CONNECT_FAILED)
            return
        if self.state is not AttemptState.CONNECTING:
            self._pool.release(connection, None)
        elif not connection.wire.silent():
            connection.wire.close()  # unsolicited bytes would be read as the response
            self._finish(attempt_outcome.CONNECT_FAILED)
        else:
            self._write(connection)

    def _write(self, connection: PooledConnection) -> None:
        data = self._owner.build_request(self)
        if data is None or self.state is not AttemptState.CONNECTING:
            self._pool.release(connection, None)
            return
        self._connection = connection
        self.state = AttemptState.SENT
        connection.wire.send(
            data,
            self._on_response,
            None,
            self._body,
            self._on_response_head,
            eager=self._eager,
            echo=self._echo,
        )

    def _on_response_head(self, reply: Reply, length: int | None) -> Sink | None:
        if self.state is not AttemptState.SENT or self._connection is None or not self._connection.wire.written:
            # A success that starts before the request is fully written can't account for the rest of the request. It
            # is used only once it is complete (`_on_response`).
            return None
        sink = self._owner.on_response_head(self, reply, length)
        if sink is not None and self.state is AttemptState.SENT:
            self.state = AttemptState.STREAMING
        return sink

    def _on_response(self, reply: Reply | None) -> None:
        """Handle a complete response; None means that the connection was lost first."""
        connection, self._connection = self._connection, None
        if connection is None or self.state is AttemptState.FINISHED:
            return
        if reply is None:
            self._finish(attempt_outcome.RESET if connection.wire.touched else attempt_outcome.CONNECT_FAILED)
            return
        if not self._echoes_request_id(reply):
            connection.wire.abort()
            self._finish(attempt_outcome.RESET)
            return
        if connection.wire.written:
            self._pool.release(connection, reply)
        else:
            connection.wire.abort()  # the server would read the rest of this request before the next one
        self._finish(attempt_outcome.classify_response(reply, self.server.id))

    def _echoes_request_id(self, reply: Reply) -> bool:
        """Return whether a response echoes exactly one request id, that of this request."""
        name, expected = self._echo
        return [value for key, value in reply.headers if key == name] == [expected]

    def _finish(self, outcome: AttemptOutcome) -> None:
        if self.state is not AttemptState.FINISHED:
            self.state = AttemptState.FINISHED
            self._owner.on_attempt_finished(self, outcome)

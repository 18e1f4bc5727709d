"""One attempt: a request to one server over one connection, written at most once and ended exactly once."""

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
            None where nothing is to be sent any more. The owner has then ended the attempt itself.
        """

    def on_response_head(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """Return where to forward the body of a response whose head has arrived; None where it can't be used.

        Args:
            attempt: The attempt.
            reply: Status and headers.
            length: Bytes of the body; None where it is not known.
        """

    def on_attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Take the outcome of an attempt that has ended."""


class AttemptState(enum.Enum):
    """The state of an attempt. Each may be followed by the next one or by FINISHED."""

    CONNECTING = "connecting"  # nothing is written
    SENT = "sent"  # bytes of the request may have reached the server
    STREAMING = "streaming"  # the response is forwarded while it arrives
    FINISHED = "finished"


class Attempt:
    """A request to one server.

    Attributes:
        server: The server and the connections to it.
        state: Changed by this class only.
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
        self._echo = echo  # the header by which a response names the request that it answers
        self._body = body  # set where the body is forwarded while it arrives
        self._eager = eager  # whether a success is forwarded from its head on
        self._connection: PooledConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Write the request to an idle connection, or to a new one once it is established."""
        connection = self._pool.acquire_idle(self.server)
        if connection is not None:
            self._write(connection)
        else:
            self._task = self._loop.create_task(self._connect())

    def abort(self) -> None:
        """Abort the attempt. The server drops a request whose connection closes.

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
        """Read the response again."""
        if self._connection is not None:
            self._connection.wire.resume()

    # --- from the connection

    async def _connect(self) -> None:
        try:
            connection = await self._pool.connect(self.server)
        except OSError:  # TimeoutError is a subclass
            self._finish(attempt_outcome.CONNECT_FAILED)
            return
        except Exception:
            # Whatever else went wrong: an attempt that does not end would leave its request waiting for ever.
            LOG.error("servers.connect_broken", exc_info=True)
            self._finish(attempt_outcome.CONNECT_FAILED)
            return
        if self.state is not AttemptState.CONNECTING:
            self._pool.release(connection, None)
        elif not connection.wire.silent():
            connection.wire.close()  # unsolicited bytes would be taken for the response
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
            # A success that starts before the request is written can't account for the rest of the request. It is
            # used only once it is complete (`_on_response`).
            return None
        sink = self._owner.on_response_head(self, reply, length)
        if sink is not None and self.state is AttemptState.SENT:
            self.state = AttemptState.STREAMING
        return sink

    def _on_response(self, reply: Reply | None) -> None:
        """Take a complete response; None where the connection was lost first."""
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
            connection.wire.abort()  # the rest of the request would precede the next one
        self._finish(attempt_outcome.classify_response(reply, self.server.id))

    def _echoes_request_id(self, reply: Reply) -> bool:
        """Return whether a response carries the id of this request and no other."""
        name, expected = self._echo
        return [value for key, value in reply.headers if key == name] == [expected]

    def _finish(self, outcome: AttemptOutcome) -> None:
        if self.state is not AttemptState.FINISHED:
            self.state = AttemptState.FINISHED
            self._owner.on_attempt_finished(self, outcome)

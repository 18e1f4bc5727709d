"""One attempt: a request to one server over one connection, written once at the most and ended exactly once."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

from hollyport.core.flow import Body, Sink
from hollyport.core.log import LOG
from hollyport.http1.connection import Echo, Reply
from rosechute.data_plane import attempt_outcome
from rosechute.data_plane.attempt_outcome import AttemptOutcome
from rosechute.data_plane.connection_pool import Link, Server, Servers


class AttemptOwner(Protocol):
    """Whose attempt it is."""

    def build_request(self, attempt: Attempt) -> bytes | None:
        """What is to be written, asked right before the first byte; None where nothing is to be sent any more. The
        owner has then ended the attempt itself."""

    def on_response_head(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """The head of an answer that is passed on as it comes has come; None where it can't be used."""

    def on_attempt_finished(self, attempt: Attempt, verdict: AttemptOutcome) -> None:
        """The attempt is over."""


class AttemptState(enum.Enum):
    """Where an attempt stands."""

    CONNECTING = "connecting"  # nothing is written
    SENT = "sent"  # some of the request may have reached the server
    STREAMING = "streaming"  # the answer is passed on as it comes
    FINISHED = "finished"


class Attempt:
    """A request to one server."""

    __slots__ = ("server", "state", "_servers", "_loop", "_owner", "_echo", "_body", "_eager", "_link", "_task")

    def __init__(
        self,
        servers: Servers,
        loop: asyncio.AbstractEventLoop,
        server: Server,
        owner: AttemptOwner,
        echo: Echo,
        body: Body | None,
        eager: bool,
    ) -> None:
        self.server = server
        self.state = AttemptState.CONNECTING
        self._servers, self._loop, self._owner = servers, loop, owner
        self._echo = echo  # the header that tells the answer to this request from others
        self._body = body  # where it is passed on as it comes
        self._eager = eager  # whether a success is passed on from its head on
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Write to an idle connection, or to a new one once it is up."""
        link = self._servers.take(self.server)
        if link is not None:
            self._write(link)
        else:
            self._task = self._loop.create_task(self._connect())

    def abort(self) -> None:
        """Withdraw the request: a server drops one whose connection closes. A connection that is coming up is kept
        for later requests."""
        link, self._link = self._link, None
        self.state = AttemptState.FINISHED
        if link is not None:
            link.wire.forget()
            link.wire.abort()

    def pause(self) -> None:
        """Let the answer wait."""
        if self._link is not None:
            self._link.wire.pause()

    def resume(self) -> None:
        """Let it come on."""
        if self._link is not None:
            self._link.wire.resume()

    # --- the way

    async def _connect(self) -> None:
        try:
            link = await self._servers.connect(self.server)
        except OSError:  # a TimeoutError is one, too
            self._end(attempt_outcome.CONNECT_FAILED)
            return
        except Exception:
            # Whatever went wrong, the attempt is over and must be told so, or its request would hang on it.
            LOG.error("servers.connect_broken", exc_info=True)
            self._end(attempt_outcome.CONNECT_FAILED)
            return
        if self.state is not AttemptState.CONNECTING:
            self._servers.release(link, None)
        elif not link.wire.silent():
            link.wire.close()  # what came unasked would pass for the answer
            self._end(attempt_outcome.CONNECT_FAILED)
        else:
            self._write(link)

    def _write(self, link: Link) -> None:
        data = self._owner.build_request(self)
        if data is None or self.state is not AttemptState.CONNECTING:
            self._servers.release(link, None)
            return
        self._link = link
        self.state = AttemptState.SENT
        link.wire.send(
            data,
            self._replied,
            None,
            self._body,
            self._begin,
            eager=self._eager,
            echo=self._echo,
        )

    def _begin(self, reply: Reply, length: int | None) -> Sink | None:
        if self.state is not AttemptState.SENT or self._link is None or not self._link.wire.written:
            # A success that begins before the request is out says nothing of what is still to come. A whole answer
            # is taken (`_replied`).
            return None
        sink = self._owner.on_response_head(self, reply, length)
        if sink is not None and self.state is AttemptState.SENT:
            self.state = AttemptState.STREAMING
        return sink

    def _replied(self, reply: Reply | None) -> None:
        link, self._link = self._link, None
        if link is None or self.state is AttemptState.FINISHED:
            return
        if reply is None:
            self._end(attempt_outcome.RESET if link.wire.touched else attempt_outcome.CONNECT_FAILED)
            return
        if not self._echoes_request_id(reply):
            link.wire.abort()
            self._end(attempt_outcome.RESET)
            return
        if link.wire.written:
            self._servers.release(link, reply)
        else:
            link.wire.abort()  # what is left of the request would follow
        self._end(attempt_outcome.classify_response(reply, self.server.id))

    def _echoes_request_id(self, reply: Reply) -> bool:
        """Whether an answer carries the id of this request and no other one."""
        name, expected = self._echo
        return [value for key, value in reply.headers if key == name] == [expected]

    def _end(self, ending: AttemptOutcome) -> None:
        if self.state is not AttemptState.FINISHED:
            self.state = AttemptState.FINISHED
            self._owner.on_attempt_finished(self, ending)

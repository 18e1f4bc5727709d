"""One client request from its admission to its one answer: an explicit state, changed in one function."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

from hollyport.core.flow import Sink
from hollyport.core.log import LOG
from hollyport.http1.connection import Reply
from hollyport.http1.message import HOP_BY_HOP, Headers, Message
from rosechute.data import verdict
from rosechute.data.admission import REQUEST_ID, Admitted, Refusal, Resume, attempt_wire
from rosechute.data.attempt import Attempt, AttemptState
from rosechute.data.events import BrokenStream, EventStream
from rosechute.data.servers import Server, Servers
from rosechute.data.verdict import Verdict
from rosechute.routing.model import AttemptResult, RejectReason, Send

NOT_RETURNED = HOP_BY_HOP | {b"content-length"}
MOST_EVENT = 256 * 1024  # bytes of one event, where only whole ones are passed on
SILENCE_MARGIN_S = 0.05  # a silent stream is given up so long before its client does
SILENCE_RESERVE = 0.25  # part of the client's patience that is left to another server, where one may go on
UNSENT_RETRY_S = 0.25  # when to come back where nothing else tells
FRESH_S = 0.02  # a request that was read so lately has a client
LATE_S = 0.2  # a timer that comes so late shows that the process stood still
CATCH_UP_S = 0.05  # what has come meanwhile is read within this time
STOPPING_RETRY_S = 0.05  # when to come back, to another edge
REPEAT_PATIENCE_TARGETS = 4.0  # latency objectives after which a server that says nothing is left for another one
REPEAT_PATIENCE_S = 1.0  # and at least so long
VERSIONS = b"versions"


class RequestState(enum.Enum):
    """Where a request stands."""

    QUOTA = "quota"  # it is asked whether its tenant may
    WAITING = "waiting"  # for the router to name a server
    CONNECTING = "connecting"  # to the server that was named; nothing is written
    SENT = "sent"  # it may have reached the server
    PASSING = "passing"  # the server's answer is passed on as it comes
    OVER = "over"  # answered, or its client has left


_S = RequestState
_CHANGES: dict[RequestState, frozenset[RequestState]] = {
    _S.QUOTA: frozenset({_S.WAITING, _S.OVER}),
    _S.WAITING: frozenset({_S.CONNECTING, _S.OVER}),
    _S.CONNECTING: frozenset({_S.SENT, _S.WAITING, _S.OVER}),
    _S.SENT: frozenset({_S.PASSING, _S.WAITING, _S.OVER}),
    _S.PASSING: frozenset({_S.WAITING, _S.OVER}),
    _S.OVER: frozenset(),
}


class Desk(Protocol):
    """What a request needs of the data plane."""

    loop: asyncio.AbstractEventLoop
    servers: Servers

    def spend(self, request: ClientRequest) -> None:
        """Ask whether its tenant's quota allows it; it is told by `quota_decided`."""

    def submit(self, request: ClientRequest) -> None:
        """Hand it to the router."""

    def report(self, request: ClientRequest, server_id: str, result: AttemptResult, again: bool) -> None:
        """Tell the router how an attempt ended or went on."""

    def withdraw(self, request: ClientRequest) -> None:
        """Tell the router that nothing more is wanted for it."""

    def refusal(self, admitted: Admitted) -> Refusal | None:
        """Why it may not be sent now, by the configuration in force."""

    def over(self, request: ClientRequest) -> None:
        """It is over: nothing more comes of it."""


class ClientRequest:
    """One request of a client."""

    __slots__ = (
        "message", "admitted", "ticket", "state", "_desk", "_loop", "_attempt", "_ran", "_failure", "_last", "_begun",
        "_events", "_paused", "_limit", "_limit_at", "_silence", "_heard", "_told", "_caught_up",
    )

    def __init__(self, desk: Desk, message: Message, admitted: Admitted) -> None:
        self.message, self.admitted = message, admitted
        self.ticket = admitted.routing.ticket
        self.state = RequestState.QUOTA
        self._desk, self._loop = desk, desk.loop
        self._attempt: Attempt | None = None
        self._ran = False  # whether some server may have run it
        self._failure: Reply | None = None  # the last failure of a server that may be passed on
        self._last: AttemptResult | None = None  # how the last attempt ended
        self._begun = False  # whether an answer has begun that is passed on as it comes
        self._events: EventStream | None = None  # of that answer, where it may be joined from several runs
        self._paused = False  # whether the client does not take what is passed on
        self._limit_at = admitted.hold_limit  # when it is ended, whatever is under way
        self._limit: asyncio.TimerHandle | None = self._loop.call_at(admitted.hold_limit, self._time_up)
        self._silence: asyncio.TimerHandle | None = None
        self._caught_up = False  # whether this process has stood still, and had time to read what came meanwhile
        self._heard = 0.0  # when the server sent something last, or was sent the request
        self._told = admitted.arrived  # when the client was sent something last, or sent the request

    def _change(self, state: RequestState) -> None:
        """The one place where the state changes."""
        assert state in _CHANGES[self.state], (self.state, state)
        self.state = state
        if state is not RequestState.OVER:
            return
        for timer in (self._limit, self._silence):
            if timer is not None:
                timer.cancel()
        self._limit = self._silence = None
        self._desk.over(self)

    # --- before the router

    def start(self) -> None:
        """Ask whether its tenant may, and have it routed."""
        self._desk.spend(self)

    def quota_decided(self, allowed: bool, retry_after_s: float) -> None:
        """The tenant's quota has told."""
        if self.state is not RequestState.QUOTA:
            return
        if not allowed:
            self._answer(429, retry_after_s or UNSENT_RETRY_S)
            return
        self._change(RequestState.WAITING)
        self._desk.submit(self)

    # --- from the router

    def send(self, action: Send) -> None:
        """Send it to this server now."""
        if self.state is not RequestState.WAITING:
            return
        server = self._desk.servers.find(action.server_id)
        if server is None or not server.ready:
            self._desk.report(self, action.server_id, AttemptResult.CONNECT_FAILED, True)
            return
        self._change(RequestState.CONNECTING)
        admitted = self.admitted
        self._attempt = Attempt(
            self._desk.servers, self._loop, server, self, (REQUEST_ID, admitted.request_id), self.message.stream,
            admitted.route.streaming,
        )
        self._attempt.start()

    def reject(self, reason: RejectReason, retry_after_s: float) -> None:
        """The router gives it up."""
        if self.state is not RequestState.WAITING:
            return
        if self._begun:
            self._cut()
        elif self._failure is not None:
            self._pass_whole(self._failure)
        elif self._ran:
            self._answer(504 if self._last is AttemptResult.TIMEOUT else 502)
        else:
            self._answer(503, retry_after_s or UNSENT_RETRY_S)

    # --- from its attempt

    def prepare(self, attempt: Attempt) -> bytes | None:
        """See `AttemptOwner`."""
        admitted, server = self.admitted, attempt.server
        refusal = self._desk.refusal(admitted)
        if refusal is not None:
            self._withdraw()
            self._refuse(refusal)
            return None
        if self._ran and not admitted.repeatable:  # a configuration since its first attempt says so
            self._withdraw()
            self._refuse(Refusal(503))
            return None
        if not server.ready:
            self._leave(server)
            return None
        waited = self._loop.time() - admitted.arrived > FRESH_S
        if waited and not self._still_there():
            return None
        if not self._time_left():
            self._give_up()
            return None
        limit = admitted.client_limit if admitted.route.streaming else admitted.hold_limit
        self._change(RequestState.SENT)
        self._heard = self._loop.time()
        self._watch()
        return attempt_wire(admitted, server.id, limit - self._heard, self._resume(), self.message.body)

    def begin(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """See `AttemptOwner`. The head of the first server's answer is the client's."""
        if attempt is not self._attempt or self.state is not RequestState.SENT or not verdict.trusted(reply):
            return None
        version = reply.header(VERSIONS)
        events = self._events
        if self._begun:
            if events is None or (events.version is not None and version not in (None, events.version)):
                return None  # what it goes on with would not fit to what was passed on
            events.next_run()
        elif not self._begin_answer(reply, version, length):
            return None
        self._change(RequestState.PASSING)
        self._heard = self._loop.time()
        if self._paused:
            attempt.pause()
        self._desk.report(self, attempt.server.id, AttemptResult.HEAD, False)
        return self

    def pass_on(self, data: bytes) -> None:
        """Some more of the answer that is passed on."""
        if self.state is not RequestState.PASSING:
            return
        self._heard = self._loop.time()
        if self._events is not None:
            try:
                data = self._events.feed(data)
            except BrokenStream as error:
                self._spoilt(error)
                return
        if data:
            self._told = self._heard
            self.message.connection.pass_on(self.message, data)

    def ended(self, attempt: Attempt, ending: Verdict) -> None:
        """See `AttemptOwner`."""
        if attempt is not self._attempt or self.state is RequestState.OVER:
            return
        self._attempt = None
        self._last = ending.result
        self._ran = self._ran or ending.may_have_run
        if self.state is RequestState.PASSING:
            self._passed(attempt.server, ending)
        elif ending.result is not AttemptResult.DONE or ending.reply is None:
            self._failed(attempt.server, ending)
        elif not self._begun:
            self._desk.report(self, attempt.server.id, ending.result, False)
            self._pass_whole(ending.reply)
        elif verdict.is_success(ending.reply.status):
            self._went_on_whole(attempt.server, ending.reply)
        else:
            self._failed(attempt.server, verdict.SERVER_ERROR)

    # --- from the client's connection

    def client_left(self) -> None:
        """Nobody waits for it any more: the server is to drop it."""
        if self.state is not RequestState.OVER:
            self._withdraw()
            self._change(RequestState.OVER)

    def pause(self) -> None:
        """The client takes no more for now."""
        self._paused = True
        if self._attempt is not None and self.state is RequestState.PASSING:
            self._attempt.pause()

    def resume(self) -> None:
        """It does again."""
        self._paused = False
        self._heard = self._loop.time()
        if self._attempt is not None and self.state is RequestState.PASSING:
            self._attempt.resume()

    # --- at the end of the process

    def refuse_unsent(self) -> None:
        """Answer it now if it has not run and does not run."""
        unsent = self.state in (RequestState.QUOTA, RequestState.WAITING, RequestState.CONNECTING)
        if unsent and not self._begun and not self._ran:
            self._withdraw()
            self._answer(503, STOPPING_RETRY_S)

    def last_moment(self) -> None:
        """The process ends: what can't be answered whole is cut."""
        if self.state is not RequestState.OVER:
            self._give_up()

    # --- answers

    def _answer(self, status: int, retry_after_s: float = 0.0) -> None:
        """An answer of our own."""
        headers: Headers = [(REQUEST_ID, self.admitted.request_id)]
        if retry_after_s > 0.0:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        self._change(RequestState.OVER)
        self.message.reply(status, b"", headers)

    def _refuse(self, refusal: Refusal) -> None:
        """It may not be sent any more. Where a server may have run it, that is no promise."""
        if self._begun:
            self._cut()
        elif self._ran and refusal.status in verdict.PROMISES:
            self._answer(502)
        else:
            self._answer(refusal.status, refusal.retry_after_s)

    def _pass_whole(self, reply: Reply) -> None:
        """A server's whole answer, as it is."""
        self._change(RequestState.OVER)
        self.message.reply(reply.status, reply.body, returned(reply))

    def _begin_answer(self, reply: Reply, version: bytes | None, length: int | None) -> bool:
        """Begin the client's answer; whether there is a client for it."""
        admitted, message = self.admitted, self.message
        if admitted.route.streaming:
            length = None
            if admitted.route.repeatable:
                self._events = EventStream(admitted.last_event_id, version, MOST_EVENT)
        if not message.connection.begin_answer(message, reply.status, returned(reply), length, self):
            return False
        self._begun = True
        return True

    def _end_answer(self, whole: bool) -> None:
        self._change(RequestState.OVER)
        self.message.connection.end_answer(self.message, whole)

    def _cut(self) -> None:
        """The answer that has begun can't be finished: the client sees it break off."""
        self._end_answer(False)

    # --- ends of attempts

    def _passed(self, server: Server, ending: Verdict) -> None:
        """The answer that is passed on has come to its end, or broken off."""
        if ending.result is AttemptResult.DONE:
            try:
                rest = self._events.finish() if self._events is not None else b""
            except BrokenStream as error:
                LOG.warning("streams.broken", server=server.id, reason=str(error))
                self._stream_broke(server, AttemptResult.RESET)
                return
            self._desk.report(self, server.id, AttemptResult.DONE, False)
            if rest:
                self.message.connection.pass_on(self.message, rest)
            self._end_answer(True)
        else:
            self._stream_broke(server, ending.result)

    def _stream_broke(self, server: Server, result: AttemptResult) -> None:
        """Go on at another server where that is allowed, else cut."""
        resumable = self._events is not None and self._events.resumable() and self._time_left()
        if resumable:
            self._change(RequestState.WAITING)
        self._desk.report(self, server.id, result, resumable)
        if not resumable:
            self._cut()

    def _went_on_whole(self, server: Server, reply: Reply) -> None:
        """The rest of a stream came in one piece."""
        events, version = self._events, reply.header(VERSIONS)
        assert events is not None
        if events.version is not None and version not in (None, events.version):
            self._failed(server, verdict.RESET)
            return
        try:
            events.next_run()
            rest = events.feed(reply.body) + events.finish()
        except BrokenStream:
            self._failed(server, verdict.RESET)
            return
        self._change(RequestState.PASSING)
        self._desk.report(self, server.id, AttemptResult.DONE, False)
        if rest:
            self.message.connection.pass_on(self.message, rest)
        self._end_answer(True)

    def _failed(self, server: Server, ending: Verdict) -> None:
        """An attempt has brought no answer: another one, where the request may be repeated or has not run."""
        if ending.reply is not None:
            self._failure = ending.reply
        again = self._may_repeat(ending) and self._time_left()
        if again:
            self._change(RequestState.WAITING)
            self._desk.report(self, server.id, ending.result, True)
            return
        self._desk.report(self, server.id, ending.result, False)
        if self._begun:
            self._cut()
        elif self._failure is not None:
            self._pass_whole(self._failure)
        elif self._ran:
            self._answer(504 if ending.result is AttemptResult.TIMEOUT else 502)
        else:
            self._answer(503, UNSENT_RETRY_S)

    def _may_repeat(self, ending: Verdict) -> bool:
        """Whether it may be sent to another server."""
        stream = self.message.stream
        if stream is not None and stream.begun:
            return False  # what has gone of its body is no longer here
        return self.admitted.repeatable or not (ending.may_have_run or self._ran)

    def _spoilt(self, error: BrokenStream) -> None:
        """What the server sends can't be passed on."""
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        LOG.warning("streams.broken", server=attempt.server.id, reason=str(error))
        attempt.abort()
        self._stream_broke(attempt.server, AttemptResult.RESET)

    def _leave(self, server: Server) -> None:
        """Nothing was sent to this server, which drains or is gone: back to the router."""
        self._drop_attempt()
        self._change(RequestState.WAITING)
        self._desk.report(self, server.id, AttemptResult.CONNECT_FAILED, True)

    def _resume(self) -> Resume | None:
        events = self._events
        return Resume(events.last_id, events.version) if events is not None else None

    def _still_there(self) -> bool:
        """Whether the client still waits; else it is over. Its end may not have been read yet, which is asked of
        the kernel."""
        if self.message.connection.look():
            self.client_left()
        return self.state is not RequestState.OVER

    # --- time

    def _time_left(self) -> bool:
        return self._loop.time() < self._limit_at

    def _time_up(self) -> None:
        """The route's time is over, or the client gives up soon. A stream that brings events is answered already:
        it goes on for as long as its client waits."""
        limit = self.admitted.client_limit
        brings_events = self._begun and self.admitted.route.streaming and self._told > self.admitted.arrived
        if not brings_events or self._limit_at >= limit:
            self._give_up()
            return
        self._limit_at = limit
        self._limit = self._loop.call_at(limit, self._time_up)

    def _give_up(self) -> None:
        """End it now, whatever is under way."""
        if self.state is RequestState.OVER:
            return
        at_work = self.state in (RequestState.SENT, RequestState.PASSING)
        self._withdraw()
        if self._begun:
            self._cut()
        elif at_work or self._ran:
            self._answer(504)
        else:
            self._answer(503, UNSENT_RETRY_S)

    def _silence_point(self) -> float:
        """The steady time at which a server that says nothing is left; 0 for never."""
        admitted = self.admitted
        repeatable = admitted.routing.repeatable
        if admitted.silence_s:
            limit = self._told + admitted.silence_s - SILENCE_MARGIN_S
            reserve = admitted.silence_s * SILENCE_RESERVE
            if repeatable and limit - self._heard > 2 * reserve:
                return limit - reserve
            # The silence of a server is no reason to end an answer that has begun sooner than its client does.
            return 0.0 if self._begun else limit
        if not repeatable or self._begun:
            return 0.0
        point = self._heard + max(REPEAT_PATIENCE_S, REPEAT_PATIENCE_TARGETS * admitted.routing.target_s)
        return point if point + admitted.routing.target_s < admitted.hold_limit else 0.0

    def _watch(self) -> None:
        """Look again when the server has said nothing for too long. The timer is set anew then only: events are
        many."""
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None
        point = self._silence_point()
        if point:
            self._silence = self._loop.call_at(point, self._look)

    def _look(self) -> None:
        """Whether the server has been silent for too long."""
        self._silence = None
        attempt = self._attempt
        if attempt is None or attempt.state not in (AttemptState.SENT, AttemptState.PASSING):
            return
        now = self._loop.time()
        if self._paused:
            self._heard = self._told = now  # it is the client that is slow
        point = self._silence_point()
        if point and now > point + LATE_S and not self._caught_up:
            self._caught_up = True
            self._silence = self._loop.call_at(now + CATCH_UP_S, self._look)
            return
        self._caught_up = False
        if not point or now < point:
            self._watch()
            return
        self._drop_attempt()
        self._ended_by_silence(attempt.server)

    def _ended_by_silence(self, server: Server) -> None:
        """The server has said nothing for too long."""
        self._last, self._ran = AttemptResult.TIMEOUT, True
        if self.state is RequestState.PASSING:
            self._stream_broke(server, AttemptResult.TIMEOUT)
        else:
            self._failed(server, verdict.TIMEOUT)

    # --- ends

    def _drop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.abort()

    def _withdraw(self) -> None:
        """Take it back from the server and from the router."""
        self._drop_attempt()
        if self.state is not RequestState.QUOTA:
            self._desk.withdraw(self)


def returned(reply: Reply) -> Headers:
    """A server's headers, but for those that speak of its connection."""
    return [pair for pair in reply.headers if pair[0] not in NOT_RETURNED]

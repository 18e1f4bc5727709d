"""One client request from its admission to its one answer: what each event does in each of its states.

The states are those of `request_state`; `client_answer` is what the client gets, `silence` how long a server may say
nothing.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollyport.core.flow import Sink
from hollyport.core.log import LOG
from hollyport.http1.connection import Reply
from hollyport.http1.message import Message
from rosechute.data_plane import verdict
from rosechute.data_plane.admission import REQUEST_ID, Admitted, Refusal, attempt_wire
from rosechute.data_plane.attempt import Attempt
from rosechute.data_plane.client_answer import ClientAnswer
from rosechute.data_plane.events import BrokenStream
from rosechute.data_plane.request_state import AT_SERVER, UNSENT, RequestState, checked_transition
from rosechute.data_plane.servers import Server, Servers
from rosechute.data_plane.silence import SilenceWatch
from rosechute.data_plane.verdict import Verdict
from rosechute.routing.model import AttemptResult, RejectReason, Send

UNSENT_RETRY_S = 0.25  # when to come back where nothing else tells
STOPPING_RETRY_S = 0.05  # when to come back, to another edge
FRESH_S = 0.02  # a request that was read so lately has a client


CLIENT_LEFT, PASSED_ON, CUT = "client_left", "passed_on", "cut"  # outcomes, beside those with a status


class RequestContext(Protocol):
    """What a request needs of the data plane."""

    loop: asyncio.AbstractEventLoop
    servers: Servers

    def spend(self, request: ClientRequest) -> None:
        """Ask whether its tenant's quota allows it; it is told by `quota_decided`."""

    def submit(self, request: ClientRequest) -> None:
        """Hand it to the router."""

    def report(self, request: ClientRequest, server_id: str, result: AttemptResult, again: bool) -> None:
        """Tell the router how an attempt ended or went on."""

    def may_go_elsewhere(self, request: ClientRequest) -> bool:
        """Whether the router would send it to another server now if the one that it is at failed it."""

    def withdraw(self, request: ClientRequest) -> None:
        """Tell the router that nothing more is wanted for it."""

    def refusal(self, admitted: Admitted) -> Refusal | None:
        """Why it may not be sent now, by the configuration in force."""

    def over(self, request: ClientRequest) -> None:
        """It is over: nothing more comes of it."""


class ClientRequest:
    """One request of a client."""

    __slots__ = (
        "message",
        "admitted",
        "ticket",
        "state",
        "_context",
        "_loop",
        "_attempt",
        "_answer",
        "_silence",
        "_may_have_run",
        "_last_failure",
        "_last_result",
        "_client_paused",
        "_ends_at",
        "_end_timer",
        "outcome",
    )

    def __init__(self, context: RequestContext, message: Message, admitted: Admitted) -> None:
        self.message, self.admitted = message, admitted
        self.ticket = admitted.routing.ticket
        self.state = RequestState.QUOTA
        self.outcome = CLIENT_LEFT  # what its client got; of use once it is over
        self._context, self._loop = context, context.loop
        self._attempt: Attempt | None = None
        self._answer = ClientAnswer(message, admitted)
        self._silence = SilenceWatch(self._loop, admitted)
        self._may_have_run = False  # at some server, in an attempt that has ended
        self._last_failure: Reply | None = None  # the last failure of a server that may be passed on
        self._last_result: AttemptResult | None = None  # how the last attempt ended
        self._client_paused = False  # whether the client does not take what is passed on
        self._ends_at = admitted.hold_limit  # when it is ended, whatever is under way
        self._end_timer = self._loop.call_at(admitted.hold_limit, self._time_up)

    def _change(self, state: RequestState) -> None:
        """The one place where the state changes."""
        self.state = checked_transition(self.state, state)
        if state is RequestState.OVER:
            self._end_timer.cancel()
            self._silence.stop()
            self._let_go_of_body()
            self._context.over(self)

    def _let_go_of_body(self) -> None:
        """Count what no server got of a body as held no longer. While more of it comes, its connection does that."""
        stream = self.message.stream
        if stream is not None and self.message.complete:
            stream.drop()

    # --- before the router

    def start(self) -> None:
        """Ask whether its tenant may, and have it routed."""
        self._context.spend(self)

    def quota_decided(self, allowed: bool, retry_after_s: float) -> None:
        """The tenant's quota has told."""
        if self.state is not RequestState.QUOTA:
            return
        if not allowed:
            self._end_with_own(429, retry_after_s or UNSENT_RETRY_S)
            return
        self._change(RequestState.WAITING)
        self._context.submit(self)

    # --- from the router

    def send(self, action: Send) -> None:
        """Send it to this server now."""
        if self.state is not RequestState.WAITING:
            return
        server = self._context.servers.find(action.server_id)
        if server is None or not server.ready:
            self._context.report(self, action.server_id, AttemptResult.CONNECT_FAILED, True)
            return
        self._change(RequestState.CONNECTING)
        admitted = self.admitted
        self._attempt = Attempt(
            self._context.servers,
            self._loop,
            server,
            self,
            (REQUEST_ID, admitted.request_id),
            self.message.stream,
            admitted.route.streaming,
        )
        self._attempt.start()

    def reject(self, reason: RejectReason, retry_after_s: float) -> None:
        """The router gives it up."""
        if self.state is RequestState.WAITING:
            self._end_unserved(self._last_result, retry_after_s or UNSENT_RETRY_S)

    # --- from its attempt

    def prepare(self, attempt: Attempt) -> bytes | None:
        """See `AttemptOwner`."""
        admitted, server = self.admitted, attempt.server
        refusal = self._context.refusal(admitted)
        if refusal is None and (self._body_begun() or (self._may_have_run and not admitted.repeatable)):
            refusal = Refusal(503)  # its body is gone, or a configuration since its first attempt says so
        if refusal is not None:
            self._withdraw()
            self._end_refused(refusal)
            return None
        if not server.ready:
            self._leave_unsent(server)
            return None
        waited = self._loop.time() - admitted.arrived > FRESH_S
        if waited and not self._client_waits():
            return None
        if not self._time_left():
            self._give_up()
            return None
        limit = admitted.client_limit if admitted.route.streaming else admitted.hold_limit
        self._change(RequestState.SENT)
        self._silence.start(self)
        left_s = limit - self._loop.time()
        return attempt_wire(admitted, server.id, left_s, self._answer.resume_point(), self.message.body)

    def begin(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """See `AttemptOwner`. The head of the first server's answer is the client's."""
        if attempt is not self._attempt or self.state is not RequestState.SENT or not verdict.trusted(reply):
            return None
        if not (self._answer.go_on(reply) if self._answer.begun else self._answer.begin(reply, length, self)):
            return None
        self._change(RequestState.PASSING)
        self._silence.answer_begun = True
        self._silence.heard()
        if self._client_paused:
            attempt.pause()
        self._context.report(self, attempt.server.id, AttemptResult.HEAD, False)
        return self

    def pass_on(self, data: bytes) -> None:
        """Some more of the answer that is passed on."""
        if self.state is not RequestState.PASSING:
            return
        self._silence.heard()
        try:
            if self._answer.pass_on(data):
                self._silence.passed_on()
        except BrokenStream as error:
            self._spoilt(error)

    def ended(self, attempt: Attempt, ending: Verdict) -> None:
        """See `AttemptOwner`."""
        if attempt is not self._attempt or self.state is RequestState.OVER:
            return
        self._attempt = None
        self._silence.stop()
        self._last_result = ending.result
        self._may_have_run = self._may_have_run or ending.may_have_run
        if self.state is RequestState.PASSING:
            self._passed(attempt.server, ending)
        elif ending.result is not AttemptResult.DONE or ending.reply is None:
            self._failed(attempt.server, ending)
        elif not self._answer.begun:
            self._context.report(self, attempt.server.id, ending.result, False)
            self._end_with_reply(ending.reply)
        elif verdict.is_success(ending.reply.status):
            self._went_on_whole(attempt.server, ending.reply)
        else:
            self._failed(attempt.server, verdict.SERVER_ERROR)

    # --- from the watch over its server

    def may_go_elsewhere(self) -> bool:
        """See `SilenceOwner`."""
        if not self.admitted.repeatable or self._body_begun() or not self._time_left():
            return False
        return (not self._answer.begun or self._answer.resumable()) and self._context.may_go_elsewhere(self)

    def server_silent(self) -> None:
        """See `SilenceOwner`."""
        attempt = self._attempt
        assert attempt is not None
        self._drop_attempt()
        self._last_result, self._may_have_run = AttemptResult.TIMEOUT, True
        if self.state is RequestState.PASSING:
            self._stream_broke(attempt.server, AttemptResult.TIMEOUT)
        else:
            self._failed(attempt.server, verdict.TIMEOUT)

    # --- from the client's connection

    def client_left(self) -> None:
        """Nobody waits for it any more, or the rest of its body will not come: the server is to drop it. In the
        second case the client is still there, and answered here: its connection's own 408 would be a promise."""
        if self.state is RequestState.OVER:
            return
        if self._body_begun() and not self.message.complete:
            self._give_up()
            return
        self._withdraw()
        self._change(RequestState.OVER)

    def pause(self) -> None:
        """The client takes no more for now."""
        self._client_paused = self._silence.client_paused = True
        if self._attempt is not None and self.state is RequestState.PASSING:
            self._attempt.pause()

    def resume(self) -> None:
        """It does again."""
        self._client_paused = self._silence.client_paused = False
        self._silence.heard()
        if self._attempt is not None and self.state is RequestState.PASSING:
            self._attempt.resume()

    # --- at the end of the process

    def refuse_unsent(self) -> None:
        """Answer it now if it has not run and does not run."""
        if self.state in UNSENT and not self._answer.begun and not self._may_have_run:
            self._withdraw()
            self._end_with_own(503, STOPPING_RETRY_S)

    def last_moment(self) -> None:
        """The process ends: what can't be answered whole is cut."""
        self._give_up()

    # --- ends of attempts

    def _passed(self, server: Server, ending: Verdict) -> None:
        """The answer that is passed on has come to its end, or broken off."""
        if ending.result is not AttemptResult.DONE:
            self._stream_broke(server, ending.result)
            return
        try:
            rest = self._answer.rest()
        except BrokenStream as error:
            LOG.warning("streams.broken", server=server.id, reason=str(error))
            self._stream_broke(server, AttemptResult.RESET)
            return
        self._context.report(self, server.id, AttemptResult.DONE, False)
        self._end_finished(rest)

    def _stream_broke(self, server: Server, result: AttemptResult) -> None:
        """Go on at another server where that is allowed, else cut."""
        resumable = self._answer.resumable() and not self._body_begun() and self._time_left()
        if resumable:
            self._change(RequestState.WAITING)
        self._context.report(self, server.id, result, resumable)
        if not resumable:
            self._end_cut()

    def _went_on_whole(self, server: Server, reply: Reply) -> None:
        """The rest of a stream came in one piece."""
        try:
            rest = self._answer.go_on_whole(reply)
        except BrokenStream:
            rest = None
        if rest is None:
            self._failed(server, verdict.RESET)
            return
        self._change(RequestState.PASSING)
        self._context.report(self, server.id, AttemptResult.DONE, False)
        self._end_finished(rest)

    def _failed(self, server: Server, ending: Verdict) -> None:
        """An attempt has brought no answer: another one, where the request may be repeated or has not run."""
        if ending.reply is not None:
            self._last_failure = ending.reply
        again = self._may_repeat(ending) and self._time_left()
        if again:
            self._change(RequestState.WAITING)
        self._context.report(self, server.id, ending.result, again)
        if not again:
            self._end_unserved(ending.result, UNSENT_RETRY_S)

    def _may_repeat(self, ending: Verdict) -> bool:
        """Whether it may be sent to another server."""
        if self._body_begun():
            return False
        return self.admitted.repeatable or not (ending.may_have_run or self._may_have_run)

    def _body_begun(self) -> bool:
        """Whether part of a body has gone that is not held here: it can't be sent again."""
        stream = self.message.stream
        return stream is not None and stream.begun

    def _spoilt(self, error: BrokenStream) -> None:
        """What the server sends can't be passed on."""
        attempt = self._attempt
        assert attempt is not None
        LOG.warning("streams.broken", server=attempt.server.id, reason=str(error))
        self._drop_attempt()
        self._may_have_run = True
        self._stream_broke(attempt.server, AttemptResult.RESET)

    def _leave_unsent(self, server: Server) -> None:
        """Nothing was sent to this server, which drains or is gone: back to the router."""
        self._drop_attempt()
        self._change(RequestState.WAITING)
        self._context.report(self, server.id, AttemptResult.CONNECT_FAILED, True)

    def _client_waits(self) -> bool:
        """Whether the client still waits; else it is over. Its end may not have been read yet, which is asked of
        the kernel."""
        if self.message.connection.look():
            self.client_left()
        return self.state is not RequestState.OVER

    def _drop_attempt(self) -> None:
        self._silence.stop()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.abort()

    def _withdraw(self) -> None:
        """Take it back from the server and from the router."""
        self._drop_attempt()
        if self.state is not RequestState.QUOTA:
            self._context.withdraw(self)

    # --- time

    def _time_left(self) -> bool:
        return self._loop.time() < self._ends_at

    def _time_up(self) -> None:
        """The route's time is over, or the client gives up soon. A stream that brings events is answered already:
        it goes on for as long as its client waits."""
        admitted, limit = self.admitted, self.admitted.client_limit
        passed_on = self._silence.client_heard_at > admitted.arrived
        brings_events = self._answer.begun and admitted.route.streaming and passed_on
        if not brings_events or self._ends_at >= limit:
            self._give_up()
            return
        self._ends_at = limit
        self._end_timer = self._loop.call_at(limit, self._time_up)

    # --- its own end

    def _give_up(self) -> None:
        """End it now, whatever is under way."""
        if self.state is RequestState.OVER:
            return
        may_have_run = self._may_have_run or self.state in AT_SERVER
        self._withdraw()
        if self._answer.begun:
            self._end_cut()
        elif may_have_run:
            self._end_with_own(504)
        else:
            self._end_with_own(503, UNSENT_RETRY_S)

    def _end_unserved(self, last: AttemptResult | None, retry_after_s: float) -> None:
        """No server is left that may answer it."""
        if self._answer.begun:
            self._end_cut()
        elif self._last_failure is not None:
            self._end_with_reply(self._last_failure)
        elif self._may_have_run:
            self._end_with_own(504 if last is AttemptResult.TIMEOUT else 502)
        else:
            self._end_with_own(503, retry_after_s)

    def _end_refused(self, refusal: Refusal) -> None:
        """It may not be sent any more. Where a server may have run it, that is no promise."""
        if self._answer.begun:
            self._end_cut()
        elif self._may_have_run and refusal.status in verdict.PROMISES:
            self._end_with_own(502)
        else:
            self._end_with_own(refusal.status, refusal.retry_after_s)

    def _end_with_own(self, status: int, retry_after_s: float = 0.0) -> None:
        self.outcome = f"own_{status}"
        self._change(RequestState.OVER)
        self._answer.send_own(status, retry_after_s)

    def _end_with_reply(self, reply: Reply) -> None:
        self.outcome = f"server_{reply.status}"
        self._change(RequestState.OVER)
        self._answer.send_whole(reply)

    def _end_finished(self, rest: bytes) -> None:
        self.outcome = PASSED_ON
        self._change(RequestState.OVER)
        self._answer.finish(rest)

    def _end_cut(self) -> None:
        self.outcome = CUT
        self._change(RequestState.OVER)
        self._answer.cut()

"""One client request from its admission to its one answer: what each event does in each of its states.

`request_state` has the states and their transitions, `client_response` what the client is sent, `inactivity` the
time-out of a server that sends nothing.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollyport.core.flow import Sink
from hollyport.core.log import LOG
from hollyport.http1.connection import Reply
from hollyport.http1.message import Message
from rosechute.data_plane import attempt_outcome
from rosechute.data_plane.admission import REQUEST_ID, AdmittedRequest, Rejection, serialize_attempt
from rosechute.data_plane.attempt import Attempt
from rosechute.data_plane.attempt_outcome import AttemptOutcome
from rosechute.data_plane.client_response import ClientResponse
from rosechute.data_plane.connection_pool import Server, Servers
from rosechute.data_plane.event_stream import BrokenStreamError
from rosechute.data_plane.inactivity import InactivityWatch
from rosechute.data_plane.request_state import NOT_SENT_STATES, SENT_STATES, RequestState, validated_transition
from rosechute.routing.model import AttemptResult, RejectReason, Send

DEFAULT_RETRY_AFTER_S = 0.25  # when to come back where nothing else tells
SHUTDOWN_RETRY_AFTER_S = 0.05  # when to come back, to another edge
CLIENT_CHECK_AFTER_S = 0.02  # a request that was read so lately has a client


# Outcomes beside `server_<status>` (a server's complete response) and `own_<status>` (a status of the edge's own).
CLIENT_DISCONNECTED = "client_disconnected"
PROXIED = "proxied"  # a response that was forwarded while it arrived, complete
TRUNCATED = "truncated"  # a response that was started and could not be completed


class RequestContext(Protocol):
    """What a request needs of the data plane."""

    loop: asyncio.AbstractEventLoop
    servers: Servers

    def request_quota(self, request: ClientRequest) -> None:
        """Ask whether its tenant's quota allows it; it is told by `on_quota_decision`."""

    def dispatch(self, request: ClientRequest) -> None:
        """Hand it to the router."""

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, again: bool) -> None:
        """Tell the router how an attempt ended or went on."""

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Whether the router would send it to another server now if the one that it is at failed it."""

    def cancel(self, request: ClientRequest) -> None:
        """Tell the router that nothing more is wanted for it."""

    def current_rejection(self, admitted: AdmittedRequest) -> Rejection | None:
        """Why it may not be sent now, by the configuration in force."""

    def on_request_finished(self, request: ClientRequest) -> None:
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
        "_response",
        "_inactivity",
        "_may_have_executed",
        "_last_error_response",
        "_last_result",
        "_client_paused",
        "_deadline",
        "_deadline_timer",
        "outcome",
    )

    def __init__(self, context: RequestContext, message: Message, admitted: AdmittedRequest) -> None:
        self.message, self.admitted = message, admitted
        self.ticket = admitted.routing.ticket
        self.state = RequestState.AWAITING_QUOTA
        self.outcome = CLIENT_DISCONNECTED  # what its client got; of use once it is over
        self._context, self._loop = context, context.loop
        self._attempt: Attempt | None = None
        self._response = ClientResponse(message, admitted)
        self._inactivity = InactivityWatch(self._loop, admitted)
        self._may_have_executed = False  # at some server, in an attempt that has ended
        self._last_error_response: Reply | None = None  # the last failure of a server that may be passed on
        self._last_result: AttemptResult | None = None  # how the last attempt ended
        self._client_paused = False  # whether the client does not take what is passed on
        self._deadline = admitted.answer_deadline  # when it is ended, whatever is under way
        self._deadline_timer = self._loop.call_at(admitted.answer_deadline, self._on_deadline)

    def _change(self, state: RequestState) -> None:
        """The one place where the state changes."""
        self.state = validated_transition(self.state, state)
        if state is RequestState.FINISHED:
            self._deadline_timer.cancel()
            self._inactivity.stop()
            self._release_body()
            self._context.on_request_finished(self)

    def _release_body(self) -> None:
        """Count what no server got of a body as held no longer. While more of it comes, its connection does that."""
        stream = self.message.stream
        if stream is not None and self.message.complete:
            stream.drop()

    # --- before the router

    def start(self) -> None:
        """Ask whether its tenant may, and have it routed."""
        self._context.request_quota(self)

    def on_quota_decision(self, allowed: bool, retry_after_s: float) -> None:
        """The tenant's quota has told."""
        if self.state is not RequestState.AWAITING_QUOTA:
            return
        if not allowed:
            self._finish_with_local_response(429, retry_after_s or DEFAULT_RETRY_AFTER_S)
            return
        self._change(RequestState.QUEUED)
        self._context.dispatch(self)

    # --- from the router

    def on_server_selected(self, action: Send) -> None:
        """Send it to this server now."""
        if self.state is not RequestState.QUEUED:
            return
        server = self._context.servers.find(action.server_id)
        if server is None or not server.ready:
            self._context.report_attempt(self, action.server_id, AttemptResult.CONNECT_FAILED, True)
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

    def on_rejected(self, reason: RejectReason, retry_after_s: float) -> None:
        """The router gives it up."""
        if self.state is RequestState.QUEUED:
            self._finish_without_server(self._last_result, retry_after_s or DEFAULT_RETRY_AFTER_S)

    # --- from its attempt

    def build_request(self, attempt: Attempt) -> bytes | None:
        """See `AttemptOwner`."""
        admitted, server = self.admitted, attempt.server
        refusal = self._context.current_rejection(admitted)
        if refusal is None and (self._is_body_partly_sent() or (self._may_have_executed and not admitted.repeatable)):
            refusal = Rejection(503)  # its body is gone, or a configuration since its first attempt says so
        if refusal is not None:
            self._cancel()
            self._finish_rejected(refusal)
            return None
        if not server.ready:
            self._requeue_not_sent(server)
            return None
        waited = self._loop.time() - admitted.arrived > CLIENT_CHECK_AFTER_S
        if waited and not self._is_client_waiting():
            return None
        if not self._has_time_left():
            self._abort_request()
            return None
        limit = admitted.client_deadline if admitted.route.streaming else admitted.answer_deadline
        self._change(RequestState.SENT)
        self._inactivity.start(self)
        left_s = limit - self._loop.time()
        return serialize_attempt(admitted, server.id, left_s, self._response.resume_point(), self.message.body)

    def on_response_head(self, attempt: Attempt, reply: Reply, length: int | None) -> Sink | None:
        """See `AttemptOwner`. The head of the first server's answer is the client's."""
        if (
            attempt is not self._attempt
            or self.state is not RequestState.SENT
            or not attempt_outcome.is_trusted(reply)
        ):
            return None
        if not (
            self._response.resume_from(reply)
            if self._response.is_started
            else self._response.start(reply, length, self)
        ):
            return None
        self._change(RequestState.STREAMING)
        self._inactivity.is_response_started = True
        self._inactivity.on_bytes_received()
        if self._client_paused:
            attempt.pause()
        self._context.report_attempt(self, attempt.server.id, AttemptResult.HEAD, False)
        return self

    def pass_on(self, data: bytes) -> None:
        """Some more of the answer that is passed on."""
        if self.state is not RequestState.STREAMING:
            return
        self._inactivity.on_bytes_received()
        try:
            if self._response.forward(data):
                self._inactivity.on_event_forwarded()
        except BrokenStreamError as error:
            self._abandon_invalid_stream(error)

    def on_attempt_finished(self, attempt: Attempt, ending: AttemptOutcome) -> None:
        """See `AttemptOwner`."""
        if attempt is not self._attempt or self.state is RequestState.FINISHED:
            return
        self._attempt = None
        self._inactivity.stop()
        self._last_result = ending.result
        self._may_have_executed = self._may_have_executed or ending.may_have_executed
        if self.state is RequestState.STREAMING:
            self._on_streamed_response_end(attempt.server, ending)
        elif ending.result is not AttemptResult.DONE or ending.reply is None:
            self._on_attempt_failed(attempt.server, ending)
        elif not self._response.is_started:
            self._context.report_attempt(self, attempt.server.id, ending.result, False)
            self._finish_with_response(ending.reply)
        elif attempt_outcome.is_success(ending.reply.status):
            self._complete_resumed_stream(attempt.server, ending.reply)
        else:
            self._on_attempt_failed(attempt.server, attempt_outcome.SERVER_ERROR)

    # --- from the watch over its server

    def can_retry_elsewhere(self) -> bool:
        """See `InactivityListener`."""
        if not self.admitted.repeatable or self._is_body_partly_sent() or not self._has_time_left():
            return False
        return (not self._response.is_started or self._response.is_resumable()) and self._context.can_retry_elsewhere(
            self
        )

    def on_server_inactive(self) -> None:
        """See `InactivityListener`."""
        attempt = self._attempt
        assert attempt is not None
        self._drop_attempt()
        self._last_result, self._may_have_executed = AttemptResult.TIMEOUT, True
        if self.state is RequestState.STREAMING:
            self._on_stream_interrupted(attempt.server, AttemptResult.TIMEOUT)
        else:
            self._on_attempt_failed(attempt.server, attempt_outcome.TIMEOUT)

    # --- from the client's connection

    def on_client_disconnected(self) -> None:
        """Nobody waits for it any more, or the rest of its body will not come: the server is to drop it. In the
        second case the client is still there, and answered here: its connection's own 408 would be a promise."""
        if self.state is RequestState.FINISHED:
            return
        if self._is_body_partly_sent() and not self.message.complete:
            self._abort_request()
            return
        self._cancel()
        self._change(RequestState.FINISHED)

    def pause(self) -> None:
        """The client takes no more for now."""
        self._client_paused = self._inactivity.is_client_paused = True
        if self._attempt is not None and self.state is RequestState.STREAMING:
            self._attempt.pause()

    def resume(self) -> None:
        """It does again."""
        self._client_paused = self._inactivity.is_client_paused = False
        self._inactivity.on_bytes_received()
        if self._attempt is not None and self.state is RequestState.STREAMING:
            self._attempt.resume()

    # --- at the end of the process

    def reject_if_not_sent(self) -> None:
        """Answer it now if it has not run and does not run."""
        if self.state in NOT_SENT_STATES and not self._response.is_started and not self._may_have_executed:
            self._cancel()
            self._finish_with_local_response(503, SHUTDOWN_RETRY_AFTER_S)

    def abort_at_shutdown(self) -> None:
        """The process ends: what can't be answered whole is cut."""
        self._abort_request()

    # --- ends of attempts

    def _on_streamed_response_end(self, server: Server, ending: AttemptOutcome) -> None:
        """The answer that is passed on has come to its end, or broken off."""
        if ending.result is not AttemptResult.DONE:
            self._on_stream_interrupted(server, ending.result)
            return
        try:
            rest = self._response.remaining_bytes()
        except BrokenStreamError as error:
            LOG.warning("streams.broken", server=server.id, reason=str(error))
            self._on_stream_interrupted(server, AttemptResult.RESET)
            return
        self._context.report_attempt(self, server.id, AttemptResult.DONE, False)
        self._finish_streamed(rest)

    def _on_stream_interrupted(self, server: Server, result: AttemptResult) -> None:
        """Go on at another server where that is allowed, else cut."""
        resumable = self._response.is_resumable() and not self._is_body_partly_sent() and self._has_time_left()
        if resumable:
            self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, result, resumable)
        if not resumable:
            self._finish_truncated()

    def _complete_resumed_stream(self, server: Server, reply: Reply) -> None:
        """The rest of a stream came in one piece."""
        try:
            rest = self._response.resume_with_complete_response(reply)
        except BrokenStreamError:
            rest = None
        if rest is None:
            self._on_attempt_failed(server, attempt_outcome.RESET)
            return
        self._change(RequestState.STREAMING)
        self._context.report_attempt(self, server.id, AttemptResult.DONE, False)
        self._finish_streamed(rest)

    def _on_attempt_failed(self, server: Server, ending: AttemptOutcome) -> None:
        """An attempt has brought no answer: another one, where the request may be repeated or has not run."""
        if ending.reply is not None:
            self._last_error_response = ending.reply
        again = self._can_retry(ending) and self._has_time_left()
        if again:
            self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, ending.result, again)
        if not again:
            self._finish_without_server(ending.result, DEFAULT_RETRY_AFTER_S)

    def _can_retry(self, ending: AttemptOutcome) -> bool:
        """Whether it may be sent to another server."""
        if self._is_body_partly_sent():
            return False
        return self.admitted.repeatable or not (ending.may_have_executed or self._may_have_executed)

    def _is_body_partly_sent(self) -> bool:
        """Whether part of a body has gone that is not held here: it can't be sent again."""
        stream = self.message.stream
        return stream is not None and stream.begun

    def _abandon_invalid_stream(self, error: BrokenStreamError) -> None:
        """What the server sends can't be passed on."""
        attempt = self._attempt
        assert attempt is not None
        LOG.warning("streams.broken", server=attempt.server.id, reason=str(error))
        self._drop_attempt()
        self._may_have_executed = True
        self._on_stream_interrupted(attempt.server, AttemptResult.RESET)

    def _requeue_not_sent(self, server: Server) -> None:
        """Nothing was sent to this server, which drains or is gone: back to the router."""
        self._drop_attempt()
        self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, AttemptResult.CONNECT_FAILED, True)

    def _is_client_waiting(self) -> bool:
        """Whether the client still waits; else it is over. Its end may not have been read yet, which is asked of
        the kernel."""
        if self.message.connection.look():
            self.on_client_disconnected()
        return self.state is not RequestState.FINISHED

    def _drop_attempt(self) -> None:
        self._inactivity.stop()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.abort()

    def _cancel(self) -> None:
        """Take it back from the server and from the router."""
        self._drop_attempt()
        if self.state is not RequestState.AWAITING_QUOTA:
            self._context.cancel(self)

    # --- time

    def _has_time_left(self) -> bool:
        return self._loop.time() < self._deadline

    def _on_deadline(self) -> None:
        """The route's time is over, or the client gives up soon. A stream that brings events is answered already:
        it goes on for as long as its client waits."""
        admitted, limit = self.admitted, self.admitted.client_deadline
        passed_on = self._inactivity.last_forwarded_at > admitted.arrived
        brings_events = self._response.is_started and admitted.route.streaming and passed_on
        if not brings_events or self._deadline >= limit:
            self._abort_request()
            return
        self._deadline = limit
        self._deadline_timer = self._loop.call_at(limit, self._on_deadline)

    # --- its own end

    def _abort_request(self) -> None:
        """End it now, whatever is under way."""
        if self.state is RequestState.FINISHED:
            return
        may_have_executed = self._may_have_executed or self.state in SENT_STATES
        self._cancel()
        if self._response.is_started:
            self._finish_truncated()
        elif may_have_executed:
            self._finish_with_local_response(504)
        else:
            self._finish_with_local_response(503, DEFAULT_RETRY_AFTER_S)

    def _finish_without_server(self, last: AttemptResult | None, retry_after_s: float) -> None:
        """No server is left that may answer it."""
        if self._response.is_started:
            self._finish_truncated()
        elif self._last_error_response is not None:
            self._finish_with_response(self._last_error_response)
        elif self._may_have_executed:
            self._finish_with_local_response(504 if last is AttemptResult.TIMEOUT else 502)
        else:
            self._finish_with_local_response(503, retry_after_s)

    def _finish_rejected(self, refusal: Rejection) -> None:
        """It may not be sent any more. Where a server may have run it, that is no promise."""
        if self._response.is_started:
            self._finish_truncated()
        elif self._may_have_executed and refusal.status in attempt_outcome.NOT_EXECUTED_STATUSES:
            self._finish_with_local_response(502)
        else:
            self._finish_with_local_response(refusal.status, refusal.retry_after_s)

    def _finish_with_local_response(self, status: int, retry_after_s: float = 0.0) -> None:
        self.outcome = f"own_{status}"
        self._change(RequestState.FINISHED)
        self._response.send_local_response(status, retry_after_s)

    def _finish_with_response(self, reply: Reply) -> None:
        self.outcome = f"server_{reply.status}"
        self._change(RequestState.FINISHED)
        self._response.send_complete_response(reply)

    def _finish_streamed(self, rest: bytes) -> None:
        self.outcome = PROXIED
        self._change(RequestState.FINISHED)
        self._response.finish(rest)

    def _finish_truncated(self) -> None:
        self.outcome = TRUNCATED
        self._change(RequestState.FINISHED)
        self._response.truncate()

"""State machine of one client request, from its admission to its response.

The states and their transitions are defined in `request_state`. `client_response` sends the response, and
`inactivity` detects servers that send nothing.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from rosechute.data_plane import attempt_outcome
from rosechute.data_plane.admission import AdmittedRequest, Rejection
from rosechute.data_plane.attempt import Attempt
from rosechute.data_plane.attempt_outcome import AttemptOutcome
from rosechute.data_plane.client_response import ClientResponse
from rosechute.data_plane.connection_pool import ConnectionPool, ServerConnections
from rosechute.data_plane.event_stream import BrokenStreamError
from rosechute.data_plane.inactivity import InactivityWatch
from rosechute.data_plane.request_headers import REQUEST_ID
from rosechute.data_plane.request_state import NOT_SENT_STATES, SENT_STATES, RequestState, validated_transition
from rosechute.data_plane.server_request import serialize_attempt
from rosechute.proxy.core.flow import Sink
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.message import Message
from rosechute.routing.model import AttemptResult, RejectReason, Send

DEFAULT_RETRY_AFTER_S = 0.25  # `Retry-After` if there is no better estimate
SHUTDOWN_RETRY_AFTER_S = 0.05  # `Retry-After` while this edge shuts down: another edge can serve at once
CLIENT_CHECK_AFTER_S = 0.02  # for older requests, check before sending that the client is still connected


# Outcomes in addition to `server_<status>` (complete response of a server) and `own_<status>` (response of the edge).
CLIENT_DISCONNECTED = "client_disconnected"
PROXIED = "proxied"  # a complete response that was forwarded as it arrived
TRUNCATED = "truncated"  # a response that was started but not completed


class RequestContext(Protocol):
    """The interface of the data plane that a request uses."""

    loop: asyncio.AbstractEventLoop
    pool: ConnectionPool

    def request_quota(self, request: ClientRequest) -> None:
        """Request tokens of the tenant's quota; `on_quota_decision` is called exactly once."""

    def dispatch(self, request: ClientRequest) -> None:
        """Have the router select a server; `on_server_selected` or `on_rejected` is called."""

    def report_attempt(self, request: ClientRequest, server_id: str, result: AttemptResult, will_retry: bool) -> None:
        """Report the progress or the end of an attempt to the router; `will_retry` asks for another server."""

    def can_retry_elsewhere(self, request: ClientRequest) -> bool:
        """Return whether the router would select another server now if the current one failed."""

    def cancel(self, request: ClientRequest) -> None:
        """Withdraw the request from the router."""

    def current_rejection(self, admitted: AdmittedRequest) -> Rejection | None:
        """Return a rejection if the configuration in force forbids sending the request; otherwise None."""

    def on_request_finished(self, request: ClientRequest) -> None:
        """Remove the request, which has finished."""


class ClientRequest:
    """One request of a client.

    Attributes:
        message: The request as it was received.
        admitted: The result of its admission.
        ticket: Identifies the request at the router.
        state: Current state; only `_change` changes it.
        outcome: The kind of response, for statistics; valid once the request is finished.
    """

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
        "_charged",
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
        self.outcome = CLIENT_DISCONNECTED
        self._context, self._loop = context, context.loop
        self._attempt: Attempt | None = None
        self._response = ClientResponse(message, admitted)
        self._inactivity = InactivityWatch(self._loop, admitted)
        self._may_have_executed = False  # by a server, in an attempt that has ended
        self._last_error_response: Reply | None = None  # server's response that is sent if no retry succeeds
        self._charged = 0  # bytes of servers' responses that are charged to the budget
        self._last_result: AttemptResult | None = None  # result of the last attempt that has ended
        self._client_paused = False  # whether the client accepts no more bytes for now
        self._deadline = admitted.answer_deadline  # time at which the request is aborted in any state
        self._deadline_timer = self._loop.call_at(admitted.answer_deadline, self._on_deadline)

    def _change(self, state: RequestState) -> None:
        """Change the state; clean up if the request is finished."""
        self.state = validated_transition(self.state, state)
        if state is RequestState.FINISHED:
            self._deadline_timer.cancel()
            self._inactivity.stop()
            self._release_body()
            self._context.pool.budget.give_response(self._charged)
            self._charged = 0
            self._context.on_request_finished(self)

    def _release_body(self) -> None:
        """Release the memory of a body that was not sent. Its connection releases an incomplete body."""
        stream = self.message.stream
        if stream is not None and self.message.complete:
            stream.drop()

    # --- quota

    def start(self) -> None:
        """Request tokens of the tenant's quota. Routing starts once they are granted."""
        self._context.request_quota(self)

    def on_quota_decision(self, allowed: bool, retry_after_s: float) -> None:
        """Have the request routed if the quota allows it; otherwise reject it with 429."""
        if self.state is not RequestState.AWAITING_QUOTA:
            return
        if not allowed:
            self._finish_with_local_response(429, retry_after_s or DEFAULT_RETRY_AFTER_S)
            return
        self._change(RequestState.QUEUED)
        self._context.dispatch(self)

    # --- events of the router

    def on_server_selected(self, action: Send) -> None:
        """Start an attempt at the selected server."""
        if self.state is not RequestState.QUEUED:
            return
        server = self._context.pool.find(action.server_id)
        if server is None or not server.ready:
            # Nothing was sent. The router has to stop using a server that is draining or was removed.
            self._context.report_attempt(self, action.server_id, AttemptResult.CONNECT_FAILED, True)
            return
        self._change(RequestState.CONNECTING)
        admitted = self.admitted
        self._attempt = Attempt(
            self._context.pool,
            self._loop,
            server,
            self,
            (REQUEST_ID, admitted.request_id),
            self.message.stream,
            admitted.route.streaming,
        )
        self._attempt.start()

    def on_rejected(self, reason: RejectReason, retry_after_s: float) -> None:
        """Finish the request: the router has no server for it."""
        if self.state is RequestState.QUEUED:
            self._finish_without_server(self._last_result, retry_after_s or DEFAULT_RETRY_AFTER_S)

    # --- AttemptOwner

    def build_request(self, attempt: Attempt) -> bytes | None:
        """See `AttemptOwner`. Checks again that the request may be sent, as time has passed since its admission."""
        admitted, server = self.admitted, attempt.server
        rejection = self._context.current_rejection(admitted)
        if rejection is None and (
            self._is_body_partly_sent() or (self._may_have_executed and not admitted.repeatable)
        ):
            # The body can't be sent again, or a newer configuration has made the route non-repeatable.
            rejection = Rejection(503)
        if rejection is not None:
            self._cancel()
            self._finish_rejected(rejection)
            return None
        if not server.ready:
            self._requeue_not_sent(server)
            return None
        check_client = self._loop.time() - admitted.arrived > CLIENT_CHECK_AFTER_S
        if check_client and not self._is_client_waiting():
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
        """See `AttemptOwner`. Starts the client's response, or resumes it with that of another server."""
        if (
            attempt is not self._attempt
            or self.state is not RequestState.SENT
            or not attempt_outcome.is_trusted(reply)
        ):
            return None
        response = self._response
        if not (response.resume_from(reply) if response.is_started else response.start(reply, length, self)):
            return None
        self._change(RequestState.STREAMING)
        self._inactivity.is_response_started = True
        self._inactivity.on_bytes_received()
        if self._client_paused:
            attempt.pause()
        self._context.report_attempt(self, attempt.server.id, AttemptResult.HEAD, False)
        return self

    def pass_on(self, data: bytes) -> int:
        """Forward bytes of the server's response to the client. See `rosechute.proxy.core.flow.Sink`."""
        if self.state is not RequestState.STREAMING:
            return 0
        self._inactivity.on_bytes_received()
        try:
            if self._response.forward(data):
                self._inactivity.on_event_forwarded()
            self._charge_held()
        except BrokenStreamError as error:
            self._abandon_invalid_stream(error)
        return self._response.calls_for(data)

    def _charge_held(self) -> None:
        """Charge the budget for what is held of servers' responses.

        Raises:
            BrokenStreamError: an incomplete event takes more memory than its share.
        """
        if self.state is RequestState.FINISHED:
            return  # what was forwarded last had this request give way
        budget = self._context.pool.budget
        held = self._response.held_bytes
        is_over = held > budget.response_share
        if self._last_error_response is not None:
            held += self._last_error_response.memory_bytes
        budget.take_response(held - self._charged)
        self._charged = held
        if is_over:
            raise BrokenStreamError("event exceeds its share of the memory")

    def on_attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """See `AttemptOwner`."""
        if attempt is not self._attempt or self.state is RequestState.FINISHED:
            return
        self._attempt = None
        self._inactivity.stop()
        self._last_result = outcome.result
        self._may_have_executed = self._may_have_executed or outcome.may_have_executed
        if self.state is RequestState.STREAMING:
            self._on_streamed_response_end(attempt.server, outcome)
        elif outcome.result is not AttemptResult.DONE or outcome.reply is None:
            self._on_attempt_failed(attempt.server, outcome)
        elif not self._response.is_started:
            self._context.report_attempt(self, attempt.server.id, outcome.result, False)
            self._finish_with_response(outcome.reply)
        elif attempt_outcome.is_success(outcome.reply.status):
            self._complete_resumed_stream(attempt.server, outcome.reply)
        else:
            self._on_attempt_failed(attempt.server, attempt_outcome.SERVER_ERROR)

    # --- InactivityListener

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
        self._abort_attempt()
        self._last_result, self._may_have_executed = AttemptResult.TIMEOUT, True
        if self.state is RequestState.STREAMING:
            self._on_stream_interrupted(attempt.server, AttemptResult.TIMEOUT)
        else:
            self._on_attempt_failed(attempt.server, attempt_outcome.TIMEOUT)

    # --- events of the client's connection

    def on_client_disconnected(self) -> None:
        """Abort the request: its client has disconnected, or its body has timed out.

        After a time-out the client is still connected and gets its response here. The 408 that its connection would
        send guarantees that the request was not executed, which is unknown if a server has part of the body.
        """
        if self.state is RequestState.FINISHED:
            return
        if self._is_body_partly_sent() and not self.message.complete:
            self._abort_request()
            return
        self._cancel()
        self._change(RequestState.FINISHED)

    def pause(self) -> None:
        """Pause the server's response: the client accepts no more for now. See `rosechute.proxy.core.flow.Source`."""
        self._client_paused = self._inactivity.is_client_paused = True
        if self._attempt is not None and self.state is RequestState.STREAMING:
            self._attempt.pause()

    def resume(self) -> None:
        """Resume the server's response."""
        self._client_paused = self._inactivity.is_client_paused = False
        self._inactivity.on_bytes_received()
        if self._attempt is not None and self.state is RequestState.STREAMING:
            self._attempt.resume()

    # --- shutdown and internal errors

    def reject_if_not_sent(self) -> None:
        """Reject the request with 503 unless a server may have executed it or may be executing it."""
        if self.state in NOT_SENT_STATES and not self._response.is_started and not self._may_have_executed:
            self._cancel()
            self._finish_with_local_response(503, SHUTDOWN_RETRY_AFTER_S)

    def abort(self) -> None:
        """Finish the request now, on shutdown or after an internal error. A started response is truncated."""
        self._abort_request()

    # --- attempt outcomes

    def _on_streamed_response_end(self, server: ServerConnections, outcome: AttemptOutcome) -> None:
        """Finish the forwarded response; if it was interrupted, resume it on another server."""
        if outcome.result is not AttemptResult.DONE:
            self._on_stream_interrupted(server, outcome.result)
            return
        try:
            remaining = self._response.remaining_bytes()
        except BrokenStreamError as error:
            LOG.warning("streams.broken", server=server.id, reason=str(error))
            self._on_stream_interrupted(server, AttemptResult.RESET)
            return
        self._context.report_attempt(self, server.id, AttemptResult.DONE, False)
        self._finish_streamed(remaining)

    def _on_stream_interrupted(self, server: ServerConnections, result: AttemptResult) -> None:
        """Resume the response on another server if possible; otherwise truncate it."""
        resumable = self._response.is_resumable() and not self._is_body_partly_sent() and self._has_time_left()
        if resumable:
            self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, result, resumable)
        if not resumable:
            self._finish_truncated()

    def _complete_resumed_stream(self, server: ServerConnections, reply: Reply) -> None:
        """Finish a resumed stream whose remaining events arrived in a complete response."""
        try:
            remaining = self._response.resume_with_complete_response(reply)
        except BrokenStreamError:
            remaining = None
        if remaining is None:
            self._on_attempt_failed(server, attempt_outcome.RESET)
            return
        self._change(RequestState.STREAMING)
        self._context.report_attempt(self, server.id, AttemptResult.DONE, False)
        self._finish_streamed(remaining)

    def _on_attempt_failed(self, server: ServerConnections, outcome: AttemptOutcome) -> None:
        """Retry on another server if the request is repeatable or has not been executed; otherwise finish it."""
        if outcome.reply is not None:
            self._last_error_response = outcome.reply
            self._charge_held()
        will_retry = self._can_retry(outcome) and self._has_time_left()
        if will_retry:
            self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, outcome.result, will_retry)
        if not will_retry:
            self._finish_without_server(outcome.result, DEFAULT_RETRY_AFTER_S)

    def _can_retry(self, outcome: AttemptOutcome) -> bool:
        """Return whether the request may be sent to another server after this outcome."""
        if self._is_body_partly_sent():
            return False
        return self.admitted.repeatable or not (outcome.may_have_executed or self._may_have_executed)

    def _is_body_partly_sent(self) -> bool:
        """Return whether part of a streamed body was sent. It is not buffered, so the request can't be sent again."""
        stream = self.message.stream
        return stream is not None and stream.begun

    def _abandon_invalid_stream(self, error: BrokenStreamError) -> None:
        """Abort the attempt: its server sent events that can't continue the stream."""
        attempt = self._attempt
        assert attempt is not None
        LOG.warning("streams.broken", server=attempt.server.id, reason=str(error))
        self._abort_attempt()
        self._may_have_executed = True
        self._on_stream_interrupted(attempt.server, AttemptResult.RESET)

    def _requeue_not_sent(self, server: ServerConnections) -> None:
        """Route the request again: the server is draining or was removed, and nothing was sent to it."""
        self._abort_attempt()
        self._change(RequestState.QUEUED)
        self._context.report_attempt(self, server.id, AttemptResult.CONNECT_FAILED, True)

    def _is_client_waiting(self) -> bool:
        """Return whether the client is still connected; finish the request if it is not.

        This checks the socket, as the client's close may not have been read yet.
        """
        if self.message.connection.check_disconnected():
            self.on_client_disconnected()
        return self.state is not RequestState.FINISHED

    def _abort_attempt(self) -> None:
        self._inactivity.stop()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.abort()

    def _cancel(self) -> None:
        """Abort the attempt and withdraw the request from the router."""
        self._abort_attempt()
        if self.state is not RequestState.AWAITING_QUOTA:
            self._context.cancel(self)

    # --- deadline

    def _has_time_left(self) -> bool:
        return self._loop.time() < self._deadline

    def _on_deadline(self) -> None:
        """Abort the request: its route's time-out has passed, or its client is about to give up.

        The route's time-out does not apply to a stream that has delivered events: it may continue up to the client's
        deadline.
        """
        admitted, limit = self.admitted, self.admitted.client_deadline
        has_forwarded = self._inactivity.last_forwarded_at > admitted.arrived
        is_delivering = self._response.is_started and admitted.route.streaming and has_forwarded
        if not is_delivering or self._deadline >= limit:
            self._abort_request()
            return
        self._deadline = limit
        self._deadline_timer = self._loop.call_at(limit, self._on_deadline)

    # --- end of the request

    def _abort_request(self) -> None:
        """Finish the request now, in any state."""
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
        """Finish a request that can't be sent to a further server."""
        if self._response.is_started:
            self._finish_truncated()
        elif self._last_error_response is not None:
            self._finish_with_response(self._last_error_response)
        elif self._may_have_executed:
            self._finish_with_local_response(504 if last is AttemptResult.TIMEOUT else 502)
        else:
            self._finish_with_local_response(503, retry_after_s)

    def _finish_rejected(self, rejection: Rejection) -> None:
        """Finish a request that may not be sent any more.

        If a server may have executed it, a status that implies the opposite is replaced by 502.
        """
        if self._response.is_started:
            self._finish_truncated()
        elif self._may_have_executed and rejection.status in attempt_outcome.NOT_EXECUTED_STATUSES:
            self._finish_with_local_response(502)
        else:
            self._finish_with_local_response(rejection.status, rejection.retry_after_s)

    def _finish_with_local_response(self, status: int, retry_after_s: float = 0.0) -> None:
        self.outcome = f"own_{status}"
        self._change(RequestState.FINISHED)
        self._response.send_local_response(status, retry_after_s)

    def _finish_with_response(self, reply: Reply) -> None:
        self.outcome = f"server_{reply.status}"
        self._change(RequestState.FINISHED)
        self._response.send_complete_response(reply)

    def _finish_streamed(self, remaining: bytes) -> None:
        self.outcome = PROXIED
        self._change(RequestState.FINISHED)
        self._response.finish(remaining)

    def _finish_truncated(self) -> None:
        self.outcome = TRUNCATED
        self._change(RequestState.FINISHED)
        self._response.truncate()

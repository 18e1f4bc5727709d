"""Graceful shutdown of an edge: every accepted request gets its response, as far as the grace period allows."""

from __future__ import annotations

import asyncio

from rosechute.data_plane.admission import AdmittedRequest, completion_deadline
from rosechute.data_plane.client_listener import ClientListener
from rosechute.data_plane.request_state import NOT_SENT_STATES
from rosechute.data_plane.route_durations import RouteDurations
from rosechute.proxy.core.log import LOG

MIN_DRAIN_S = 2.5  # for so long clients may still be sent here: readiness checks need time to fail
RESPONSE_QUANTILE = 0.9  # of its route's durations, by which the duration of a request is estimated
STREAM_QUANTILE = 0.75  # the same for streams: a rejection may cost their clients as much as a truncation
EARLY_STREAM_WINDOW_S = 2.5  # from the begin; a stream that arrives later must not be truncated
LATE_STREAM_FACTOR = 3.0  # such a stream needs this many times its route's longest recent duration
STOP_ACCEPTING_BEFORE_END_S = 0.7  # before the end: from then on no connection is accepted and no request sent
ABORT_BEFORE_END_S = 0.15  # before the end: open requests are aborted
CLIENT_READ_TIMEOUT_S = 0.3  # for clients to read their last response
POLL_INTERVAL_S = 0.02


class Shutdown:
    """One graceful shutdown. It begins when this object is made.

    Args:
        loop: The event loop.
        listener: Accepts the clients' connections; starts draining at once.
        durations: Recent durations by route, for estimates.
        grace_s: Seconds from the begin to the end of the process.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: ClientListener, durations: RouteDurations, grace_s: float
    ) -> None:
        self._loop, self._clients, self._durations = loop, listener, durations
        self._begun = loop.time()
        self._end = self._begun + grace_s
        self._abort_at = self._end - ABORT_BEFORE_END_S
        listener.drain()

    def can_finish_in_time(self, admitted: AdmittedRequest) -> bool:
        """Return whether a request that is sent to a server now finishes before open requests are aborted.

        Its deadline or its route's time-out may guarantee it. Otherwise the duration is estimated. An estimate that
        is too low costs a 504, but truncates a stream that has started: for a stream that arrives when clients need
        not come here any more, the estimate has a wide margin.
        """
        if completion_deadline(admitted) <= self._abort_at:
            return True
        estimated_s = self._estimated_s(admitted)
        return estimated_s is not None and self._loop.time() + estimated_s <= self._abort_at

    def _estimated_s(self, admitted: AdmittedRequest) -> float | None:
        """Estimate the duration of a request in seconds; None where too few are known to take the risk."""
        route = admitted.route
        if not route.streaming:
            quantile_s = self._durations.quantile_s(route.name, RESPONSE_QUANTILE)
            return quantile_s if quantile_s is not None else route.target_latency_ms / 1e3
        if admitted.arrived <= self._begun + EARLY_STREAM_WINDOW_S:
            quantile_s = self._durations.quantile_s(route.name, STREAM_QUANTILE)
            return quantile_s if quantile_s is not None else 0.0
        maximum_s = self._durations.maximum_s(route.name)
        return maximum_s * LATE_STREAM_FACTOR if maximum_s is not None else None

    async def finish(self) -> None:
        """Serve until nothing is open or the time is over, then abort what is open."""
        listener = self._clients.listener
        while not self._is_idle():
            now = self._loop.time()
            if now >= self._abort_at:
                break
            if now >= self._end - STOP_ACCEPTING_BEFORE_END_S:
                self._stop_accepting()
            else:
                self._reject_unfinishable()
            await asyncio.sleep(POLL_INTERVAL_S)
        listener.close()
        self._abort_open_requests()
        await self._wait_for_clients_to_read()

    def _abort_open_requests(self) -> None:
        """Abort the requests that are still open."""
        requests = list(self._clients.requests.values())
        if requests:
            arrived_after_begin = sum(request.admitted.arrived > self._begun for request in requests)
            LOG.warning("shutdown.cut", requests=len(requests), arrived_after_signal=arrived_after_begin)
        for request in requests:
            request.abort()

    async def _wait_for_clients_to_read(self) -> None:
        """Wait for clients to read their last responses: the end of the process resets unread connections."""
        until = min(self._loop.time() + CLIENT_READ_TIMEOUT_S, self._end - POLL_INTERVAL_S)
        await asyncio.sleep(POLL_INTERVAL_S)
        while self._clients.listener.connections and self._loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        """Return whether nothing is open and no client is sent here any more."""
        if self._loop.time() < self._begun + MIN_DRAIN_S:
            return False
        listener = self._clients.listener
        has_open = len(listener.connections) > len(listener.leaving) or listener.sending()
        if listener.accepting and has_open:
            return False
        listener.close()  # accepts what the kernel has queued, and stops listening once the queue is empty
        return not listener.busy()

    def _reject_unfinishable(self) -> None:
        """Reject requests that are not at a server and could not finish in time: another edge may serve them."""
        for request in list(self._clients.requests.values()):
            if request.state in NOT_SENT_STATES and not self.can_finish_in_time(request.admitted):
                request.reject_if_not_sent()

    def _stop_accepting(self) -> None:
        """Accept what the kernel has queued, and reject every request that is not at a server."""
        self._clients.is_rejecting = True
        self._clients.listener.close()
        for request in list(self._clients.requests.values()):
            request.reject_if_not_sent()

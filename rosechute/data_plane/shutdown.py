"""Graceful shutdown of an edge: requests in progress get their responses within the grace period."""

from __future__ import annotations

import asyncio

from rosechute.data_plane.admission import AdmittedRequest, completion_deadline
from rosechute.data_plane.client_listener import ClientListener
from rosechute.data_plane.request_state import NOT_SENT_STATES
from rosechute.data_plane.route_durations import RouteDurations
from rosechute.proxy.core.log import LOG

MIN_DRAIN_S = 2.5  # clients may still be directed to this edge until its readiness checks have failed
RESPONSE_QUANTILE = 0.9  # quantile of its route's durations that estimates the duration of a request
STREAM_QUANTILE = 0.75  # lower for streams: a rejection may cost a client as much as a truncation
EARLY_STREAM_WINDOW_S = 2.5  # after the start; streams that arrive later must not be truncated
LATE_STREAM_FACTOR = 3.0  # such a stream is admitted if this multiple of its route's longest recent duration is left
STOP_ACCEPTING_BEFORE_END_S = 0.7  # time before the end at which accepting connections and sending requests stops
ABORT_BEFORE_END_S = 0.15  # time before the end at which open requests are aborted
CLIENT_READ_TIMEOUT_S = 0.3  # time for clients to read their last response
POLL_INTERVAL_S = 0.02


class Shutdown:
    """A graceful shutdown, which starts when this object is created.

    Args:
        loop: The event loop.
        listener: Listener for clients; starts draining at once.
        durations: Recent durations by route, which are used for estimates.
        grace_s: Seconds from the start of the shutdown to the end of the process.
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

        The request's deadline or its route's time-out may guarantee it; otherwise its duration is estimated. If the
        estimate is too low, a request gets a 504, but a started stream is truncated. The estimate therefore has a
        wide margin for streams that arrive when clients need not use this edge any more.
        """
        if completion_deadline(admitted) <= self._abort_at:
            return True
        estimated_s = self._estimated_s(admitted)
        return estimated_s is not None and self._loop.time() + estimated_s <= self._abort_at

    def _estimated_s(self, admitted: AdmittedRequest) -> float | None:
        """Return the estimated duration of a request in seconds; None if there are too few samples."""
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
        """Serve until no request is in progress or the time is over, then abort open requests."""
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
        """Wait for clients to read their last responses: exiting resets connections with unread data."""
        until = min(self._loop.time() + CLIENT_READ_TIMEOUT_S, self._end - POLL_INTERVAL_S)
        await asyncio.sleep(POLL_INTERVAL_S)
        while self._clients.listener.connections and self._loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        """Return whether no request is in progress and no client is directed to this edge any more."""
        if self._loop.time() < self._begun + MIN_DRAIN_S:
            return False
        listener = self._clients.listener
        has_open = len(listener.connections) > len(listener.lingering) or listener.sending()
        if listener.accepting and has_open:
            return False
        listener.close()  # accepts the connections in the kernel's queue, and stops listening once it is empty
        return not listener.busy()

    def _reject_unfinishable(self) -> None:
        """Reject unsent requests that could not finish in time: another edge may serve them."""
        for request in list(self._clients.requests.values()):
            if request.state in NOT_SENT_STATES and not self.can_finish_in_time(request.admitted):
                request.reject_if_not_sent()

    def _stop_accepting(self) -> None:
        """Accept the connections in the kernel's queue, and reject every request that has not been sent."""
        self._clients.is_rejecting = True
        self._clients.listener.close()
        for request in list(self._clients.requests.values()):
            request.reject_if_not_sent()

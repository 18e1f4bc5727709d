"""The end of an edge process: everything that was taken is answered, for as long as there is time."""

from __future__ import annotations

import asyncio

from hollyport.core.log import LOG
from rosechute.data_plane.admission import AdmittedRequest, completion_deadline
from rosechute.data_plane.client_listener import Front
from rosechute.data_plane.request_state import NOT_SENT_STATES
from rosechute.data_plane.route_durations import RouteDurations

MIN_DRAIN_S = 2.5  # for so long clients may come that were sent here before the process was seen not to be ready
RESPONSE_QUANTILE = 0.9  # of the requests of a route that end within the time for which one is taken
STREAM_QUANTILE = 0.75  # the same of streams: to be refused may cost them as much as to be cut
EARLY_STREAM_WINDOW_S = 2.5  # from the begin: a stream that arrives later must not be cut
LATE_STREAM_FACTOR = (
    3.0  # a stream like that must have this many times as long as the longest of its route took lately
)
STOP_ACCEPTING_BEFORE_END_S = (
    0.7  # before the end of the time: no connection is taken any more, and nothing new is sent
)
ABORT_BEFORE_END_S = 0.15  # before the end of the time: what is still open is ended
CLIENT_READ_TIMEOUT_S = 0.3  # for so long at most clients that had their last answer are waited for
POLL_INTERVAL_S = 0.02  # how often it is looked at whether all is done


class Shutdown:
    """One orderly end, within `grace_s` of its begin."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, front: Front, durations: RouteDurations, grace_s: float
    ) -> None:
        self._loop, self._front, self._durations = loop, front, durations
        self._begun = loop.time()
        self._end = self._begun + grace_s
        self._abort_at = self._end - ABORT_BEFORE_END_S
        front.drain()

    def can_finish_in_time(self, admitted: AdmittedRequest) -> bool:
        """Whether a request that is sent to a server now ends before what is open then is ended.

        Its deadline or its route's timeout makes sure of it. Else it is estimated. An estimate that fails costs an
        answer of our own, 504, but cuts a stream that has begun: for one that arrives when clients need not come here
        any more the estimate has a wide margin.
        """
        if completion_deadline(admitted) <= self._abort_at:
            return True
        expected_s = self._expected_s(admitted)
        return expected_s is not None and self._loop.time() + expected_s <= self._abort_at

    def _expected_s(self, admitted: AdmittedRequest) -> float | None:
        """How long a request takes at the most, by what its route's requests took lately; None where too little is
        known to take the risk."""
        route = admitted.route
        if not route.streaming:
            usual_s = self._durations.quantile_s(route.name, RESPONSE_QUANTILE)
            return usual_s if usual_s is not None else route.target_latency_ms / 1e3
        if admitted.arrived <= self._begun + EARLY_STREAM_WINDOW_S:
            usual_s = self._durations.quantile_s(route.name, STREAM_QUANTILE)
            return usual_s if usual_s is not None else 0.0
        maximum_s = self._durations.maximum_s(route.name)
        return maximum_s * LATE_STREAM_FACTOR if maximum_s is not None else None

    async def finish(self) -> None:
        """Serve on until nothing is open, and end what is open then."""
        listener = self._front.listener
        while not self._idle():
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
        """End what is open: the time is over."""
        requests = list(self._front.requests.values())
        if requests:
            late = sum(request.admitted.arrived > self._begun for request in requests)
            LOG.warning("shutdown.cut", requests=len(requests), came_after_the_signal=late)
        for request in requests:
            request.abort_at_shutdown()

    async def _wait_for_clients_to_read(self) -> None:
        """Leave clients the time to read their last answers: what ends with bytes unread takes them along."""
        until = min(self._loop.time() + CLIENT_READ_TIMEOUT_S, self._end - POLL_INTERVAL_S)
        await asyncio.sleep(POLL_INTERVAL_S)
        while self._front.listener.connections and self._loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _idle(self) -> bool:
        """Whether nothing is open, and nobody is sent here any more."""
        if self._loop.time() < self._begun + MIN_DRAIN_S:
            return False
        listener = self._front.listener
        open_ones = len(listener.connections) > len(listener.leaving) or listener.sending()
        if listener.accepting and open_ones:
            return False
        listener.close()  # takes what the machine has accepted, and leaves the queue once it is empty
        return not listener.busy()

    def _reject_unfinishable(self) -> None:
        """Answer at once what is not at a server and would not end there in time: another edge may serve it."""
        for request in list(self._front.requests.values()):
            if request.state in NOT_SENT_STATES and not self.can_finish_in_time(request.admitted):
                request.reject_if_not_sent()

    def _stop_accepting(self) -> None:
        """Take what the machine has accepted, and answer at once what is not at a server."""
        self._front.refusing = True
        self._front.listener.close()
        for request in list(self._front.requests.values()):
            request.reject_if_not_sent()

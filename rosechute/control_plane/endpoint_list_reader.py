"""Periodic reads of the platform's endpoint list while this machine holds the leader lease.

One read fetches all pages. The term of the leader lease is the fencing token of the read: the list is delivered only
if the lease was held in the same term before each call and after the last one, since another leader may have
published a newer list in the meantime. If a read fails, the previous list stays in force.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from loguru import logger
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

from .endpoint_list_page import EndpointListError, EndpointListPage

INTERVAL_S = 0.5  # from the start of one read to the start of the next
JITTER = 0.1  # the interval varies by up to this fraction in both directions
RETRY_S = 0.25  # delay after a failed read
RATE_SHARE = 0.4  # fraction of the platform's rate limit, which all core machines share, that the leader uses
MIN_RATE_PER_S = 0.2  # used if the settings give no rate limit, so that the list is still read
MAX_PAGES = 10_000  # limits one read if the platform never returns a last page

FetchPage = Callable[[str | None], Awaitable[Result[EndpointListPage, EndpointListError]]]


class _ReadResult(NamedTuple):
    """The outcome of one read, and the number of calls it took."""

    calls: int
    servers: Result[list[ListedServer], EndpointListError]


class EndpointListReader:
    """Reader of the endpoint list; `run` reads periodically, `read_once` does a single read."""

    def __init__(
        self,
        fetch_page: FetchPage,
        rate_per_s: Callable[[], float],
        leader_term: Callable[[], int | None],
        deliver: Callable[[Sequence[ListedServer]], None],
        draw: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        """Create the reader; `run` starts reading.

        Args:
            fetch_page: Fetches the page with the given token; None for the first page.
            rate_per_s: Returns the platform's rate limit for all core machines together, in calls per second.
            leader_term: Returns the term of the leader lease that this machine holds; None if it holds none.
            deliver: Called with each complete list.
            draw: Returns a random number in [0, 1) for the jitter.
            clock: Returns the monotonic time in seconds.
        """
        self._fetch_page = fetch_page
        self._rate_per_s = rate_per_s
        self._leader_term = leader_term
        self._deliver = deliver
        self._draw = draw
        self._clock = clock
        self._is_failing = False  # the last read failed
        self._has_leadership = asyncio.Event()

    def leadership_gained(self) -> None:
        """Start reading, as this machine holds the leader lease from now on."""
        self._has_leadership.set()

    async def run(self) -> None:
        """Read whenever this machine holds the leader lease, until cancelled."""
        while True:
            if self._leader_term() is None:
                self._has_leadership.clear()
                await self._has_leadership.wait()
            try:
                wait = await self.read_once()
            except Exception:  # an unexpected error in one read must not stop the later ones
                logger.exception("endpoint list reader fault")
                wait = RETRY_S
            await asyncio.sleep(wait)

    async def read_once(self) -> float:
        """Read and deliver the list if this machine holds the leader lease.

        Returns:
            Delay until the next read may start, in seconds.
        """
        term = self._leader_term()
        if term is None:
            return 0.0
        started_at = self._clock()
        calls, read = await self._read_pages(term)
        if isinstance(read, Failure):
            self._log_failure(read.failure())
            return max(RETRY_S * self._jitter(), self._rate_limit_pause_s(calls))
        if self._leader_term() != term:
            return 0.0
        self._is_failing = False
        self._deliver(read.unwrap())
        interval = max(INTERVAL_S * self._jitter(), self._rate_limit_pause_s(calls))
        return max(0.0, interval - (self._clock() - started_at))

    async def _read_pages(self, term: int) -> _ReadResult:
        """Fetch all pages, as long as the leader lease is held in the given term."""
        servers: list[ListedServer] = []
        token: str | None = None
        for calls in range(1, MAX_PAGES):
            fetched = await self._fetch_page(token)
            if isinstance(fetched, Failure):
                return _ReadResult(calls, Failure(fetched.failure()))
            page, now = fetched.unwrap(), self._clock()
            servers += [instance.to_listed_server(now) for instance in page.instances]
            token = page.next_token
            if not token:
                return _ReadResult(calls, Success(servers))
            if self._leader_term() != term:
                error = EndpointListError("read the list", "", "the leader lease ended between two pages")
                return _ReadResult(calls, Failure(error))
        return _ReadResult(MAX_PAGES, Failure(EndpointListError("read the list", "", "too many pages")))

    def _rate_limit_pause_s(self, calls: int) -> float:
        """Return the time in seconds that a number of calls takes at the permitted rate."""
        return calls / max(self._rate_per_s() * RATE_SHARE, MIN_RATE_PER_S)

    def _jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self._draw() - 1.0)

    def _log_failure(self, error: EndpointListError) -> None:
        """Log only the first of consecutive failures, to save processor time."""
        if not self._is_failing:
            logger.warning("endpoint list read failed error={}", error)
        self._is_failing = True

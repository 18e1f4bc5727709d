"""Read the platform's endpoint list while this machine holds the leader lease.

A reading fetches all pages. The term of the leader lease is its fencing token: the reading is delivered only if the
lease was held for the same term before each call and is still held at the end, since another leader may have
published a newer list in between. Where a reading fails, the last list stays in force.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from loguru import logger
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

from .endpoint_list_page import EndpointListError, EndpointListPage

INTERVAL_S = 0.5  # from the start of a reading to that of the next
JITTER = 0.1  # share of the interval, to either side
RETRY_S = 0.25  # after a reading that failed
RATE_SHARE = 0.4  # of the calls that the platform accepts from all machines together
MIN_RATE_PER_S = 0.2  # so that the list is read also where the settings name no rate
MAX_PAGES = 10_000  # bounds a reading of a platform whose pages never end

FetchPage = Callable[[str | None], Awaitable[Result[EndpointListPage, EndpointListError]]]


class _PagesRead(NamedTuple):
    """The outcome of one reading, and what it cost of the rate of calls."""

    calls: int
    servers: Result[list[ListedServer], EndpointListError]


class EndpointListReader:
    """Reads the list again and again; `read_once` does one reading and returns the pause before the next."""

    def __init__(
        self,
        fetch_page: FetchPage,
        rate_per_s: Callable[[], float],
        leader_term: Callable[[], int | None],
        deliver: Callable[[Sequence[ListedServer]], None],
        draw: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        """Prepare; `run` does the readings.

        Args:
            fetch_page: Fetches the page of a token; None for the first.
            rate_per_s: Returns the rate of calls that the platform accepts from all machines together.
            leader_term: Returns the term of the leader lease that this machine holds now; None where it holds none.
            deliver: Takes a complete list.
            draw: Returns a random number in [0, 1), for the jitter.
            clock: The steady clock, in seconds.
        """
        self._fetch_page = fetch_page
        self._rate_per_s = rate_per_s
        self._leader_term = leader_term
        self._deliver = deliver
        self._draw = draw
        self._clock = clock
        self._is_failing = False  # the last reading failed
        self._has_leadership = asyncio.Event()

    def leadership_gained(self) -> None:
        """Start reading: this machine holds the leader lease from now on."""
        self._has_leadership.set()

    async def run(self) -> None:
        """Read whenever this machine holds the leader lease, until cancelled."""
        while True:
            if self._leader_term() is None:
                self._has_leadership.clear()
                await self._has_leadership.wait()
            try:
                wait = await self.read_once()
            except Exception:  # any fault in one reading: it must not end all later ones
                logger.exception("endpoint list reader fault")
                wait = RETRY_S
            await asyncio.sleep(wait)

    async def read_once(self) -> float:
        """Read and deliver the list, if this machine holds the leader lease.

        Returns:
            The seconds until the next reading may start.
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

    async def _read_pages(self, term: int) -> _PagesRead:
        """Fetch all pages while the leader lease is held for one term."""
        servers: list[ListedServer] = []
        token: str | None = None
        for calls in range(1, MAX_PAGES):
            fetched = await self._fetch_page(token)
            if isinstance(fetched, Failure):
                return _PagesRead(calls, Failure(fetched.failure()))
            page, now = fetched.unwrap(), self._clock()
            servers += [instance.to_listed_server(now) for instance in page.instances]
            token = page.next_token
            if not token:
                return _PagesRead(calls, Success(servers))
            if self._leader_term() != term:
                error = EndpointListError("read the list", "", "the leader lease ended between two pages")
                return _PagesRead(calls, Failure(error))
        return _PagesRead(MAX_PAGES, Failure(EndpointListError("read the list", "", "the pages don't end")))

    def _rate_limit_pause_s(self, calls: int) -> float:
        """Return the seconds over which so many calls have to be spread to stay within the rate."""
        return calls / max(self._rate_per_s() * RATE_SHARE, MIN_RATE_PER_S)

    def _jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self._draw() - 1.0)

    def _log_failure(self, error: EndpointListError) -> None:
        """Log the first of several failures only: logging costs processor time."""
        if not self._is_failing:
            logger.warning("endpoint list read failed error={}", error)
        self._is_failing = True

"""Reads the platform's list of servers while this machine holds the leader lease.

A reading takes all pages. It counts only if the lease has held for one and the same term before each call and when
the result is used: a machine that led in between may have told a newer list. The list that was read last stays where
a reading fails.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from loguru import logger
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

from .endpoint_list_page import EndpointListError, Page

INTERVAL_S = 0.5
JITTER = 0.1  # of the interval, to either side
RETRY_S = 0.25
RATE_SHARE = 0.4  # of the calls that the platform takes from all machines
SLOWEST_RATE_PER_S = 0.2  # so that a platform that tells no rate is still asked
MOST_PAGES = 10_000

Fetch = Callable[[str | None], Awaitable[Result[Page, EndpointListError]]]


class EndpointListReader:
    """One reading after the other; `step` does one and tells how long to wait before the next."""

    def __init__(
        self,
        fetch: Fetch,
        rate_per_s: Callable[[], float],
        held_term: Callable[[], int | None],
        deliver: Callable[[Sequence[ListedServer]], None],
        draw: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._fetch = fetch
        self._rate_per_s = rate_per_s
        self._leader_term = held_term  # of the leader lease, while this machine holds it
        self._deliver = deliver
        self._draw = draw
        self._clock = clock
        self._failing = False
        self._lease = asyncio.Event()

    def leadership_gained(self) -> None:
        """This machine holds the lease from here on."""
        self._lease.set()

    async def run(self) -> None:
        """Read until cancelled, whenever this machine holds the lease."""
        while True:
            if self._leader_term() is None:
                self._lease.clear()
                await self._lease.wait()
            try:
                wait = await self.step()
            except Exception:  # a fault in one reading must not end all later ones
                logger.exception("list of servers")
                wait = RETRY_S
            await asyncio.sleep(wait)

    async def step(self) -> float:
        """One reading, if this machine holds the lease. Returns the seconds until the next may begin."""
        term = self._leader_term()
        if term is None:
            return 0.0
        began = self._clock()
        calls, read = await self._read_pages(term)
        if isinstance(read, Failure):
            self._tell(read.failure())
            return max(RETRY_S * self._jitter(), self._time_of(calls))
        if self._leader_term() != term:
            return 0.0
        self._failing = False
        self._deliver(read.unwrap())
        wait = max(INTERVAL_S * self._jitter(), self._time_of(calls))
        return max(0.0, wait - (self._clock() - began))

    async def _read_pages(self, term: int) -> tuple[int, Result[list[ListedServer], EndpointListError]]:
        servers: list[ListedServer] = []
        token: str | None = None
        for calls in range(1, MOST_PAGES):
            fetched = await self._fetch(token)
            if isinstance(fetched, Failure):
                return calls, Failure(fetched.failure())
            page, now = fetched.unwrap(), self._clock()
            servers += [instance.listed(now) for instance in page.instances]
            token = page.next_token
            if not token:
                return calls, Success(servers)
            if self._leader_term() != term:
                return calls, Failure(
                    EndpointListError("read the list", "", "the leader lease ended between two pages")
                )
        return MOST_PAGES, Failure(EndpointListError("read the list", "", "the pages don't end"))

    def _time_of(self, calls: int) -> float:
        """Seconds over which so many calls have to be spread."""
        return calls / max(self._rate_per_s() * RATE_SHARE, SLOWEST_RATE_PER_S)

    def _jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self._draw() - 1.0)

    def _tell(self, problem: EndpointListError) -> None:
        """Log the first of several failures only: logging costs processor time."""
        if not self._failing:
            logger.warning("list of servers: {}", problem)
        self._failing = True

"""The end of an edge process: everything that was taken is answered, for as long as there is time."""

from __future__ import annotations

import asyncio

from rosechute.data.front import Front

LEAST_S = 2.5  # for so long clients may come that were sent here before the process was seen not to be ready
LAST_CONNECTIONS_S = 0.7  # before the end of the time: no connection is taken any more, and nothing new is sent
LAST_MOMENT_S = 0.15  # before the end of the time: what is still open is ended
LET_READ_S = 0.3  # for so long at most clients that had their last answer are waited for
LOOK_S = 0.02  # how often it is looked at whether all is done


class Shutdown:
    """One orderly end, within `grace_s` of its begin."""

    def __init__(self, loop: asyncio.AbstractEventLoop, front: Front, grace_s: float) -> None:
        self._loop, self._front = loop, front
        self._begun = loop.time()
        self._end = self._begun + grace_s
        front.listener.drain(True)

    async def finish(self) -> None:
        """Serve on until nothing is open, and end what is open then."""
        listener = self._front.listener
        while not self._idle():
            now = self._loop.time()
            if now >= self._end - LAST_MOMENT_S:
                break
            if now >= self._end - LAST_CONNECTIONS_S:
                self._take_no_more()
            await asyncio.sleep(LOOK_S)
        listener.close()
        for request in list(self._front.requests.values()):
            request.last_moment()
        await self._let_read()

    async def _let_read(self) -> None:
        """Leave clients the time to read their last answers: what ends with bytes unread takes them along."""
        until = min(self._loop.time() + LET_READ_S, self._end - LOOK_S)
        await asyncio.sleep(LOOK_S)
        while self._front.listener.connections and self._loop.time() < until:
            await asyncio.sleep(LOOK_S)

    def _idle(self) -> bool:
        """Whether nothing is open, and nobody is sent here any more."""
        if self._loop.time() < self._begun + LEAST_S:
            return False
        listener = self._front.listener
        open_ones = len(listener.connections) > len(listener.leaving) or listener.sending()
        if listener.accepting and open_ones:
            return False
        listener.close()  # takes what the machine has accepted, and leaves the queue once it is empty
        return not listener.busy()

    def _take_no_more(self) -> None:
        """Take what the machine has accepted, and answer at once what is not at a server."""
        self._front.refusing = True
        self._front.listener.close()
        for request in list(self._front.requests.values()):
            request.refuse_unsent()

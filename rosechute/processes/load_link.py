"""Carries reports of loads between edges, as datagrams at the address of the edges' links."""

from __future__ import annotations

import asyncio
import math
from typing import cast

from loguru import logger

from rosechute.configuration.process import split_address
from rosechute.distribution.load_exchange import LoadExchange
from rosechute.processes.edge_links import BYTES_SENT
from rosechute.routing.counts import Counts
from rosechute.routing.router import Router


class LoadLink(asyncio.DatagramProtocol):
    """The socket of one edge. Without one nothing is told, and routing goes by what this edge knows itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, exchange: LoadExchange) -> None:
        self._loop, self._address, self._exchange = loop, address, exchange
        self._router: Router | None = None
        self.counts = Counts()
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: list[tuple[str, int]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    async def start(self, router: Router) -> None:
        """Listen."""
        self._router = router
        try:
            await self._loop.create_datagram_endpoint(lambda: self, local_addr=split_address(self._address))
        except OSError as error:
            logger.warning("loads are not told: {}: {}", self._address, error)

    def close(self) -> None:
        """Tell nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_peers(self, peers: dict[str, str]) -> None:
        """Other edges that tell their loads, by name."""
        self._exchange.set_peers(peers)
        self._addresses = [split_address(address) for address in self._exchange.addresses]
        if self._router is not None:
            self._router.apply_telling_edges(peers)

    def changed(self) -> None:
        """What this edge has at servers has changed."""
        self._exchange.changed(self._loop.time())
        self._wake_at(self._exchange.due_at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        told = self._exchange.received(data)
        if told is not None and self._router is not None:
            self._router.take_loads(self._loop.time(), *told)

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be delivered: its edge is gone or not there yet. The leader tells which ones live."""

    def _wake_at(self, when: float) -> None:
        if self._transport is None or when >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._tell)

    def _tell(self) -> None:
        self._timer, self._timer_at = None, math.inf
        if self._transport is None or self._router is None:
            return
        data = self._exchange.report(self._loop.time(), self._router.own_loads())
        if data is not None:
            for address in self._addresses:
                self._transport.sendto(data, address)
            self.counts.add(BYTES_SENT, "load_report", len(data) * len(self._addresses))
        self._wake_at(self._exchange.due_at)

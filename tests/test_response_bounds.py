"""Bounds of a server's response: memory with its objects, and calls in one turn of the event loop."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc

import pytest

from rosechute.proxy.core.flow import Budget
from rosechute.proxy.core.turns import TurnQueue
from rosechute.proxy.http1.connection import MAX_CALLS_PER_TURN, PARSE_BYTES, Connection, Refusal

READ_BYTES = 128 * 1024
MAX_BODY_BYTES = 4 << 20
CHUNKED_500 = b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_LENGTH_500 = b"HTTP/1.1 500 X\r\n\r\n"
BYTE_CHUNK = b"1\r\nx\r\n"
MEMORY_MB = 128
MAX_OVERHEAD = 3  # memory of a body for each byte of its payload


class Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__({"socket": socket.socket()})
        self.is_reading, self.is_closed = True, False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def write(self, data):
        pass

    def is_closing(self):
        return self.is_closed

    def abort(self):
        self.is_closed = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


class Observer:
    def __init__(self) -> None:
        self.refusals: list[Refusal] = []
        self.costly = 0

    def on_response_refused(self, connection, refusal):
        self.refusals.append(refusal)

    def on_response_costly(self, connection):
        self.costly += 1


class Exchange:
    """A connection with a request under way."""

    def __init__(self, turns: TurnQueue | None = None, budget: Budget | None = None) -> None:
        self.budget = budget or Budget(MEMORY_MB)
        self.observer, self.transport = Observer(), Transport()
        self.replies: list[object] = []
        self.connection = Connection(
            lambda _: None, MAX_BODY_BYTES, budget=self.budget, turns=turns, observer=self.observer
        )
        self.connection.connection_made(self.transport)
        self.connection.send(b"GET / HTTP/1.1\r\n\r\n", self.replies.append)

    async def turns_until_parsed(self) -> int:
        turns = 0
        while not self.transport.is_reading and not self.transport.is_closed:
            await asyncio.sleep(0)
            turns += 1
        return turns


def test_read_of_short_chunks_takes_turns():
    async def scenario():
        exchange = Exchange()
        exchange.connection.data_received(CHUNKED_500 + BYTE_CHUNK * (READ_BYTES // len(BYTE_CHUNK)))
        assert not exchange.transport.is_reading and exchange.observer.costly == 1
        assert await exchange.turns_until_parsed() >= READ_BYTES // PARSE_BYTES - 1

    asyncio.run(scenario())


def test_one_connection_with_short_chunks_is_parsed_in_a_turn():
    async def scenario():
        turns = TurnQueue()
        exchanges = [Exchange(turns) for _ in range(4)]
        for exchange in exchanges:
            exchange.connection.data_received(CHUNKED_500 + BYTE_CHUNK * (3 * PARSE_BYTES // len(BYTE_CHUNK)))
        for left in (4, 3, 2, 1):
            assert sum(not exchange.transport.is_reading for exchange in exchanges) >= left
            await asyncio.sleep(0)

    asyncio.run(scenario())


def test_read_of_one_large_chunk_takes_one_turn():
    async def scenario():
        exchange = Exchange()
        exchange.connection.data_received(CHUNKED_500 + b"20000\r\n" + b"x" * READ_BYTES)
        assert exchange.transport.is_reading and not exchange.observer.costly
        assert MAX_CALLS_PER_TURN > READ_BYTES // PARSE_BYTES

    asyncio.run(scenario())


@pytest.mark.parametrize("piece_bytes", [1, 2, 5, 16])
def test_memory_of_a_body_in_short_pieces_is_in_proportion_to_its_payload(piece_bytes):
    async def scenario():
        exchange = Exchange()
        chunk = b"%x\r\n%s\r\n" % (piece_bytes, b"x" * piece_bytes)
        data = chunk * (READ_BYTES // len(chunk))
        exchange.connection.data_received(CHUNKED_500)
        tracemalloc.start()
        try:
            for _ in range(4):
                exchange.connection.data_received(data)
                await exchange.turns_until_parsed()
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        payload = 4 * piece_bytes * (READ_BYTES // len(chunk))
        assert exchange.budget.responses_used >= payload
        assert held <= MAX_OVERHEAD * payload + READ_BYTES

    asyncio.run(scenario())


def test_responses_together_hold_at_most_their_part_of_the_budget():
    async def scenario():
        budget = Budget(MEMORY_MB)
        exchanges = [Exchange(budget=budget) for _ in range(40)]
        for exchange in exchanges:
            exchange.connection.data_received(NO_LENGTH_500)
        for _ in range(MAX_BODY_BYTES // READ_BYTES):
            for exchange in exchanges:
                if not exchange.replies:
                    exchange.connection.data_received(b"x" * READ_BYTES)
                assert budget.responses_used <= budget.total // 2 + READ_BYTES
        refused = [exchange for exchange in exchanges if exchange.replies]
        assert refused and all(exchange.observer.refusals == [Refusal.MEMORY] for exchange in refused)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("start", "repeated", "refusal"),
    [
        (b"HTTP/1.1 500 X\r\nX: ", b"x", Refusal.HEAD),
        (b"HTTP/1.1 500 X\r\n", b"a:\r\n", Refusal.HEAD),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", Refusal.HEAD),
        (CHUNKED_500, b"z", Refusal.MALFORMED),
        (CHUNKED_500, b"0", Refusal.FRAMING),
        (CHUNKED_500 + b"1;", b"x", Refusal.FRAMING),
        (CHUNKED_500 + b"0\r\n", b"a: b\r\n", Refusal.FRAMING),
        (CHUNKED_500 + b"7fffffff\r\n", b"x", Refusal.BODY),
        (b"HTTP/1.1 500 X\r\nContent-Length: 99999999999\r\n\r\n", b"x", Refusal.BODY),
        (NO_LENGTH_500, b"x", Refusal.BODY),
    ],
)
def test_response_without_end_is_refused_with_its_reason(start, repeated, refusal):
    async def scenario():
        exchange = Exchange()
        exchange.connection.data_received(start + repeated * 16)
        for _ in range(64):
            if not exchange.replies:
                exchange.connection.data_received(repeated * (READ_BYTES // len(repeated)))
                await exchange.turns_until_parsed()
        assert exchange.replies == [None] and exchange.observer.refusals == [refusal]
        assert exchange.transport.is_closed and exchange.budget.used == 0

    asyncio.run(scenario())

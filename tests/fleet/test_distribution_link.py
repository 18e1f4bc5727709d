"""Frames and links of the internal protocol, over loopback."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from rosechute.messages import backoff, client_link, framing
from rosechute.messages.errors import FrameError, LinkError
from rosechute.messages.framing import FrameReader, MessageKind, encode_frame
from rosechute.messages.link_connection import LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer


def free_address() -> str:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


class FrameTest(unittest.TestCase):
    def test_frames_come_whole_whatever_the_pieces(self) -> None:
        stream = encode_frame(MessageKind.COORDINATION, b"first") + encode_frame(MessageKind.DISTRIBUTION, b"")
        stream += encode_frame(MessageKind.DISTRIBUTION, b"x" * 70000)
        for size in (1, 3, 4096, len(stream)):
            reader = FrameReader()
            frames = []
            for start in range(0, len(stream), size):
                frames += reader.feed(stream[start : start + size])
            self.assertEqual(
                frames,
                [
                    (MessageKind.COORDINATION, b"first"),
                    (MessageKind.DISTRIBUTION, b""),
                    (MessageKind.DISTRIBUTION, b"x" * 70000),
                ],
            )

    def test_a_length_over_the_bound_breaks_the_stream(self) -> None:
        over = (framing.MESSAGE_LIMIT_BYTES + 1).to_bytes(4, "big") + b"\x01"
        with self.assertRaises(FrameError):
            FrameReader().feed(over)
        with self.assertRaises(FrameError):
            encode_frame(MessageKind.COORDINATION, bytes(framing.MESSAGE_LIMIT_BYTES + 1))

    def test_an_unknown_kind_breaks_the_stream(self) -> None:
        with self.assertRaises(FrameError):
            FrameReader().feed(b"\x00\x00\x00\x01\x09x")


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_comes_back_on_the_same_connection(self) -> None:
        def answer(connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
            connection.send(kind, data.upper())

        address = free_address()
        server = LinkServer(address, answer)
        await server.start()
        came: asyncio.Queue[tuple[MessageKind, bytes]] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: came.put_nowait((kind, data)))
        pool.send(address, MessageKind.DISTRIBUTION, b"one")
        pool.send(address, MessageKind.COORDINATION, b"two")
        async with asyncio.timeout(5):
            self.assertEqual(await came.get(), (MessageKind.DISTRIBUTION, b"ONE"))
            self.assertEqual(await came.get(), (MessageKind.COORDINATION, b"TWO"))
        pool.close()
        server.close()

    async def test_a_refused_link_is_told_and_opens_again_when_the_peer_is_there(self) -> None:
        address = free_address()
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        pool.send(address, MessageKind.DISTRIBUTION, b"lost")
        async with asyncio.timeout(5):
            error = await closed.get()
        self.assertEqual((error.step, error.peer), ("connect", address))
        came: asyncio.Queue[bytes] = asyncio.Queue()
        server = LinkServer(address, lambda connection, kind, data: came.put_nowait(data))
        await server.start()
        pool.send(address, MessageKind.DISTRIBUTION, b"kept")
        async with asyncio.timeout(5):
            self.assertEqual(await came.get(), b"kept")
        server.close()
        async with asyncio.timeout(5):
            self.assertEqual((await closed.get()).step, "open")
        pool.close()

    async def test_a_peer_that_does_not_read_costs_only_its_oldest_messages(self) -> None:
        address = free_address()
        came: asyncio.Queue[bytes] = asyncio.Queue()
        accepted: list[LinkConnection] = []

        def keep(connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
            if not accepted:
                accepted.append(connection)
                transport = connection._transport
                assert transport is not None
                transport.pause_reading()
            came.put_nowait(data)

        server = LinkServer(address, keep)
        await server.start()
        pool = LinkPool(lambda connection, kind, data: None)
        pool.send(address, MessageKind.DISTRIBUTION, b"first")
        async with asyncio.timeout(5):
            await came.get()
        count = 400
        for number in range(count):
            pool.send(address, MessageKind.DISTRIBUTION, number.to_bytes(4, "big") + bytes(65536))
        transport = accepted[0]._transport
        assert transport is not None
        transport.resume_reading()
        numbers: list[int] = []
        async with asyncio.timeout(20):
            while not numbers or numbers[-1] != count - 1:
                numbers.append(int.from_bytes((await came.get())[:4], "big"))
        self.assertLess(len(numbers), count)
        self.assertEqual(numbers, sorted(numbers))
        pool.close()
        server.close()

    async def test_a_connection_that_comes_up_late_is_used(self) -> None:
        """Over a crowded link it takes longer than the time-out; the owner is told, and the next message passes."""
        address = free_address()
        came: asyncio.Queue[bytes] = asyncio.Queue()
        server = LinkServer(address, lambda connection, kind, data: came.put_nowait(data))
        await server.start()
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        loop = asyncio.get_running_loop()
        original = loop.sock_connect
        slow = asyncio.Event()

        async def connect_late(opened: socket.socket, where: tuple[str, int]) -> None:
            await slow.wait()
            await original(opened, where)

        with (
            mock.patch.object(loop, "sock_connect", connect_late),
            mock.patch.object(client_link, "CONNECT_TIMEOUT_S", 0.01),
        ):
            pool.send(address, MessageKind.DISTRIBUTION, b"dropped")
            async with asyncio.timeout(5):
                error = await closed.get()
                self.assertEqual((error.step, error.reason), ("connect", "timed out"))
                slow.set()
                sent = 0
                while came.empty():
                    pool.send(address, MessageKind.DISTRIBUTION, b"kept")
                    sent += 1
                    await asyncio.sleep(0)
                self.assertEqual(await came.get(), b"kept")
        pool.close()
        server.close()

    async def test_attempts_are_bounded_and_end_with_the_pool(self) -> None:
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        running = 0
        most = 0

        async def never(opened: socket.socket, where: tuple[str, int]) -> None:
            nonlocal running, most
            running += 1
            most = max(most, running)
            try:
                await asyncio.Event().wait()
            finally:
                running -= 1

        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(loop, "sock_connect", never),
            mock.patch.object(client_link, "CONNECT_TIMEOUT_S", 0.001),
            mock.patch.object(backoff, "INITIAL_BACKOFF_S", 0.001),
            mock.patch.object(backoff, "MAX_BACKOFF_S", 0.001),
        ):
            async with asyncio.timeout(5):
                for _ in range(8):
                    pool.send("127.0.0.1:9", MessageKind.DISTRIBUTION, b"lost")
                    await closed.get()
            self.assertEqual(most, client_link.MAX_CONCURRENT_ATTEMPTS)
            pool.close()
            while running:
                await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()

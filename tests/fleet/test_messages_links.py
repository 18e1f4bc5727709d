"""Unit tests of `messages.link_pool`, `client_link`, `link_server` and `link_connection`, over loopback."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from rosechute.messages import backoff, client_link
from rosechute.messages.errors import LinkError
from rosechute.messages.framing import MessageKind, encode_frame
from rosechute.messages.link_connection import MAX_MESSAGES_PER_TURN, LinkConnection
from rosechute.messages.link_pool import LinkPool
from rosechute.messages.link_server import LinkServer


def free_address() -> str:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reply_comes_back_on_the_same_connection(self) -> None:
        def reply(connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
            connection.send(kind, data.upper())

        address = free_address()
        server = LinkServer(address, reply)
        await server.start()
        received: asyncio.Queue[tuple[MessageKind, bytes]] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: received.put_nowait((kind, data)))
        pool.send(address, MessageKind.DISTRIBUTION, b"one")
        pool.send(address, MessageKind.COORDINATION, b"two")
        async with asyncio.timeout(5):
            self.assertEqual(await received.get(), (MessageKind.DISTRIBUTION, b"ONE"))
            self.assertEqual(await received.get(), (MessageKind.COORDINATION, b"TWO"))
        pool.close()
        server.close()

    async def test_many_messages_of_one_read_are_handled_in_order_and_in_turns(self) -> None:
        count = 20 * MAX_MESSAGES_PER_TURN
        received: list[bytes] = []
        most_in_a_turn, seen = 0, 0
        address = free_address()
        server = LinkServer(address, lambda connection, kind, data: received.append(data))
        await server.start()
        host, port = address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        messages = [b"%d" % number for number in range(count)]
        writer.write(b"".join(encode_frame(MessageKind.DISTRIBUTION, one) for one in messages))
        async with asyncio.timeout(5):
            while len(received) < count:
                await asyncio.sleep(0)
                most_in_a_turn, seen = max(most_in_a_turn, len(received) - seen), len(received)
        self.assertEqual(received, messages)
        self.assertLessEqual(most_in_a_turn, 2 * MAX_MESSAGES_PER_TURN)
        writer.close()
        server.close()

    async def test_a_refused_link_is_reported_and_reconnects_when_the_peer_listens(self) -> None:
        address = free_address()
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        pool.send(address, MessageKind.DISTRIBUTION, b"lost")
        async with asyncio.timeout(5):
            error = await closed.get()
        self.assertEqual((error.step, error.peer), ("connect", address))
        received: asyncio.Queue[bytes] = asyncio.Queue()
        server = LinkServer(address, lambda connection, kind, data: received.put_nowait(data))
        await server.start()
        pool.send(address, MessageKind.DISTRIBUTION, b"kept")
        async with asyncio.timeout(5):
            self.assertEqual(await received.get(), b"kept")
        server.close()
        async with asyncio.timeout(5):
            self.assertEqual((await closed.get()).step, "open")
        pool.close()

    async def test_a_peer_that_does_not_read_loses_only_its_oldest_messages(self) -> None:
        address = free_address()
        received: asyncio.Queue[bytes] = asyncio.Queue()
        accepted: list[LinkConnection] = []

        def hold_first(connection: LinkConnection, kind: MessageKind, data: bytes) -> None:
            if not accepted:
                accepted.append(connection)
                transport = connection._transport
                assert transport is not None
                transport.pause_reading()
            received.put_nowait(data)

        server = LinkServer(address, hold_first)
        await server.start()
        pool = LinkPool(lambda connection, kind, data: None)
        pool.send(address, MessageKind.DISTRIBUTION, b"first")
        async with asyncio.timeout(5):
            await received.get()
        count = 400
        for number in range(count):
            pool.send(address, MessageKind.DISTRIBUTION, number.to_bytes(4, "big") + bytes(65536))
        transport = accepted[0]._transport
        assert transport is not None
        transport.resume_reading()
        sequence_numbers: list[int] = []
        async with asyncio.timeout(20):
            while not sequence_numbers or sequence_numbers[-1] != count - 1:
                sequence_numbers.append(int.from_bytes((await received.get())[:4], "big"))
        self.assertLess(len(sequence_numbers), count)
        self.assertEqual(sequence_numbers, sorted(sequence_numbers))
        pool.close()
        server.close()

    async def test_an_attempt_that_connects_after_its_timeout_is_used(self) -> None:
        """Over a congested network it takes long; the owner is notified, and the next message passes."""
        address = free_address()
        received: asyncio.Queue[bytes] = asyncio.Queue()
        server = LinkServer(address, lambda connection, kind, data: received.put_nowait(data))
        await server.start()
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        loop = asyncio.get_running_loop()
        original = loop.sock_connect
        may_connect = asyncio.Event()

        async def connect_late(link_socket: socket.socket, where: tuple[str, int]) -> None:
            await may_connect.wait()
            await original(link_socket, where)

        with (
            mock.patch.object(loop, "sock_connect", connect_late),
            mock.patch.object(client_link, "CONNECT_TIMEOUT_S", 0.01),
        ):
            pool.send(address, MessageKind.DISTRIBUTION, b"dropped")
            async with asyncio.timeout(5):
                error = await closed.get()
                self.assertEqual((error.step, error.reason), ("connect", "timed out"))
                may_connect.set()
                sent = 0
                while received.empty():
                    pool.send(address, MessageKind.DISTRIBUTION, b"kept")
                    sent += 1
                    await asyncio.sleep(0)
                self.assertEqual(await received.get(), b"kept")
        pool.close()
        server.close()

    async def test_concurrent_attempts_are_bounded_and_end_with_the_pool(self) -> None:
        closed: asyncio.Queue[LinkError] = asyncio.Queue()
        pool = LinkPool(lambda connection, kind, data: None, closed.put_nowait)
        active = 0
        most_active = 0

        async def connect_never(link_socket: socket.socket, where: tuple[str, int]) -> None:
            nonlocal active, most_active
            active += 1
            most_active = max(most_active, active)
            try:
                await asyncio.Event().wait()
            finally:
                active -= 1

        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(loop, "sock_connect", connect_never),
            mock.patch.object(client_link, "CONNECT_TIMEOUT_S", 0.001),
            mock.patch.object(backoff, "INITIAL_BACKOFF_S", 0.001),
            mock.patch.object(backoff, "MAX_BACKOFF_S", 0.001),
        ):
            async with asyncio.timeout(5):
                for _ in range(8):
                    pool.send("127.0.0.1:9", MessageKind.DISTRIBUTION, b"lost")
                    await closed.get()
            self.assertEqual(most_active, client_link.MAX_CONCURRENT_ATTEMPTS)
            pool.close()
            while active:
                await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()

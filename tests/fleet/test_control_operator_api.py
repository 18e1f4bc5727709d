"""Tests of `OperatorApi` over loopback: the response to each outcome, and the response timeout."""

import asyncio
import json
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

import aiohttp
from aiohttp.test_utils import TestServer
from loguru import logger

from rosechute.control_plane import operator_api
from rosechute.control_plane.operator_api import BASE_VERSION_HEADER, READ_PATH, REPLACE_PATH, OperatorApi
from rosechute.control_plane.write_requests import write_request_digest
from rosechute.coordination.outcomes import (
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)

OWN = "127.0.0.1:8367"


def body(version: int, **changes: Any) -> bytes:
    route = {"name": "r", "host": "h", "path_prefix": "/a/", "timeout_ms": 1000, "service": "s"}
    configuration = {"config_version": version, "routes": [{**route, **changes}], "services": [{"name": "s"}]}
    return json.dumps(configuration, indent=1).encode()


def setUpModule() -> None:
    logger.disable("rosechute.control_plane")  # the log lines of the requests sent here are not of interest


def tearDownModule() -> None:
    logger.enable("rosechute.control_plane")


class FakeConfigurationStore:
    """Fake store with the outcome set by the test; without one its futures never complete."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.writes: list[tuple[int, int, bytes, bytes]] = []

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> "asyncio.Future[Outcome]":
        self.writes.append((base_version, version, body, digest))
        return self.read()

    def read(self) -> "asyncio.Future[Outcome]":
        answer: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        if self.outcome is not None:
            answer.set_result(self.outcome)
        return answer


class OperatorApiTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.configurations = FakeConfigurationStore()
        self.server = TestServer(OperatorApi(self.configurations, OWN).application())
        await self.server.start_server()
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.close()

    async def replace(self, data: bytes, base: str | None = "5") -> tuple[int, Any, "aiohttp.typedefs.LooseHeaders"]:
        headers = {} if base is None else {BASE_VERSION_HEADER: base}
        url = self.server.make_url(REPLACE_PATH)
        async with self.session.post(url, data=data, headers=headers, allow_redirects=False) as answer:
            decoded = await answer.read()
            return answer.status, json.loads(decoded) if decoded else None, answer.headers

    async def read(self) -> tuple[int, bytes, Any]:
        async with self.session.get(self.server.make_url(READ_PATH), allow_redirects=False) as answer:
            return answer.status, await answer.read(), answer.headers

    async def test_write_acknowledged(self) -> None:
        self.configurations.outcome = WriteAcknowledged(7)
        status, decoded, _ = await self.replace(body(7))
        self.assertEqual((status, decoded), (200, {"config_version": 7}))
        self.assertEqual(self.configurations.writes, [(5, 7, body(7), write_request_digest(5, body(7)))])

    async def test_version_conflict(self) -> None:
        self.configurations.outcome = VersionConflict(6)
        status, decoded, _ = await self.replace(body(7))
        self.assertEqual((status, decoded["current_version"]), (412, 6))

    async def test_version_not_above_the_current_one(self) -> None:
        self.configurations.outcome = VersionConflict(5)
        for version in (5, 4):
            status, decoded, _ = await self.replace(body(version))
            self.assertEqual((status, decoded["place"]), (400, "config_version"))

    async def test_invalid_configurations_are_not_proposed(self) -> None:
        self.configurations.outcome = WriteAcknowledged(7)
        cases = ((b"{", ""), (b"", ""), (body(7, timeout_ms=0), "routes[0].timeout_ms"))
        cases += ((body(7, service="other"), "routes[0].service"),)
        for data, place in cases:
            status, decoded, _ = await self.replace(data)
            self.assertEqual((status, decoded.get("place", "")), (400, place), data)
        self.assertEqual(self.configurations.writes, [])

    async def test_invalid_base_versions(self) -> None:
        for base in (None, "", "-1", "x", "9" * 30):
            status, decoded, _ = await self.replace(body(7), base)
            self.assertEqual((status, decoded["place"]), (400, BASE_VERSION_HEADER), base)

    async def test_redirect_to_another_machine(self) -> None:
        self.configurations.outcome = Redirect("10.0.0.4:8367")
        status, _, headers = await self.replace(body(7))
        self.assertEqual((status, headers["Location"]), (307, "http://10.0.0.4:8367/config/replace"))
        status, _, headers = await self.read()
        self.assertEqual((status, headers["Location"]), (307, "http://10.0.0.4:8367/config/read"))

    async def test_no_redirect_to_the_same_machine(self) -> None:
        self.configurations.outcome = Redirect(OWN)
        self.assertEqual((await self.replace(body(7)))[0], 503)
        self.assertEqual((await self.read())[0], 503)

    async def test_outcome_unknown(self) -> None:
        self.configurations.outcome = OutcomeUnknown()
        status, _, headers = await self.replace(body(7))
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual((await self.read())[0], 503)

    async def test_response_after_a_timeout_of_the_outcome(self) -> None:
        with mock.patch.multiple(operator_api, RESPONSE_TIMEOUT_S=0.01, MIN_OUTCOME_TIMEOUT_S=0.0):
            self.assertEqual((await self.replace(body(7)))[0], 503)
            self.assertEqual((await self.read())[0], 503)

    async def test_read_returns_the_body_unchanged(self) -> None:
        self.configurations.outcome = ReadResult(3, 7, body(7), b"")
        status, decoded, _ = await self.read()
        self.assertEqual((status, decoded), (200, body(7)))

    async def test_read_before_the_first_configuration(self) -> None:
        self.configurations.outcome = NoConfiguration()
        self.assertEqual((await self.read())[0], 404)

    async def test_large_configuration_is_accepted(self) -> None:
        self.configurations.outcome = WriteAcknowledged(7)
        data = body(7, padding="x" * (5 * 1024 * 1024))
        self.assertEqual((await self.replace(data))[0], 200)

"""The operator's API: orders a configuration and reads the newest one.

A call gets an answer within `ANSWER_WITHIN_S`, unless its own body is slow to come. A 4xx ends the operator's
call, so one is given only where it is certain; while unsure the answer is 503, or 307 to the machine that may
know.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Failure

from rosechute.configuration.operator import parse_configuration
from rosechute.coordination.types import (
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)

from .write_requests import ConfigurationStore, write_request_digest

REPLACE_PATH = "/config/replace"
READ_PATH = "/config/read"
BASE_VERSION_HEADER = "X-Rosechute-Base-Version"
ANSWER_WITHIN_S = 0.9
READ_BODY_WITHIN_S = 3.0  # the operator waits longer where the body is large
SHORTEST_WAIT_S = 0.5  # for the outcome, also after a body that came slowly
RETRY_AFTER_S = 0.2
BODY_LIMIT_BYTES = 8 * 1024 * 1024
HIGHEST_VERSION = 2**63 - 1


class ApiError(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an answer that isn't a success."""

    error: str
    place: str = ""
    current_version: int | None = None


class OperatorApi:
    """Serves the control address of this machine."""

    def __init__(
        self,
        configurations: ConfigurationStore,
        control_address: str,
        extend: Callable[[web.Application], None] | None = None,
    ) -> None:
        """`extend` adds what else is served at the same address."""
        self._configurations = configurations
        self._control_address = control_address
        self._extend = extend
        self._runner: web.AppRunner | None = None

    def application(self) -> web.Application:
        """The routes of the API."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        application.router.add_post(REPLACE_PATH, self.replace)
        application.router.add_get(READ_PATH, self.read)
        if self._extend is not None:
            self._extend(application)
        return application

    async def start(self) -> None:
        """Listen; raises OSError where the address is taken."""
        host, _, port = self._control_address.rpartition(":")
        self._runner = web.AppRunner(self.application(), access_log=None, handle_signals=False, shutdown_timeout=0.2)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def replace(self, request: web.Request) -> web.Response:
        """`POST /config/replace`: take a whole configuration."""
        base_version = _base_version(request)
        if base_version is None:
            return _error(400, ApiError("needs the version that the configuration builds on", BASE_VERSION_HEADER))
        began = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(READ_BODY_WITHIN_S):
                body = await request.read()
        except TimeoutError:
            return _unsure("the body did not come in time")
        parsed = parse_configuration(body)
        if isinstance(parsed, Failure):
            problem = parsed.failure()
            return _error(400, ApiError(problem.reason, problem.field))
        version = parsed.unwrap().config_version
        left = ANSWER_WITHIN_S - (asyncio.get_running_loop().time() - began)
        submitted = self._configurations.propose_write(
            base_version, version, body, write_request_digest(base_version, body)
        )
        return self._settled(await _within(submitted, max(left, SHORTEST_WAIT_S)), base_version, version)

    async def read(self, request: web.Request) -> web.Response:
        """`GET /config/read`: the newest acknowledged configuration, byte for byte as it was sent."""
        outcome = await _within(self._configurations.read(), ANSWER_WITHIN_S)
        if isinstance(outcome, ReadResult):
            return web.Response(body=outcome.body, content_type="application/json")
        if isinstance(outcome, NoConfiguration):
            return _error(404, ApiError("no configuration has been taken yet"))
        return self._undecided(outcome, READ_PATH)

    def _settled(self, outcome: Outcome, base_version: int, version: int) -> web.Response:
        if isinstance(outcome, WriteAcknowledged):
            logger.info("configuration {} on top of {} acknowledged", version, base_version)
            return _json(200, {"config_version": outcome.version})
        if isinstance(outcome, VersionConflict):
            return _refused(outcome.current_version, base_version, version)
        return self._undecided(outcome, REPLACE_PATH)

    def _undecided(self, outcome: Outcome, path: str) -> web.Response:
        if isinstance(outcome, Redirect) and outcome.control_address not in ("", self._control_address):
            return web.Response(status=307, headers={"Location": f"http://{outcome.control_address}{path}"})
        return _unsure("the core has not settled who answers this")


async def _within(answer: Awaitable[Outcome], seconds: float) -> Outcome:
    try:
        async with asyncio.timeout(seconds):
            return await answer
    except TimeoutError:
        return OutcomeUnknown()


def _base_version(request: web.Request) -> int | None:
    text = request.headers.get(BASE_VERSION_HEADER, "")
    if not text.isascii() or not text.isdecimal() or int(text) > HIGHEST_VERSION:
        return None
    return int(text)


def _refused(current: int, base_version: int, version: int) -> web.Response:
    if base_version == current:
        reason = f"must be above {current}, the current version"
        return _error(400, ApiError(reason, "config_version", current))
    return _error(412, ApiError(f"version {current} is current, not {base_version}", "", current))


def _unsure(reason: str) -> web.Response:
    return _json(503, ApiError(reason), {"Retry-After": str(RETRY_AFTER_S)})


def _error(status: int, error: ApiError) -> web.Response:
    return _json(status, error)


def _json(status: int, body: object, headers: dict[str, str] | None = None) -> web.Response:
    encoded = msgspec.json.encode(body)
    return web.Response(status=status, body=encoded, headers=headers, content_type="application/json")

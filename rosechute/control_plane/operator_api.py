"""The operator API over HTTP: replace the configuration (`POST /config/replace`) or read it (`GET /config/read`).

A call is answered within `RESPONSE_TIMEOUT_S`, unless its body arrives slowly. The operator does not retry after a
4xx, so one is sent only if the outcome is certain. If the outcome is unknown, the response is 503, and the operator
retries at any machine, or 307 to the machine that may know. tests/fleet/test_wire_contract.py checks this contract.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Failure

from rosechute.configuration.operator import parse_configuration
from rosechute.coordination.outcomes import (
    NoConfiguration,
    Outcome,
    OutcomeUnknown,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
)
from rosechute.listening.http import HttpServer
from rosechute.listening.limits import ListenerLimits, control_limits

from .write_requests import ConfigurationStore, write_request_digest

REPLACE_PATH = "/config/replace"
READ_PATH = "/config/read"
BASE_VERSION_HEADER = "X-Rosechute-Base-Version"
RESPONSE_TIMEOUT_S = 0.9  # the operator tries another machine if there is no response within 1 s
BODY_TIMEOUT_S = 3.0  # the operator waits longer if the body is large
MIN_OUTCOME_TIMEOUT_S = 0.5  # minimum wait for the outcome, also if the body arrived slowly
RETRY_AFTER_S = 0.2
BODY_LIMIT_BYTES = 8 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.2
DEFAULT_LIMITS = control_limits(memory_mb=256, max_fds=1024)
MAX_VERSION = 2**63 - 1  # a version is stored in 8 bytes


class ApiError(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of a 4xx or 503: the reason, the invalid field or header, and the current version if known."""

    error: str
    place: str = ""
    current_version: int | None = None


class OperatorApi:
    """HTTP server on the control address of this machine."""

    def __init__(
        self,
        configurations: ConfigurationStore,
        control_address: str,
        extend: Callable[[web.Application], None] | None = None,
        limits: ListenerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create the server; `start` listens.

        Args:
            configurations: Store to which configurations are proposed and from which they are read.
            control_address: Control address of this machine, host:port.
            extend: Adds routes, such as the state page, to the application.
            limits: Limits of the connections.
        """
        self._limits = limits
        self._configurations = configurations
        self._control_address = control_address
        self._extend = extend
        self._server: HttpServer | None = None

    def application(self) -> web.Application:
        """Return the application with the routes of the API."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        application.router.add_post(REPLACE_PATH, self.replace)
        application.router.add_get(READ_PATH, self.read)
        if self._extend is not None:
            self._extend(application)
        return application

    async def start(self) -> None:
        """Listen. May be called again after a failure.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        host, _, port = self._control_address.rpartition(":")
        if self._server is None:
            self._server = HttpServer(self.application(), "control", self._limits, SHUTDOWN_TIMEOUT_S)
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            await self._server.stop()

    def shed_total(self) -> int:
        """Return how many connections were closed since the start to keep to the limits."""
        return self._server.connections.shed_total if self._server is not None else 0

    async def replace(self, request: web.Request) -> web.Response:
        """Serve `POST /config/replace`: propose the complete configuration in the request body."""
        base_version = _base_version(request)
        if base_version is None:
            return _json(400, ApiError("needs the version that the configuration builds on", BASE_VERSION_HEADER))
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await request.read()
        except TimeoutError:
            return _outcome_unknown("the body did not come in time")
        parsed = parse_configuration(body)
        if isinstance(parsed, Failure):
            problem = parsed.failure()
            return _json(400, ApiError(problem.reason, problem.field))
        version = parsed.unwrap().config_version
        remaining_s = RESPONSE_TIMEOUT_S - (asyncio.get_running_loop().time() - started_at)
        digest = write_request_digest(base_version, body)
        proposed = self._configurations.propose_write(base_version, version, body, digest)
        outcome = await _outcome_within(proposed, max(remaining_s, MIN_OUTCOME_TIMEOUT_S))
        return self._write_response(outcome, base_version, version)

    async def read(self, request: web.Request) -> web.Response:
        """Serve `GET /config/read`: the newest acknowledged configuration, byte for byte as it was sent."""
        outcome = await _outcome_within(self._configurations.read(), RESPONSE_TIMEOUT_S)
        if isinstance(outcome, ReadResult):
            return web.Response(body=outcome.body, content_type="application/json")
        if isinstance(outcome, NoConfiguration):
            return _json(404, ApiError("no configuration has been taken yet"))
        return self._redirect_or_unknown(outcome, READ_PATH)

    def _write_response(self, outcome: Outcome, base_version: int, version: int) -> web.Response:
        """Return the response to a write: 200, 412 or 400 if the outcome is certain, else 307 or 503."""
        if isinstance(outcome, WriteAcknowledged):
            logger.info("configuration acknowledged version={} base_version={}", version, base_version)
            return _json(200, {"config_version": outcome.version})
        if isinstance(outcome, VersionConflict):
            return _version_conflict(outcome.current_version, base_version)
        return self._redirect_or_unknown(outcome, REPLACE_PATH)

    def _redirect_or_unknown(self, outcome: Outcome, path: str) -> web.Response:
        """Return 307 to the machine that may know the outcome, never to this one; 503 if no such machine is known."""
        if isinstance(outcome, Redirect) and outcome.control_address not in ("", self._control_address):
            return web.Response(status=307, headers={"Location": f"http://{outcome.control_address}{path}"})
        return _outcome_unknown("the core has not settled who answers this")


async def _outcome_within(pending: Awaitable[Outcome], timeout_s: float) -> Outcome:
    """Return the outcome, or `OutcomeUnknown` after the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            return await pending
    except TimeoutError:
        return OutcomeUnknown()


def _base_version(request: web.Request) -> int | None:
    """Return the base version from the header; None if it is missing, not a decimal number or out of range."""
    text = request.headers.get(BASE_VERSION_HEADER, "")
    if not text.isascii() or not text.isdecimal() or int(text) > MAX_VERSION:
        return None
    return int(text)


def _version_conflict(current: int, base_version: int) -> web.Response:
    """Return 400 if the base version is current and the new version too low, else 412."""
    if base_version == current:
        reason = f"must be above {current}, the current version"
        return _json(400, ApiError(reason, "config_version", current))
    return _json(412, ApiError(f"version {current} is current, not {base_version}", "", current))


def _outcome_unknown(reason: str) -> web.Response:
    return _json(503, ApiError(reason), {"Retry-After": str(RETRY_AFTER_S)})


def _json(status: int, body: object, headers: dict[str, str] | None = None) -> web.Response:
    encoded = msgspec.json.encode(body)
    return web.Response(status=status, body=encoded, headers=headers, content_type="application/json")

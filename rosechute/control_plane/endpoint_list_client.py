"""Fetch pages of the platform's endpoint list (service discovery) over one persistent connection."""

import asyncio

import aiohttp
from returns.result import Failure, Result

from .endpoint_list_page import EndpointListError, EndpointListPage, decode_endpoint_list_page

CALL_TIMEOUT_S = 0.7  # a call that takes longer has failed
KEEP_ALIVE_S = 30.0  # how long an idle connection stays open; far above the interval between two readings
STEP = "fetch a page of the list"


class EndpointListClient:
    """Calls `GET /instances` of the platform; `address` may be changed between two calls."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, token: str | None) -> Result[EndpointListPage, EndpointListError]:
        """Fetch one page.

        Args:
            token: `next_token` of the page before; None for the first page.

        Returns:
            The page, or the step, peer and reason of a failure; a call longer than `CALL_TIMEOUT_S` is one.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._fetch(token)
        except TimeoutError:
            return Failure(EndpointListError(STEP, self.address, f"no answer within {CALL_TIMEOUT_S} s"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(EndpointListError(STEP, self.address, str(error) or type(error).__name__))

    async def close(self) -> None:
        """Close the connection; a later call opens another."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch(self, token: str | None) -> Result[EndpointListPage, EndpointListError]:
        query = {"page_token": token} if token else {}
        async with self._open_session().get(f"http://{self.address}/instances", params=query) as response:
            body = await response.read()
            if response.status != 200:
                return Failure(EndpointListError(STEP, self.address, f"status {response.status}"))
            return decode_endpoint_list_page(body, self.address)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=KEEP_ALIVE_S, use_dns_cache=False)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False, trust_env=False)
        return self._session

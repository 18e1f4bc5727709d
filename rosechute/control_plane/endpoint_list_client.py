"""Fetches pages of the platform's list over one connection that stays open."""

import asyncio

import aiohttp
from returns.result import Failure, Result

from .endpoint_list_page import EndpointListError, Page, decode_endpoint_list_page

CALL_TIMEOUT_S = 0.7
KEEP_OPEN_S = 30.0
STEP = "fetch a page of the list"


class EndpointListClient:
    """Calls `GET /instances` at one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, token: str | None) -> Result[Page, EndpointListError]:
        """The first page, or the one that `token` names. A call that takes too long has failed."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._fetch(token)
        except TimeoutError:
            return Failure(EndpointListError(STEP, self.address, f"no answer within {CALL_TIMEOUT_S} s"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(EndpointListError(STEP, self.address, str(error) or type(error).__name__))

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch(self, token: str | None) -> Result[Page, EndpointListError]:
        query = {"page_token": token} if token else {}
        async with self._opened().get(f"http://{self.address}/instances", params=query) as response:
            body = await response.read()
            if response.status != 200:
                return Failure(EndpointListError(STEP, self.address, f"status {response.status}"))
            return decode_endpoint_list_page(body, self.address)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=KEEP_OPEN_S, use_dns_cache=False)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False, trust_env=False)
        return self._session

"""Fetch pages of the platform's endpoint list (service discovery) over one persistent connection."""

import asyncio

import aiohttp
from returns.result import Failure, Result

from .endpoint_list_page import EndpointListError, EndpointListPage, decode_endpoint_list_page

CALL_TIMEOUT_S = 0.7  # time limit of one call, including the body of the response
KEEP_ALIVE_S = 30.0  # an idle connection is closed after this time; far above the interval between two reads
MAX_PAGE_BYTES = 4 << 20  # body of one page; a longer one is not read to its end
FETCH_STEP = "fetch a page of the list"


class EndpointListClient:
    """Client of the platform's `GET /instances`; `address` may be changed between two calls."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, token: str | None) -> Result[EndpointListPage, EndpointListError]:
        """Fetch one page.

        Args:
            token: `next_token` of the previous page; None for the first page.

        Returns:
            The page, or the error. A call that exceeds `CALL_TIMEOUT_S` is an error.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._fetch(token)
        except TimeoutError:
            return Failure(EndpointListError(FETCH_STEP, self.address, f"no answer within {CALL_TIMEOUT_S} s"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(EndpointListError(FETCH_STEP, self.address, str(error) or type(error).__name__))

    async def close(self) -> None:
        """Close the connection; a later call opens a new one."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch(self, token: str | None) -> Result[EndpointListPage, EndpointListError]:
        query = {"page_token": token} if token else {}
        async with self._open_session().get(f"http://{self.address}/instances", params=query) as response:
            if response.status != 200:
                response.close()  # its body is not needed, whatever its length
                return Failure(EndpointListError(FETCH_STEP, self.address, f"status {response.status}"))
            body = await _read_page(response)
            if body is None:
                return Failure(EndpointListError(FETCH_STEP, self.address, f"more than {MAX_PAGE_BYTES} bytes"))
            return decode_endpoint_list_page(body, self.address)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=KEEP_ALIVE_S, use_dns_cache=False)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False, trust_env=False)
        return self._session


async def _read_page(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body of a response; None, once the connection is closed, if it has more than `MAX_PAGE_BYTES`."""
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > MAX_PAGE_BYTES:
            response.close()
            return None
        await asyncio.sleep(0)  # pieces that have been read already come without a turn of the event loop
    return bytes(body)

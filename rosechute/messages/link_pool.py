"""Client links to many addresses, one link each."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from rosechute.messages.client_link import ClientLink
from rosechute.messages.errors import FrameError, LinkError
from rosechute.messages.framing import MessageKind, encode_frame
from rosechute.messages.link_connection import OnMessage


class LinkPool:
    """One link to each address, opened by the first message to it and reopened under backoff.

    Delivery is not guaranteed: messages that cannot be sent are dropped, the oldest first, and every sender repeats
    what matters.
    """

    def __init__(self, on_message: OnMessage, on_closed: Callable[[LinkError], None] | None = None) -> None:
        """Create an empty pool.

        Args:
            on_message: Called with each message that arrives on a link of this pool.
            on_closed: Called when a link has ended or could not be opened.
        """
        self._on_message = on_message
        self._on_closed = on_closed
        self._links: dict[str, ClientLink] = {}

    def send(self, address: str, kind: MessageKind, data: bytes) -> None:
        """Send a message, or drop it if the address cannot be reached or the message is over the size limit."""
        try:
            frame = encode_frame(kind, data)
        except FrameError as error:
            logger.error("link message not sent peer={} error={}", address, error)
            return
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = ClientLink(address, self._on_message, self._link_closed)
        link.send(frame)

    def addresses(self) -> list[str]:
        """Return every address that has a link, open or not."""
        return list(self._links)

    def remove(self, address: str) -> None:
        """Close and drop the link to an address, without calling `on_closed`."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close every link."""
        for address in list(self._links):
            self.remove(address)

    def _link_closed(self, error: LinkError) -> None:
        if self._on_closed is not None:
            self._on_closed(error)

"""Pages of the platform's endpoint list: JSON types and decoding. This module does no I/O.

The format is specified in the section "Service discovery" of the operators' protocol page.
"""

import msgspec
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

READY = "ready"  # state of an instance that accepts new requests; the only other state is "draining"


class EndpointListError(msgspec.Struct, frozen=True):
    """Failure to read the endpoint list: the step that failed, the address of the peer, and the reason."""

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"


class Instance(msgspec.Struct, frozen=True):
    """One entry of the list; the field names are JSON keys, and other keys are ignored."""

    id: str
    service: str
    address: str
    zone: str = ""
    slots: float = 0
    state: str = READY
    cold_remaining_ms: float = 0

    def to_listed_server(self, now: float) -> ListedServer:
        """Return the entry in the form published to the edges.

        Args:
            now: Monotonic time of the read in seconds; `cold_remaining_ms` is relative to it.
        """
        return ListedServer(
            id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            slots=int(self.slots),
            ready=self.state == READY,
            cold_until=now + max(0.0, self.cold_remaining_ms) / 1000.0,
        )


class EndpointListPage(msgspec.Struct, frozen=True):
    """A page of the list; `next_token` is None on the last page."""

    instances: tuple[Instance, ...]
    next_token: str | None = None


_DECODER = msgspec.json.Decoder(EndpointListPage)


def decode_endpoint_list_page(body: bytes, peer: str) -> Result[EndpointListPage, EndpointListError]:
    """Decode a page.

    Args:
        body: JSON body of the response.
        peer: Address of the server, for error messages.
    """
    try:
        return Success(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(EndpointListError("decode a page of the list", peer, str(error)))

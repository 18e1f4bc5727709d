"""One page of the platform's endpoint list, as it comes over HTTP. Pure.

Source: the section "Service discovery" of the operators' protocol page.
"""

import msgspec
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

READY = "ready"  # the state of an instance that takes new requests; the other one is "draining"


class EndpointListError(msgspec.Struct, frozen=True):
    """Why the endpoint list could not be read: the step, the address of the peer, and the reason."""

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"


class Instance(msgspec.Struct, frozen=True):
    """One entry of the list; the field names are JSON keys, and keys that aren't named here are ignored."""

    id: str
    service: str
    address: str
    zone: str = ""
    slots: float = 0
    state: str = READY
    cold_remaining_ms: float = 0

    def to_listed_server(self, now: float) -> ListedServer:
        """Return the entry as it is published to the edges.

        Args:
            now: Time on the steady clock at which it was read, in seconds; the rest of its cold start counts from it.
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
    """A page, and the token of the next one; None on the last."""

    instances: tuple[Instance, ...]
    next_token: str | None = None


_DECODER = msgspec.json.Decoder(EndpointListPage)


def decode_endpoint_list_page(body: bytes, peer: str) -> Result[EndpointListPage, EndpointListError]:
    """Decode a page.

    Args:
        body: The body of the response, JSON.
        peer: Address that it came from, for the error.
    """
    try:
        return Success(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(EndpointListError("decode a page of the list", peer, str(error)))

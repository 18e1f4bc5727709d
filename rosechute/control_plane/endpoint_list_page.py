"""One page of the platform's list of servers, as it is spoken. Pure."""

import msgspec
from returns.result import Failure, Result, Success

from rosechute.distribution.values import ListedServer

READY = "ready"


class EndpointListError(msgspec.Struct, frozen=True):
    """A reading of the list that failed: at which step, at which address, why."""

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"


class Instance(msgspec.Struct, frozen=True):
    """One entry. What isn't named here is ignored."""

    id: str
    service: str
    address: str
    zone: str = ""
    slots: float = 0
    state: str = READY
    cold_remaining_ms: float = 0

    def listed(self, now: float) -> ListedServer:
        """The entry as it is told to the edges; `now` is the steady time at which it was read."""
        return ListedServer(
            id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            slots=int(self.slots),
            ready=self.state == READY,
            cold_until=now + max(0.0, self.cold_remaining_ms) / 1000.0,
        )


class Page(msgspec.Struct, frozen=True):
    """A page and the token of the one that follows."""

    instances: tuple[Instance, ...]
    next_token: str | None = None


_DECODER = msgspec.json.Decoder(Page)


def decode_endpoint_list_page(body: bytes, peer: str) -> Result[Page, EndpointListError]:
    """Read a page."""
    try:
        return Success(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(EndpointListError("decode a page of the list", peer, str(error)))

"""The core machines of the current view, as answers to renewals report them to the edges."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from rosechute.messages import distribution_pb2 as pb


@dataclass(frozen=True, slots=True)
class CoreAddress:
    """A core machine of the current view."""

    id: str
    address: str  # link address, host:port
    control: str  # address of the operator's API, host:port


class CoreDirectory:
    """The core machines and a digest of them, which an edge sends to show that it knows them."""

    def __init__(self) -> None:
        self.digest = 0  # 0 means that no machines are set
        self._machines: tuple[pb.CoreMachine, ...] = ()

    def set_machines(self, machines: Sequence[CoreAddress]) -> None:
        """Set the core machines of the current view."""
        self._machines = tuple(
            pb.CoreMachine(id=one.id, address=one.address, control=one.control) for one in machines
        )
        lines = "\n".join(f"{one.id} {one.address} {one.control}" for one in machines)
        self.digest = zlib.crc32(lines.encode()) or 1  # 0 is reserved for "no machines"

    def unknown_to(self, digest: int) -> tuple[pb.CoreMachine, ...]:
        """Return the machines for an edge that sent this digest; none if the edge knows them already."""
        return self._machines if digest != self.digest else ()

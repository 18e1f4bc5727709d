"""Which other edges this one exchanges loads with, as the leader told: those of its zone, in a small fleet all."""

from __future__ import annotations

from rosechute.messages import distribution_pb2 as pb


class TellingEdges:
    """The edges of the zone and of other zones, each as told last.

    Args:
        own: Name of this edge.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._zone: dict[str, str] = {}  # address by name
        self._others: dict[str, str] = {}
        self.revision = 0  # of the edges of other zones

    def addresses(self) -> dict[str, str]:
        """Addresses of their links by name."""
        return {**self._zone, **self._others}

    def told(self, answer: pb.Renewed) -> bool:
        """Take the leader's answer; whether anything has changed."""
        if not answer.members_revision:
            return False  # a new leader doesn't know yet who lives
        before = self.addresses()
        if answer.zone_edges:
            self._zone = {edge.name: edge.address for edge in answer.zone_edges if edge.name != self._own}
        if answer.other_edges or answer.others_revision != self.revision:
            self._others = {edge.name: edge.address for edge in answer.other_edges}
            self.revision = answer.others_revision
        return self.addresses() != before

"""When an edge tells others of its loads, to whom, and which of their reports count.

Pure. A report is told soon after a change, but the pause between two grows with the number of edges that are told, so
that an edge of a large zone sends no more than an edge of a small one; and again after a while without changes, as
datagrams get lost and what is not told again is forgotten (`routing.load_book`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from google.protobuf.message import DecodeError

from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.load_book import ServerLoad

LEAST_PAUSE_S = 0.01  # between two reports
PAUSE_PER_EDGE_S = 0.004  # the same, by edge that is told: 250 datagrams a second at the most
AGAIN_S = 0.3  # well below the time after which others forget
MOST_SERVERS = 80  # in one report, for it to fit one packet


class LoadExchange:
    """One edge's side of the exchange.

    Args:
        edge: Its name.
        boot: Drawn at the start of the process.
    """

    def __init__(self, edge: str, boot: int) -> None:
        self._edge, self._boot = edge, boot
        self._peers: dict[str, str] = {}  # address by name
        self._newest: dict[str, tuple[int, int]] = {}  # by edge: boot and number
        self._number = 0
        self._told_at = -math.inf
        self.due_at = math.inf  # when `report` has something to tell

    @property
    def addresses(self) -> list[str]:
        """Whom to tell, host:port."""
        return list(self._peers.values())

    def set_peers(self, peers: dict[str, str]) -> None:
        """These edges tell each other, by name; without this one."""
        self._peers = dict(peers)
        self._newest = {edge: newest for edge, newest in self._newest.items() if edge in peers}

    def changed(self, now: float) -> None:
        """What this edge has at servers has changed."""
        pause_s = max(LEAST_PAUSE_S, PAUSE_PER_EDGE_S * len(self._peers))
        self.due_at = min(self.due_at, max(now, self._told_at + pause_s))

    def report(self, now: float, loads: Sequence[ServerLoad]) -> bytes | None:
        """The datagram to be sent to all; None where it is not due, or there is nobody to tell."""
        if now < self.due_at:
            return None
        self._told_at = now
        self.due_at = now + AGAIN_S if loads else math.inf
        if not self._peers:
            return None
        self._number += 1
        told = loads[:MOST_SERVERS]
        return pb.LoadReport(
            edge=self._edge, boot=self._boot, number=self._number,
            servers=[load.server for load in told], unread_tokens=[load.unread_tokens for load in told],
            calls=[load.calls for load in told],
        ).SerializeToString()

    def received(self, data: bytes) -> tuple[str, Iterable[ServerLoad]] | None:
        """Who told which loads; None where the datagram is none of a known edge, or was overtaken."""
        try:
            report = pb.LoadReport.FromString(data)
        except DecodeError:
            return None
        newest = self._newest.get(report.edge)
        if report.edge not in self._peers or newest is not None and (
            newest[0] == report.boot and report.number <= newest[1]
        ):
            return None
        if not len(report.servers) == len(report.unread_tokens) == len(report.calls):
            return None
        self._newest[report.edge] = report.boot, report.number
        told = zip(report.servers, report.unread_tokens, report.calls, strict=True)
        return report.edge, [ServerLoad(*each) for each in told]

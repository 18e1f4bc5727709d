"""What clients and faults need of an instance, be it modelled (`instance.py`) or a real process (`real`)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.instance import Request


class Host(Protocol):
    """One instance of a run."""

    number: int
    up: bool
    requests: dict[str, Request]

    def start(self, entries: Sequence[Entry] | None = None) -> None:
        """A new process, which knows a list that may be old: `entries`, or what the last one had."""

    def kill(self) -> None:
        """Gone at once, with all that it held."""

    def hear(self, news: Directory) -> None:
        """News of the list."""

    def take(self, request: Request, tenant: int, retry: bool) -> None:
        """A client's request."""

    def hang_up(self, request: Request) -> None:
        """The client's time is over."""

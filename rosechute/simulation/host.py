"""Interface that clients and faults use for an instance, either simulated (`instance.py`) or a process (`real`)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.instance import Request


class Host(Protocol):
    """Sidecar instance of a run."""

    number: int
    up: bool
    requests: dict[str, Request]

    def start(self, entries: Sequence[Entry] | None = None) -> None:
        """Start a new process with the server list `entries`, or with the last list of its predecessor."""

    def kill(self) -> None:
        """Stop at once and lose all open requests."""

    def on_directory(self, update: Directory) -> None:
        """Process an update of the server list."""

    def on_request(self, request: Request, tenant: int, retry: bool) -> None:
        """Accept a request of a client."""

    def on_client_timeout(self, request: Request) -> None:
        """Handle the client timeout of a request."""

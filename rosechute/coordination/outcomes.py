"""Requests of operators to a replica, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A request to replace the configuration: compare-and-set on its version.

    Attributes:
        request_id: the runtime's number of the request.
        base_version: the write is rejected unless this is the current version.
        version: version of the new configuration, above `base_version`.
        body: the new configuration.
        digest: identifies the write, so that it may be repeated; covers base version and body.
    """

    request_id: int
    base_version: int
    version: int
    body: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class CommittedConfiguration:
    """A configuration that is committed: no other one ever gets its sequence.

    Attributes:
        sequence: number of the write that set it, counted from 1.
        version: the operator's version.
        body: the configuration.
        digest: digest of the write request.
    """

    sequence: int
    version: int
    body: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class WriteAcknowledged:
    """The write is committed, by this request or an earlier one with the same digest.

    Attributes:
        version: the version that it set.
    """

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write is rejected permanently, as its base version is not the current one.

    Attributes:
        current_version: version of the committed configuration.
    """

    current_version: int


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another machine serves the request: the head a write, the tail a read.

    Attributes:
        control_address: host and port of the operator's API on that machine.
    """

    control_address: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The outcome is not known in time. A write may still be committed; the client repeats the request."""


@dataclass(frozen=True, slots=True)
class ReadResult(CommittedConfiguration):
    """The newest committed configuration."""


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """No configuration had been committed when the read arrived."""


Outcome = WriteAcknowledged | VersionConflict | Redirect | OutcomeUnknown | ReadResult | NoConfiguration

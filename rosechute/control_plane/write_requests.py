"""What the operator's API asks of the chain, and the answers. The answers are those of `rosechute.coordination`."""

import hashlib
from collections.abc import Awaitable
from typing import Protocol

from rosechute.coordination.types import Outcome

DIGEST_BYTES = 16


class ConfigurationStore(Protocol):
    """Takes orders and answers reads; an answer may never come."""

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> Awaitable[Outcome]:
        """Order a configuration that builds on `base_version`."""

    def read(self) -> Awaitable[Outcome]:
        """The newest acknowledged configuration."""


def write_request_digest(base_version: int, body: bytes) -> bytes:
    """What makes two orders the same one: the version they build on, and every byte of the body."""
    return hashlib.blake2b(b"%d\n" % base_version + body, digest_size=DIGEST_BYTES).digest()

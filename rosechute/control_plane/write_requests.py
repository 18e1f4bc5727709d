"""What the operator's API needs of the core: configurations are proposed and read. Outcomes are the replica's."""

import hashlib
from collections.abc import Awaitable
from typing import Protocol

from rosechute.coordination.outcomes import Outcome

DIGEST_BYTES = 16  # 128 bits: two different write requests never share a digest by chance


class ConfigurationStore(Protocol):
    """Proposes writes and serves reads of the replicated configuration; an outcome may never come."""

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> Awaitable[Outcome]:
        """Propose a configuration.

        Args:
            base_version: Version that the configuration builds on; 0 for the first.
            version: Its own version.
            body: The configuration, byte for byte as the operator sent it.
            digest: `write_request_digest` of base version and body.
        """

    def read(self) -> Awaitable[Outcome]:
        """Read the newest acknowledged configuration."""


def write_request_digest(base_version: int, body: bytes) -> bytes:
    """Return the digest by which a repeated write request is recognised as the same one.

    Two requests are the same where base version and every byte of the body are.
    """
    return hashlib.blake2b(b"%d\n" % base_version + body, digest_size=DIGEST_BYTES).digest()

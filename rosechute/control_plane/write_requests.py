"""Interface between the operator API and the core: proposals and reads of configurations."""

import hashlib
from collections.abc import Awaitable
from typing import Protocol

from rosechute.coordination.outcomes import Outcome

DIGEST_BYTES = 16  # 128 bits make a collision of two different write requests negligible


class ConfigurationStore(Protocol):
    """Store of the replicated configuration. The awaitables it returns may never complete."""

    def propose_write(self, base_version: int, version: int, body: bytes, digest: bytes) -> Awaitable[Outcome]:
        """Propose a configuration.

        Args:
            base_version: Version that the configuration is based on; 0 for the first.
            version: Version of the configuration.
            body: The configuration, byte for byte as the operator sent it.
            digest: `write_request_digest` of base version and body.
        """

    def read(self) -> Awaitable[Outcome]:
        """Read the newest acknowledged configuration."""


def write_request_digest(base_version: int, body: bytes) -> bytes:
    """Return the digest that identifies a repeated write request.

    Two requests are the same if their base versions and bodies are equal.
    """
    return hashlib.blake2b(b"%d\n" % base_version + body, digest_size=DIGEST_BYTES).digest()

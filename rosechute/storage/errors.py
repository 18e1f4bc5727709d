"""What can go wrong with the records on disk."""

import msgspec


class StorageError(msgspec.Struct, frozen=True):
    """A step on the disk that failed: what was tried, on which file, and the cause."""

    step: str
    name: str
    cause: str

    def __str__(self) -> str:
        return f"{self.step} {self.name}: {self.cause}"

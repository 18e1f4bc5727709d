"""Errors of the records on disk."""

import msgspec


class StorageError(msgspec.Struct, frozen=True):
    """An operation on the disk that failed. Returned as the failure of a `Result`, not raised."""

    step: str
    """The operation: `load`, `write`, `append to` or `empty`."""
    file_name: str
    """The file in the data directory; empty where the system named none."""
    cause: str
    """The reason that the system gave."""

    def __str__(self) -> str:
        """Return the error in one line, as the log shows it."""
        return f"{self.step} {self.file_name}: {self.cause}"

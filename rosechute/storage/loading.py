"""Opening a record store without blocking the event loop."""

from returns.result import Result

from rosechute.proxy.core.daemon_thread import run_in_daemon_thread

from .errors import StorageError
from .files import Directory
from .record_store import OpenedStore, RecordStore

OpenResult = Result[OpenedStore, StorageError]


async def load_records(directory: Directory) -> OpenResult:
    """Open the record store of a directory in a thread of its own; a disk that hangs blocks only the caller.

    Returns:
        The store with its records, or the error of the operation that failed.
    """
    return await run_in_daemon_thread(lambda: RecordStore.open(directory), "load records")

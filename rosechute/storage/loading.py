"""Opening a record store without blocking the event loop."""

import asyncio
import threading

from returns.result import Result

from .errors import StorageError
from .files import Directory
from .record_store import OpenedStore, RecordStore

OpenResult = Result[OpenedStore, StorageError]


async def load_records(directory: Directory) -> OpenResult:
    """Open the record store of a directory in a thread of its own; a disk that hangs blocks only the caller.

    Returns:
        The store with its records, or the error of the operation that failed.
    """
    loop = asyncio.get_running_loop()
    opened: asyncio.Future[OpenResult] = loop.create_future()

    def finish(result: OpenResult) -> None:
        if not opened.done():  # the caller may have been cancelled
            opened.set_result(result)

    def open_store() -> None:
        loop.call_soon_threadsafe(finish, RecordStore.open(directory))

    # The executor of the loop is not used: a hung thread there would keep the process from ending.
    threading.Thread(target=open_store, name="load records", daemon=True).start()
    return await opened

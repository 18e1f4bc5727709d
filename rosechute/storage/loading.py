"""Loading the records without holding up an event loop."""

import asyncio
import threading

from returns.result import Result

from .errors import StorageError
from .files import Folder
from .record_store import RecordStore

Loaded = Result[tuple[RecordStore, list[bytes]], StorageError]


async def load_records(folder: Folder) -> Loaded:
    """Open the store of a folder in a thread of its own. A disk that hangs holds up the caller only."""
    loop = asyncio.get_running_loop()
    loaded: asyncio.Future[Loaded] = loop.create_future()

    def settle(outcome: Loaded) -> None:
        if not loaded.done():
            loaded.set_result(outcome)

    def work() -> None:
        loop.call_soon_threadsafe(settle, RecordStore.open(folder))

    threading.Thread(target=work, name="load records", daemon=True).start()
    return await loaded

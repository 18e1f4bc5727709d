"""Loading of the records of a core machine at startup, with retries while the disk cannot be read."""

import asyncio

from loguru import logger
from returns.result import Failure

from rosechute.storage.files import DiskDirectory
from rosechute.storage.loading import load_records
from rosechute.storage.record_store import RecordStore

LOAD_RETRY_S = 0.2  # short compared to the 0.7 s after which an unresponsive replica is removed from the chain


async def load_records_until_readable(data_dir: str) -> tuple[RecordStore, list[bytes]]:
    """Load the records of a data directory, retrying until it succeeds.

    The disk is read in a thread, so that a hanging disk does not block the event loop. Each attempt opens its own
    files and closes them on failure, so that repeated failures do not exhaust the file descriptors.

    Returns:
        The open record store and its records, oldest first.
    """
    while True:
        folder = DiskDirectory(data_dir)
        loaded = await load_records(folder)
        if not isinstance(loaded, Failure):
            return loaded.unwrap()
        folder.close()
        logger.warning("records unreadable, retrying error={}", loaded.failure())
        await asyncio.sleep(LOAD_RETRY_S)

"""Load a core machine's records at its start, for as long as its disk cannot be read."""

import asyncio

from loguru import logger
from returns.result import Failure

from rosechute.storage.files import DiskDirectory
from rosechute.storage.loading import load_records
from rosechute.storage.record_store import RecordStore

LOAD_RETRY_S = 0.2  # between two attempts: short beside the 0.7 s after which a silent replica leaves the chain


async def load_records_until_readable(data_dir: str) -> tuple[RecordStore, list[bytes]]:
    """Load the records of a data directory, and retry until that succeeds.

    The disk is read in a thread: one that hangs doesn't block the event loop. Each attempt opens its own files and
    closes them where it fails, so that no number of failures uses up the descriptors.

    Returns:
        The open record store, and the records that it holds, oldest first.
    """
    while True:
        folder = DiskDirectory(data_dir)
        loaded = await load_records(folder)
        if not isinstance(loaded, Failure):
            return loaded.unwrap()
        folder.close()
        logger.warning("records unreadable, retrying error={}", loaded.failure())
        await asyncio.sleep(LOAD_RETRY_S)

"""Event records of a run, the only input of the invariant checker, the statistics and the reports.

A record is a tuple of the time in nanoseconds, the kind, and the fields of that kind. Requests, attempts, servers and
instances are identified by numbers. `judge.py` and `figures.py` read these records.

| kind | fields after time and kind |
| --- | --- |
| REQUEST | request, origin, instance, class, tenant, key, ns until client timeout, earlier tries by the client |
| SEND | request, attempt, server |
| ARRIVE | request, attempt, server, instance, work, 1 if the server accepted it |
| BEGIN | request, attempt, server |
| OUTCOME | request, attempt, how (`rosechute.load_balancing.How`) |
| END | request, ending (`SERVED` ...), ns of the Retry-After delay |
| NOTIFIED | instance, server, state (`UP`, `DRAINING`, `STOPPED`), start of that process in ns (0: before the run) |
| SERVER | server, state, warm capacity in work per ns, fraction of it when cold |
| INSTANCE | instance, 1 for up and 0 for stopped |
| LEVEL | fault, name of the fault kind, intensity from 0 to 1 |
| GAUGE | requests held by all servers, requests open at all instances, servers up |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, BinaryIO

import msgspec
import xxhash

REQUEST, SEND, ARRIVE, BEGIN, OUTCOME, END, NOTIFIED, SERVER, INSTANCE, LEVEL, GAUGE = range(11)
SERVED, REFUSED, FAILED, TIMED_OUT, LOST = range(
    5
)  # TIMED_OUT: the client timed out first; LOST: its instance was killed
UP, DRAINING, STOPPED, CRASHED = range(4)
BLOCK = 8192

Record = tuple[Any, ...]
Reader = Callable[[Record], None]


class Trace:
    """Recorder that passes records in order of time to its readers and computes a digest of all records.

    Args:
        readers: Called with each record, in order.
        file: Optional file to which records are written; `read` decodes it.
        block: Number of records encoded and passed on at a time. The digest depends on it.
    """

    def __init__(self, readers: Iterable[Reader] = (), file: BinaryIO | None = None, block: int = BLOCK) -> None:
        self._readers = tuple(readers)
        self._file = file
        self._block_size = block
        self._hash = xxhash.xxh3_128()
        self._block: list[Record] = []
        self._encode = msgspec.msgpack.Encoder().encode
        self.count = 0

    def add(self, record: Record) -> None:
        """Append a record; flush when a block is full."""
        self._block.append(record)
        if len(self._block) >= self._block_size:
            self.flush()

    def flush(self) -> None:
        """Encode the buffered records and pass them to the file and the readers; called also at the end of a run."""
        if not self._block:
            return
        block, self._block = self._block, []
        self.count += len(block)
        data = self._encode(block)
        self._hash.update(data)
        if self._file is not None:
            self._file.write(len(data).to_bytes(4, "big") + data)
        for reader in self._readers:
            for record in block:
                reader(record)

    def digest(self) -> str:
        """Return the 128-bit digest of all flushed blocks as hexadecimal text."""
        return str(self._hash.hexdigest())


def read(file: BinaryIO) -> Iterator[Record]:
    """Iterate over the records of a file written by `Trace`.

    Raises:
        ValueError: The file ends in the middle of a block.
    """
    while size := file.read(4):
        data = file.read(int.from_bytes(size, "big"))
        if len(size) < 4 or len(data) < int.from_bytes(size, "big"):
            raise ValueError("truncated trace file")
        for record in msgspec.msgpack.decode(data):
            yield tuple(record)

"""What happened in a run, as records. The judge, the figures and the reports read these and nothing else.

A record is a tuple: time in nanoseconds, kind, and what the kind tells. Requests, attempts, servers and instances are
numbers; `judge.py` and `figures.py` show each kind at work.

| kind | fields after time and kind |
| --- | --- |
| ASK | request, origin, instance, class, tenant, key, ns until its client gives up, client's tries so far |
| SEND | request, attempt, server |
| ARRIVE | request, attempt, server, instance, work, 1 where it was taken |
| BEGIN | request, attempt, server |
| OUTCOME | request, attempt, how (`rosechute.load_balancing.How`) |
| END | request, ending (`SERVED` ...), ns until it may be asked again |
| TOLD | instance, server, state (`UP`, `DRAINING`, `GONE`), ns at which that process started (0: long ago) |
| SERVER | server, state, work a ns it does by now when warm, share of that it has when cold |
| INSTANCE | instance, 1 for up and 0 for gone |
| LEVEL | fault, kind's name, level from 0 to 1 |
| GAUGE | requests held by all servers, requests open at all instances, servers up |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, BinaryIO

import msgspec
import xxhash

ASK, SEND, ARRIVE, BEGIN, OUTCOME, END, TOLD, SERVER, INSTANCE, LEVEL, GAUGE = range(11)
SERVED, REFUSED, FAILED, LEFT, LOST = range(5)  # LEFT: the client gave up first; LOST: its instance was killed
UP, DRAINING, GONE, FELL = range(4)
BLOCK = 8192

Record = tuple[Any, ...]
Reader = Callable[[Record], None]


class Trace:
    """Takes records in order of time, hands each on, and keeps a digest of all.

    Args:
        readers: Called with each record, in order.
        file: Where records go as well, if anywhere; `read` gets them back.
        block: How many records are handed on at a time. The digest is of the blocks.
    """

    def __init__(self, readers: Iterable[Reader] = (), file: BinaryIO | None = None, block: int = BLOCK) -> None:
        self._readers = tuple(readers)
        self._file = file
        self._most = block
        self._hash = xxhash.xxh3_128()
        self._block: list[Record] = []
        self._encode = msgspec.msgpack.Encoder().encode
        self.count = 0

    def add(self, record: Record) -> None:
        self._block.append(record)
        if len(self._block) >= self._most:
            self.flush()

    def flush(self) -> None:
        """Hand on what has come; for the end of the run."""
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
        """Equal for equal traces and, as far as 128 bits go, for no others."""
        return str(self._hash.hexdigest())


def read(file: BinaryIO) -> Iterator[Record]:
    """The records of a file that a `Trace` wrote.

    Raises ValueError where it ends in the middle of a block.
    """
    while size := file.read(4):
        data = file.read(int.from_bytes(size, "big"))
        if len(size) < 4 or len(data) < int.from_bytes(size, "big"):
            raise ValueError("the trace breaks off")
        for record in msgspec.msgpack.decode(data):
            yield tuple(record)

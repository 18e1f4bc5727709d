"""Headers of a request that has not started yet, kept as bytes."""

from __future__ import annotations

from array import array
from itertools import pairwise

Headers = list[tuple[bytes, bytes]]
HEADER_LENGTH_BYTES = 8  # memory of a header besides its bytes: the ends of its name and its value


class HeaderBuffer:
    """Headers in two flat buffers: as objects, a short header takes fifty times its bytes."""

    __slots__ = ("_text", "_ends")

    def __init__(self) -> None:
        self._text = bytearray()  # names and values in turn
        self._ends = array("I", [0])  # where each of them ends, behind the start of the first one

    def __len__(self) -> int:
        """Return the number of headers."""
        return len(self._ends) // 2

    def append(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._text += name
        self._ends.append(len(self._text))
        self._text += value
        self._ends.append(len(self._text))

    def headers(self) -> Headers:
        """Return the headers, in order."""
        text = bytes(self._text)
        parts = [text[start:end] for start, end in pairwise(self._ends)]
        return list(zip(parts[::2], parts[1::2], strict=True))

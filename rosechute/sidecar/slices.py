"""Large answers of discovery, decoded in slices: calls go on in between."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable
from typing import Any

SLICE_S = 0.0002  # how much of one turn of the loop may go to a large list: calls wait for it
PATIENCE_S = 0.1  # past that the rest is done at once: what a list drains must not wait for a busy loop
WHITE = re.compile(r"[ \t\n\r]*")
COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")
DECODER = json.JSONDecoder()


class Pace:
    """How work is dealt out to turns of the loop. Not the loop's own clock, which stands still within a turn."""

    def __init__(self) -> None:
        self._begun = self._since = time.perf_counter()

    def due(self) -> bool:
        """Whether this turn's share is used up."""
        now = time.perf_counter()
        return now - self._since >= SLICE_S and now - self._begun < PATIENCE_S

    async def rest(self) -> None:
        """Let the loop go on; the next slice begins."""
        await asyncio.sleep(0)
        self._since = time.perf_counter()


async def decode(body: bytes, key: str, take: Callable[[Any], None], pace: Pace) -> tuple[Any, bool]:
    """What `json.loads(body)` gives, and whether the items of the array at `key` went to `take` one by one, in order;
    then that array is left out. Where it can't be taken apart, for whatever reason, it is decoded in one piece, and
    what `take` was given does not count.

    Raises:
        ValueError, RecursionError: as json.loads does.
    """
    try:
        return await _apart(body.decode(json.detect_encoding(body), "surrogatepass"), key, take, pace), True
    except (ValueError, IndexError, RecursionError):
        return json.loads(body), False


async def _apart(text: str, key: str, take: Callable[[Any], None], pace: Pace) -> dict[str, Any]:
    found: dict[str, Any] = {}
    apart = False
    at = _skip(text, _expect(text, _skip(text, 0), "{"))
    while True:
        name, at = DECODER.raw_decode(text, at)
        if not isinstance(name, str) or (name == key and apart):
            raise ValueError("a name that is none, or the array twice")
        at = _skip(text, _expect(text, _skip(text, at), ":"))
        if name == key:
            apart = True
            at = await _items(text, _expect(text, at, "["), take, pace)
        else:
            found[name], at = DECODER.raw_decode(text, at)
        comma = COMMA.match(text, at)
        if comma is None:
            break
        at = comma.end()
    if _skip(text, _expect(text, _skip(text, at), "}")) != len(text):
        raise ValueError("more than one value")
    if not apart:
        raise ValueError("no such array")
    return found


async def _items(text: str, at: int, take: Callable[[Any], None], pace: Pace) -> int:
    at = _skip(text, at)
    if text[at] == "]":
        return at + 1
    while True:
        item, at = DECODER.raw_decode(text, at)
        take(item)
        comma = COMMA.match(text, at)
        if comma is None:
            return _expect(text, _skip(text, at), "]")
        at = comma.end()
        if pace.due():
            await pace.rest()


def _skip(text: str, at: int) -> int:
    white = WHITE.match(text, at)
    assert white is not None
    return white.end()


def _expect(text: str, at: int, sign: str) -> int:
    if text[at] != sign:
        raise ValueError(f"no {sign} at {at}")
    return at + 1

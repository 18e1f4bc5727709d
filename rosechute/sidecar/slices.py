"""Decoding of large JSON documents in time slices, so that requests are served in between."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable
from typing import Any

SLICE_S = 0.0002  # time per turn of the event loop: requests wait for it
MAX_SLICED_S = 0.1  # after this the rest is done at once: drained servers in a list must not wait for a busy loop
WHITESPACE = re.compile(r"[ \t\n\r]*")
COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")
DECODER = json.JSONDecoder()


class TimeSlicer:
    """Divides work into slices, one per turn of the event loop.

    Doesn't use the loop's clock, which does not advance within a turn.
    """

    def __init__(self) -> None:
        self._started_at = self._slice_started_at = time.perf_counter()

    def is_due(self) -> bool:
        """Return whether the current slice is used up."""
        now = time.perf_counter()
        return now - self._slice_started_at >= SLICE_S and now - self._started_at < MAX_SLICED_S

    async def yield_to_loop(self) -> None:
        """Run the event loop once and start the next slice."""
        await asyncio.sleep(0)
        self._slice_started_at = time.perf_counter()


async def decode(body: bytes, key: str, on_item: Callable[[Any], None], slicer: TimeSlicer) -> tuple[Any, bool]:
    """Decode a JSON object, and pass the items of the array at `key` to `on_item` one by one.

    Returns:
        The object without that array, and True. If it can't be decoded in slices, for whatever reason, the result of
        `json.loads(body)` and False; items that were passed to `on_item` must be discarded then.

    Raises:
        ValueError, RecursionError: as `json.loads` does.
    """
    try:
        return await _decode_object(
            body.decode(json.detect_encoding(body), "surrogatepass"), key, on_item, slicer
        ), True
    except (ValueError, IndexError, RecursionError):
        return json.loads(body), False


async def _decode_object(text: str, key: str, on_item: Callable[[Any], None], slicer: TimeSlicer) -> dict[str, Any]:
    values: dict[str, Any] = {}
    found_array = False
    at = _skip_whitespace(text, _expect(text, _skip_whitespace(text, 0), "{"))
    while True:
        name, at = DECODER.raw_decode(text, at)
        if not isinstance(name, str) or (name == key and found_array):
            raise ValueError("a key is not a string, or the array occurs twice")
        at = _skip_whitespace(text, _expect(text, _skip_whitespace(text, at), ":"))
        if name == key:
            found_array = True
            at = await _decode_items(text, _expect(text, at, "["), on_item, slicer)
        else:
            values[name], at = DECODER.raw_decode(text, at)
        comma = COMMA.match(text, at)
        if comma is None:
            break
        at = comma.end()
    if _skip_whitespace(text, _expect(text, _skip_whitespace(text, at), "}")) != len(text):
        raise ValueError("data after the end of the object")
    if not found_array:
        raise ValueError("the array is missing")
    return values


async def _decode_items(text: str, at: int, on_item: Callable[[Any], None], slicer: TimeSlicer) -> int:
    at = _skip_whitespace(text, at)
    if text[at] == "]":
        return at + 1
    while True:
        item, at = DECODER.raw_decode(text, at)
        on_item(item)
        comma = COMMA.match(text, at)
        if comma is None:
            return _expect(text, _skip_whitespace(text, at), "]")
        at = comma.end()
        if slicer.is_due():
            await slicer.yield_to_loop()


def _skip_whitespace(text: str, at: int) -> int:
    match = WHITESPACE.match(text, at)
    assert match is not None
    return match.end()


def _expect(text: str, at: int, character: str) -> int:
    if text[at] != character:
        raise ValueError(f"expected {character} at {at}")
    return at + 1

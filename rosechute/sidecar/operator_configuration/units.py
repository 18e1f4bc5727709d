"""Durations in configuration files: a number and a unit, such as "250ms" or "2.5s"."""

from __future__ import annotations

import re
from decimal import Decimal, InvalidOperation

UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
SECOND_NS = UNITS["s"]
MAX_DURATION_NS = 24 * UNITS["h"]
DURATION = re.compile(r"([0-9]{1,18}(?:\.[0-9]{1,18})?)\s?([a-z]*)")


class Span(int):
    """A duration in whole nanoseconds."""

    def __str__(self) -> str:
        return format_duration(self)


def parse_duration(text: object) -> Span:
    """Parse a duration.

    Raise ValueError, with a message for the operator, unless the text is a positive number with one of the
    units us, ms, s, m and h, a multiple of one nanosecond and at most 24 hours.
    """
    if isinstance(text, bool | int | float):
        raise ValueError(f'a duration is a string with a unit, such as "250ms"; {text!r} has none')
    if not isinstance(text, str):
        raise ValueError(f'a duration is a string such as "250ms", not {type(text).__name__}')
    found = DURATION.fullmatch(text.strip())
    if found is None:
        sign = " and never negative" if text.strip().startswith("-") else ""
        raise ValueError(f'a duration is a number and a unit{sign}, such as "250ms" or "2.5s"')
    number, unit = found.groups()
    if unit not in UNITS:
        known = ", ".join(UNITS)
        raise ValueError(f"the unit {unit!r} is not one of {known}" if unit else f"the unit is missing: {known}")
    try:
        value = Decimal(number) * UNITS[unit]
    except InvalidOperation:  # pragma: no cover - the regular expression only accepts numbers
        raise ValueError("not a number") from None
    if value != int(value):
        raise ValueError("finer than a nanosecond")
    if not value:
        raise ValueError("a duration must be above 0; omit the key for no limit")
    if value > MAX_DURATION_NS:
        raise ValueError("longer than 24h, the maximum")
    return Span(int(value))


def format_duration(ns: int) -> str:
    """Format a duration in the largest suitable unit, such as "2.5s" for 2500000000 ns."""
    if not ns:
        return "0s"
    for unit in ("h", "m", "s", "ms", "us"):
        value = ns / UNITS[unit]
        if value >= 1 and (unit in ("s", "ms", "us") or value == int(value)):
            return f"{value:.6g}{unit}"
    return f"{ns}ns"

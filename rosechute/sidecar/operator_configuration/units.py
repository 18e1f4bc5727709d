"""Times as operators write them: a number and a unit, such as "250ms" or "2.5s". Pure."""

from __future__ import annotations

import re
from decimal import Decimal, InvalidOperation

UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
SECOND_NS = UNITS["s"]
LONGEST_NS = 24 * UNITS["h"]
FORM = re.compile(r"([0-9]{1,18}(?:\.[0-9]{1,18})?)\s?([a-z]*)")


class Span(int):
    """A length of time, in whole nanoseconds."""

    def __str__(self) -> str:
        return shown(self)


def span(text: object) -> Span:
    """Read a length of time.

    Raises ValueError, with a sentence for the operator, on anything that is not a positive number with one of
    the units us, ms, s, m and h, on what is finer than a nanosecond, and on more than 24 hours.
    """
    if isinstance(text, bool | int | float):
        raise ValueError(f'a time is a text with its unit, such as "250ms"; {text!r} has none')
    if not isinstance(text, str):
        raise ValueError(f'a time is a text such as "250ms", not {type(text).__name__}')
    found = FORM.fullmatch(text.strip())
    if found is None:
        sign = " and never negative" if text.strip().startswith("-") else ""
        raise ValueError(f'a time is a number and a unit{sign}, such as "250ms" or "2.5s"')
    number, unit = found.groups()
    if unit not in UNITS:
        known = ", ".join(UNITS)
        raise ValueError(f"the unit {unit!r} is not one of {known}" if unit else f"the unit is missing: {known}")
    try:
        value = Decimal(number) * UNITS[unit]
    except InvalidOperation:  # pragma: no cover - the form above lets none through
        raise ValueError("not a number") from None
    if value != int(value):
        raise ValueError("finer than a nanosecond")
    if not value:
        raise ValueError("a time must be above 0; leave the key out for no limit")
    if value > LONGEST_NS:
        raise ValueError("longer than 24h, the longest time that is taken")
    return Span(int(value))


def shown(ns: int) -> str:
    """A length of time in the largest unit that shows it in few digits: 2500000000 is "2.5s"."""
    if not ns:
        return "0s"
    for unit in ("h", "m", "s", "ms", "us"):
        value = ns / UNITS[unit]
        if value >= 1 and (unit in ("s", "ms", "us") or value == int(value)):
            return f"{value:.6g}{unit}"
    return f"{ns}ns"

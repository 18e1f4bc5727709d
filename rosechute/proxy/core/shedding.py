"""Which connections give way once a process has spent its memory or its places. Pure: no I/O and no clock.

A connection whose requests are all at servers never gives way, nor does one that is waiting for this process. The
others give way in the order of `Standing`, in one standing the largest holder first, but of those that do not read
the one that has been silent for longest.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

Holder = TypeVar("Holder")


class Standing(enum.IntEnum):
    """Why a connection holds what it holds. The lowest gives way first."""

    SILENT = 0  # its peer has never sent anything
    STALLED = 1  # its peer has stopped within a message of which nothing was passed on
    STALLED_FORWARDED = 2  # the same, where a part of the message was passed on
    IDLE = 3  # nothing is under way
    ARRIVING = 4  # a message is arriving, and nothing of it was passed on
    ARRIVING_FORWARDED = 5  # the same, where a part of the message was passed on
    NOT_READING = 6  # its peer does not read what it is sent
    KEPT = 7  # never gives way


class Holding(NamedTuple, Generic[Holder]):
    """What one connection holds.

    Attributes:
        holder: The connection.
        standing: Its standing.
        held_bytes: Memory that is free once it is closed.
        silent_s: Seconds since its peer last sent or read anything.
    """

    holder: Holder
    standing: Standing
    held_bytes: int
    silent_s: float


def who_gives_way(holdings: Iterable[Holding[Holder]], excess_bytes: int) -> list[Holder]:
    """Return the connections to close so that at least `excess_bytes` become free, as far as that is possible.

    Args:
        holdings: What the connections hold. One that holds nothing is never closed.
        excess_bytes: Bytes to free.
    """
    closed: list[Holder] = []
    candidates = [one for one in holdings if one.standing is not Standing.KEPT and one.held_bytes > 0]
    for one in sorted(candidates, key=_precedence):
        if excess_bytes <= 0:
            break
        closed.append(one.holder)
        excess_bytes -= one.held_bytes
    return closed


def who_makes_room(holdings: Iterable[Holding[Holder]], silent_s: float) -> Holder | None:
    """Return the connection to close for a new one: the longest silent of the lowest standing; None if there is none.

    Args:
        holdings: What the connections hold.
        silent_s: Seconds for which a connection must have been silent.
    """
    candidates = [one for one in holdings if one.standing is not Standing.KEPT and one.silent_s >= silent_s]
    if not candidates:
        return None
    return min(candidates, key=lambda one: (one.standing, -one.silent_s)).holder


def _precedence(one: Holding[Holder]) -> tuple[int, int, float]:
    """Return the sort key: the first gives way first."""
    if one.standing is Standing.NOT_READING:
        return (one.standing, 0, -one.silent_s)  # one that reads slowly holds as much as one that does not read
    return (one.standing, -one.held_bytes, -one.silent_s)

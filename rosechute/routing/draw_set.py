"""A set that a random member can be drawn from, at the same cost however large it is."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class DrawSet(Generic[Member]):
    """Members in a list, and the place of each; the last member takes the place of one that leaves."""

    __slots__ = ("_members", "_places")

    def __init__(self) -> None:
        self._members: list[Member] = []
        self._places: dict[Member, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, member: Member) -> bool:
        return member in self._places

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def set(self, member: Member, inside: bool) -> None:
        """Put a member in or take it out."""
        if inside:
            self.add(member)
        else:
            self.discard(member)

    def add(self, member: Member) -> None:
        """Put a member in, where it is not yet."""
        if member not in self._places:
            self._places[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: Member) -> None:
        """Take a member out, where it is in."""
        place = self._places.pop(member, None)
        if place is None:
            return
        last = self._members.pop()
        if last is not member:
            self._members[place] = last
            self._places[last] = place

    def draw(self, draw: Callable[[], float]) -> Member:
        """A random member; there must be one."""
        return self._members[int(draw() * len(self._members))]

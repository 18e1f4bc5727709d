"""A set from which a random member is drawn in constant time."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class DrawSet(Generic[Member]):
    """Members in a list, and the index of each. The last member takes the index of a removed one."""

    __slots__ = ("_members", "_indices")

    def __init__(self) -> None:
        self._members: list[Member] = []
        self._indices: dict[Member, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, member: Member) -> bool:
        return member in self._indices

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def set(self, member: Member, inside: bool) -> None:
        """Add or remove a member."""
        if inside:
            self.add(member)
        else:
            self.discard(member)

    def add(self, member: Member) -> None:
        """Add a member, if it is missing."""
        if member not in self._indices:
            self._indices[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: Member) -> None:
        """Remove a member, if it is there."""
        index = self._indices.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if last is not member:
            self._members[index] = last
            self._indices[last] = index

    def draw(self, draw: Callable[[], float]) -> Member:
        """Return a random member.

        Raises:
            IndexError: the set is empty.
        """
        return self._members[int(draw() * len(self._members))]

"""Set with random selection of a member in constant time."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class DrawSet(Generic[Member]):
    """A list of members and the index of each; on removal, the last member moves to the free index."""

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

    def set(self, member: Member, is_member: bool) -> None:
        """Add a member if `is_member` is true, else remove it."""
        if is_member:
            self.add(member)
        else:
            self.discard(member)

    def add(self, member: Member) -> None:
        """Add a member; do nothing if it is present."""
        if member not in self._indices:
            self._indices[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: Member) -> None:
        """Remove a member; do nothing if it is absent."""
        index = self._indices.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if last is not member:
            self._members[index] = last
            self._indices[last] = index

    def draw(self, draw: Callable[[], float]) -> Member:
        """Return a random member.

        Args:
            draw: Source of random numbers in [0, 1).

        Raises:
            IndexError: The set is empty.
        """
        return self._members[int(draw() * len(self._members))]

"""Routing table as a tree of path segments.

The lookup time depends on the number of segments of a path, not on the number of routes. The most specific
route wins, in this order: first the path, segment by segment from the left, a literal before a template before
a prefix; then a specific method before any; then a specific tenant before any; then more header conditions
before fewer. If no route of the most specific path matches the rest of a request, those of the next path are
tried. Two routes that could both match a request and are equal in all four respects are ambiguous.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import combinations
from typing import Generic, NamedTuple, TypeVar

from rosechute.sidecar.route_matching.pattern import Pattern, decode_unreserved

T = TypeVar("T")


class Match(NamedTuple):
    """The match condition of a route."""

    pattern: Pattern
    method: bytes | None = None
    tenant: bytes | None = None
    headers: tuple[tuple[bytes, bytes], ...] = ()
    """Required headers: lower-case names and exact values, sorted by name."""

    @property
    def order(self) -> tuple[tuple[int, ...], bool, bool, int]:
        """Return the specificity; of two matching routes, the one with the larger order wins."""
        return self.pattern.shape, self.method is not None, self.tenant is not None, len(self.headers)

    def overlaps(self, other: Match) -> bool:
        """Return whether some request matches both conditions."""
        if not self.pattern.overlaps(other.pattern):
            return False
        if None not in (self.method, other.method) and self.method != other.method:
            return False
        if None not in (self.tenant, other.tenant) and self.tenant != other.tenant:
            return False
        mine, theirs = dict(self.headers), dict(other.headers)
        return all(mine[name] == theirs[name] for name in mine.keys() & theirs.keys())


class _Leaf(Generic[T]):
    """The routes of one path pattern, by method and tenant and then by the set of required headers."""

    __slots__ = ("exact", "checks_headers")

    def __init__(self) -> None:
        self.exact: dict[tuple[bytes | None, bytes | None], dict[tuple[bytes, ...], dict[tuple[bytes, ...], T]]] = {}
        self.checks_headers = False  # whether any route requires headers

    def add(self, match: Match, route: T) -> None:
        names = tuple(name for name, _ in match.headers)
        values = tuple(value for _, value in match.headers)
        sets = self.exact.setdefault((match.method, match.tenant), {})
        sets.setdefault(names, {})[values] = route
        # Largest sets first; no two routes with sets of equal size can match the same request.
        self.exact[match.method, match.tenant] = dict(sorted(sets.items(), key=lambda item: -len(item[0])))

    def find(self, method: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]) -> T | None:
        for key in ((method, tenant), (method, None), (None, tenant), (None, None)):
            sets = self.exact.get(key)
            if sets is None:
                continue
            for names, routes in sets.items():
                found = routes.get(tuple(headers.get(name, b"\0") for name in names))
                if found is not None:
                    return found
        return None


class _Node(Generic[T]):
    """A node of the tree, for one segment of a path."""

    __slots__ = ("literals", "template", "here", "below")

    def __init__(self) -> None:
        self.literals: dict[bytes, _Node[T]] = {}
        self.template: _Node[T] | None = None
        self.here: _Leaf[T] | None = None  # routes whose pattern ends at this node
        self.below: _Leaf[T] | None = None  # routes whose pattern is a prefix ending at this node


class Table(Generic[T]):
    """Routing table."""

    def __init__(self, routes: Iterable[tuple[Match, T]] = ()) -> None:
        self._root: _Node[T] = _Node()
        self.size = 0
        for match, route in routes:
            self._add(match, route)

    def _add(self, match: Match, route: T) -> None:
        node = self._root
        for part in match.pattern.parts:
            if part is None:
                node.template = node.template or _Node()
                node = node.template
            else:
                node = node.literals.setdefault(part, _Node())
        leaf = node.below if match.pattern.below else node.here
        if leaf is None:
            leaf = _Leaf()
            if match.pattern.below:
                node.below = leaf
            else:
                node.here = leaf
        leaf.add(match, route)
        self.size += 1

    def find(self, method: bytes, target: bytes, tenant: bytes | None, headers: Mapping[bytes, bytes]) -> T | None:
        """Return the most specific route that matches a request, or None; `headers` has lower-case names."""
        parts = decode_unreserved(target.partition(b"?")[0]).split(b"/")
        if parts[0]:
            return None  # not a path
        for leaf in self._leaves(self._root, parts, 1):
            found = leaf.find(method, tenant, headers)
            if found is not None:
                return found
        return None

    def _leaves(self, node: _Node[T], parts: list[bytes], at: int) -> Iterator[_Leaf[T]]:
        """Yield the routes of matching path patterns, the most specific pattern first."""
        if at == len(parts):
            if node.here is not None:
                yield node.here
            return
        part = parts[at]
        literal = node.literals.get(part)
        if literal is not None:
            yield from self._leaves(literal, parts, at + 1)
        if node.template is not None and part:
            yield from self._leaves(node.template, parts, at + 1)
        if node.below is not None:
            yield node.below


def ambiguous(matches: list[Match]) -> Iterator[tuple[int, int]]:
    """Yield the index pairs of routes that could match the same request with equal specificity.

    Such routes have paths of equal shape and, as both match, equal literals. Only routes with the same segments,
    method and tenant are therefore compared, which keeps the cost linear.
    """
    groups: dict[tuple[object, ...], list[int]] = {}
    for i, match in enumerate(matches):
        groups.setdefault((match.order, match.pattern.parts, match.method, match.tenant), []).append(i)
    for places in groups.values():
        if len(places) < 2:
            continue
        sets: dict[tuple[bytes, ...], list[int]] = {}
        seen: dict[tuple[tuple[bytes, bytes], ...], int] = {}
        for place in places:
            headers = matches[place].headers
            if headers in seen:
                yield seen[headers], place
                continue
            seen[headers] = place
            sets.setdefault(tuple(name for name, _ in headers), []).append(place)
        # Routes with the same header names and different values exclude each other; routes with different sets
        # of names do so only if the values of a shared name differ.
        for one, two in combinations(sets, 2):
            shared = sorted(set(one) & set(two))
            known = {_values(matches[place], shared): place for place in sets[one]}
            for place in sets[two]:
                rival = known.get(_values(matches[place], shared))
                if rival is not None:
                    yield min(rival, place), max(rival, place)
                    break


def _values(match: Match, names: Iterable[bytes]) -> tuple[bytes, ...]:
    required = dict(match.headers)
    return tuple(required[name] for name in names)

"""Routing table: lookups agree with a linear search, and their cost does not depend on the number of routes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosechute.sidecar.route_matching.pattern import decode_unreserved, parse
from rosechute.sidecar.route_matching.table import Match, Table, ambiguous

PARTS = st.sampled_from(["a", "b", "{x}", "c"])
VALUES = st.sampled_from([b"1", b"2"])


@st.composite
def matches(draw):
    parts = ["a", *draw(st.lists(PARTS, max_size=3))]
    parts = [f"{{x{i}}}" if part == "{x}" else part for i, part in enumerate(parts)]
    text = "/" + "/".join(parts) + draw(st.sampled_from(["", "/*"]))
    headers = draw(st.dictionaries(st.sampled_from([b"h1", b"h2", b"h3"]), VALUES, max_size=2))
    return Match(
        parse(text),
        draw(st.sampled_from([None, b"GET", b"POST"])),
        draw(st.sampled_from([None, b"t1", b"t2"])),
        tuple(sorted(headers.items())),
    )


def fits(match, method, path, tenant, headers):
    parts = path.split(b"/")[1:]
    own = match.pattern.parts
    if len(parts) < len(own) + match.pattern.below or (len(parts) > len(own) and not match.pattern.below):
        return False
    return (
        all(want in (None, got) and (want is not None or got) for want, got in zip(own, parts, strict=False))
        and match.method in (None, method)
        and match.tenant in (None, tenant)
        and all(headers.get(name) == value for name, value in match.headers)
    )


@given(
    st.lists(matches(), max_size=12),
    st.lists(st.sampled_from([b"a", b"b", b"c", b"d", b""]), max_size=4),
    st.sampled_from([b"GET", b"POST"]),
    st.sampled_from([None, b"t1", b"t2", b"t3"]),
    st.dictionaries(st.sampled_from([b"h1", b"h2", b"h3"]), VALUES),
)
def test_table_agrees_with_linear_search(routes, parts, method, tenant, headers):
    kept = []
    for match in routes:  # accepted files contain no ambiguous routes
        if not list(ambiguous([*kept, match])):
            kept.append(match)
    path = b"/a" + b"".join(b"/" + part for part in parts)
    found = [m for m in kept if fits(m, method, path, tenant, headers)]
    best = max(found, key=lambda m: m.order, default=None)
    assert Table((m, m) for m in kept).find(method, path + b"?q=1", tenant, headers) is best
    assert sum(m.order == best.order for m in found) <= 1 if best else True


@given(st.lists(matches(), min_size=2, max_size=8))
def test_ambiguous_pairs_overlap_and_have_equal_order(routes):
    pairs = {
        (i, j)
        for i, one in enumerate(routes)
        for j, two in enumerate(routes)
        if i < j and one.order == two.order and one.overlaps(two)
    }
    pairs_found = set(ambiguous(routes))
    assert pairs_found <= pairs and bool(pairs_found) == bool(pairs)


class Counting(dict):
    lookups = 0

    def get(self, *key):
        Counting.lookups += 1
        return super().get(*key)


def test_lookup_cost_does_not_depend_on_the_number_of_routes():
    def lookups(count):
        table = Table((Match(parse(f"/a/r{i}/{{id}}")), i) for i in range(count))
        for node in walk(table._root):
            node.literals = Counting(node.literals)
        Counting.lookups = 0
        assert table.find(b"GET", f"/a/r{count - 1}/7".encode(), None, {}) == count - 1
        return Counting.lookups

    assert lookups(1) == lookups(2000)


def walk(node):
    yield node
    for child in [*node.literals.values(), *([node.template] if node.template else [])]:
        yield from walk(child)


def test_many_tenants_on_one_path_and_many_header_values():
    table = Table(
        [(Match(parse("/a"), None, f"t{i}".encode()), i) for i in range(2000)]
        + [(Match(parse("/b"), None, None, ((b"x-kind", f"{i}".encode()),)), i) for i in range(2000)]
    )
    assert table.find(b"GET", b"/a", b"t1999", {}) == 1999 and table.find(b"GET", b"/a", b"t2000", {}) is None
    assert table.find(b"GET", b"/b", None, {b"x-kind": b"77"}) == 77


def test_precedence_is_path_method_tenant_headers():
    names = [
        ("/a/*", None, None, 0),
        ("/a/{x}", None, None, 0),
        ("/a/{x}", None, None, 1),
        ("/a/{x}", None, b"t", 0),
        ("/a/{x}", b"GET", None, 0),
        ("/a/{x}", b"GET", b"t", 0),
        ("/a/7", None, None, 0),
    ]
    rows = [(Match(parse(p), m, t, ((b"h", b"1"),)[:n]), i) for i, (p, m, t, n) in enumerate(names)]
    for last in range(len(rows), 0, -1):
        assert Table(rows[:last]).find(b"GET", b"/a/7", b"t", {b"h": b"1"}) == last - 1


@pytest.mark.parametrize(
    "pattern, path, fit",
    [
        ("/a", b"/a", True),
        ("/a", b"/a/", False),
        ("/a/{x}", b"/a/", False),
        ("/a/{x}", b"/a/b", True),
        ("/a/*", b"/a", False),
        ("/a/*", b"/a/", True),
        ("/a/*", b"/a/b/c", True),
        ("/a/", b"/a/", True),
        ("/a/%7Eb", b"/a/~b", True),
        ("/a/b", b"/a/%62", True),
        ("/a/b", b"/a/%2Fb", False),
        ("/a", b"*", False),
        ("/a/%c3%b6", b"/a/%C3%B6", True),
    ],
)
def test_path_matching(pattern, path, fit):
    assert (Table([(Match(parse(pattern)), 1)]).find(b"GET", path, None, {}) == 1) is fit


@given(st.binary(max_size=40))
def test_lookup_accepts_any_bytes(path):
    table = Table([(Match(parse("/a/{x}/*")), 1), (Match(parse("/a/b")), 2)])
    assert table.find(b"GET", path, None, {}) in (None, 1, 2)
    assert (
        decode_unreserved(decode_unreserved(path)) == decode_unreserved(path)
        or b"%25" in decode_unreserved(path)
        or b"%" in path
    )

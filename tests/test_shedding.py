"""Who gives way once memory or places are spent, and what is charged as held."""

from __future__ import annotations

import random

from rosechute.proxy.core.flow import PIECE_BYTES, Body, Budget
from rosechute.proxy.core.receive_buffers import LARGE_RECEIVE_BUFFER_BYTES, MIN_RECEIVE_BUFFER_BYTES
from rosechute.proxy.core.shedding import Holding, Standing, who_gives_way, who_makes_room


def test_lower_standings_give_way_first_and_large_holders_before_small_ones():
    holdings = [
        Holding("arriving", Standing.ARRIVING, 50, 0.0),
        Holding("small", Standing.STALLED, 1, 9.0),
        Holding("large", Standing.STALLED, 10, 1.0),
        Holding("forwarded", Standing.STALLED_FORWARDED, 99, 9.0),
    ]
    assert who_gives_way(holdings, 10) == ["large"]
    assert who_gives_way(holdings, 11) == ["large", "small"]
    assert who_gives_way(holdings, 12) == ["large", "small", "forwarded"]
    assert who_gives_way(holdings, 10**6) == ["large", "small", "forwarded", "arriving"]


def test_slow_reader_gives_way_after_one_that_reads_nothing():
    holdings = [
        Holding("slow", Standing.NOT_READING, 80, 0.1),
        Holding("none", Standing.NOT_READING, 70, 5.0),
    ]
    assert who_gives_way(holdings, 1) == ["none"]


def test_kept_and_empty_connections_never_give_way():
    holdings = [Holding("kept", Standing.KEPT, 100, 99.0), Holding("empty", Standing.STALLED, 0, 99.0)]
    assert who_gives_way(holdings, 1000) == []
    assert who_makes_room([holdings[0]], 0.0) is None


def test_room_is_made_by_the_longest_silent_of_the_lowest_standing():
    holdings = [
        Holding("idle", Standing.IDLE, 0, 50.0),
        Holding("silent", Standing.SILENT, 0, 0.2),
        Holding("older", Standing.SILENT, 0, 0.4),
        Holding("new", Standing.SILENT, 0, 0.0),
    ]
    assert who_makes_room(holdings, 0.1) == "older"
    assert who_makes_room(holdings[:1] + holdings[3:], 0.1) == "idle"
    assert who_makes_room(holdings[3:], 0.1) is None


def test_freed_bytes_suffice_or_nothing_is_left_to_free():
    draw = random.Random(7)
    for _ in range(200):
        holdings = [
            Holding(number, draw.choice(list(Standing)), draw.randrange(100), draw.random())
            for number in range(draw.randrange(30))
        ]
        excess = draw.randrange(1000)
        closed = who_gives_way(holdings, excess)
        freed = sum(one.held_bytes for one in holdings if one.holder in closed)
        free = sum(one.held_bytes for one in holdings if one.standing is not Standing.KEPT)
        assert freed >= min(excess, free) and len(set(closed)) == len(closed)
        worst = max((one.standing for one in holdings if one.holder in closed), default=Standing.SILENT)
        left = [one for one in holdings if one.standing < worst and one.held_bytes and one.holder not in closed]
        assert not left


def test_short_pieces_of_a_body_are_joined_in_order():
    budget, draw = Budget(192), random.Random(3)
    body, sent = Body(budget, None, lambda: None), b""
    for _ in range(3000):
        piece = draw.randbytes(draw.choice((1, 1, 1, 16, PIECE_BYTES - 1, PIECE_BYTES, 9000)))
        body.put(piece)
        sent += piece
    pieces = list(iter(body.take, b""))
    assert b"".join(pieces) == sent and budget.used == 0 and body.held == 0
    assert len(pieces) < len(sent) / PIECE_BYTES * 2 + 2


def test_dropped_body_releases_joined_pieces():
    budget = Budget(192)
    body = Body(budget, None, lambda: None)
    body.put(b"x")
    body.drop()
    assert budget.used == 0 and body.take() == b""


def test_receive_buffers_shrink_as_connections_come_but_not_below_the_floor():
    budget = Budget(260)
    sizes = [budget.receive_buffer(connections) for connections in range(3000)]
    assert sizes[0] == sizes[100] == LARGE_RECEIVE_BUFFER_BYTES and sizes[-1] == MIN_RECEIVE_BUFFER_BYTES
    assert sizes == sorted(sizes, reverse=True)
    assert 2 * sum(sizes) <= budget.total / 2 + 2 * 3000 * MIN_RECEIVE_BUFFER_BYTES + 2 * LARGE_RECEIVE_BUFFER_BYTES


def test_budget_is_spent_above_its_total_and_the_share_of_one_body():
    budget = Budget(192)
    budget.take(budget.total)
    assert not budget.is_spent
    budget.take(2 << 20)
    assert budget.is_spent and budget.excess > 2 << 20

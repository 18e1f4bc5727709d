"""Days by point: each is one thing that operators met, drawn by a seed, for any deployment."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence

from .day import Closing, Day, Trouble

SHORTEST_DAY_S = 100.0
LONGEST_DAY_S = 130.0
FIRST_AT_S = 2.0
QUIET_END_S = 4.0  # before the final fault
LAST_LOSS_S = 1.0  # before the final fault, where the last losses are meant to follow one another closely

CUTS = (
    "all",
    "near",
    "oldest",
    "lure",
    "both",
    "leader",
    "one_way",
    "leader race hard",
    "leader meet",
    "all lure",
    "near one_way",
    "oldest race",
    "both meet",
    "reader",
    "turn hard",
    "seeds",
    "leader refuse",
    "all reset",
    "leader one_way race",
    "lure race hard",
    "reader drain",
    "leader meet hard",
)
CLOSINGS = (
    Closing("power_off_all", 1.2),
    Closing("power_off_all", 0.8, "timed"),
    Closing("power_off_all", 1.5, "taken"),
    Closing("kill_all", 0.7),
    Closing("kill_all", 1.0, "timed"),
    Closing("kill_all", 1.0, "taken"),
    Closing("wipe_after_ack", 1.0),
    Closing("wipe_after_ack", 1.0, "power"),
    Closing("wipe_after_ack", 1.0, "oldest"),
    Closing("wipe_after_ack", 1.2, "power oldest"),
    Closing("wipe_after_ack", 0.8, "timed"),
    Closing("wipe_after_ack", 1.0, "power taken"),
    Closing("wipe_after_ack", 1.0, "power timed oldest"),
)
WIPES = tuple(closing for closing in CLOSINGS if closing.kind == "wipe_after_ack")
CORE_LOSSES = (
    Trouble(0.0, "after_ack_wipe", for_s=1.0),
    Trouble(0.0, "after_ack_wipe", "oldest", for_s=1.0),
    Trouble(0.0, "after_ack_kill", "timed", for_s=1.0),
    Trouble(0.0, "after_ack_kill", "kill", for_s=0.8),
    Trouble(0.0, "after_ack_kill", "taken", for_s=1.0),
    Trouble(0.0, "after_ack_kill", "taken gone", for_s=1.0),
    Trouble(0.0, "replace_core", "oldest", x=1.0),
    Trouble(0.0, "replace_core", "oldest planned", x=0.5),
    Trouble(0.0, "replace_core", "leader", x=0.3),
    Trouble(0.0, "replace_core", "planned", x=2.0),
    Trouble(0.0, "replace_core", "leader planned", x=1.0),
    Trouble(0.0, "replace_core", "seed", x=1.5),
    Trouble(0.0, "node_kill", "power leader race", for_s=2.0, count=1, on="core"),
    Trouble(0.0, "node_kill", "leader drain hard", for_s=2.0, count=1, on="core"),
    Trouble(0.0, "node_kill", "power leader", for_s=1.5, count=2, on="core"),
    Trouble(0.0, "after_ack_kill", "timed", for_s=1.0, count=2),
    Trouble(0.0, "after_ack_wipe", for_s=0.5, count=2),
    Trouble(0.0, "node_freeze", "leader race hard", for_s=3.0, count=2, on="core"),
)
HERD_LOSSES = (
    Trouble(0.0, "herd_kill", "", for_s=1.0, on="core"),
    Trouble(0.0, "herd_kill", "power", for_s=1.0, on="core"),
    Trouble(0.0, "herd_kill", "power taken", for_s=1.0, on="core"),
    Trouble(0.0, "herd_kill", "power taken all", for_s=1.0, on="core"),
    Trouble(0.0, "herd_kill", "power race drain", for_s=1.5, on="core"),
    Trouble(0.0, "herd_kill", "power", for_s=1.5, share=0.6),
)
CONFIG_CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
REQUEST_TROUBLES = (
    Trouble(0.0, "garble", "extra", for_s=8.0, share=0.5, x=0.05),
    Trouble(0.0, "garble", "unframed", for_s=8.0, share=0.5, x=0.05),
    Trouble(0.0, "garble", "early", for_s=8.0, share=0.6, x=0.05),
    Trouble(0.0, "garble", "extra late", for_s=8.0, share=0.6, x=0.05),
    Trouble(0.0, "garble", "extra unframed early", for_s=8.0, share=0.6, x=0.06),
    Trouble(0.0, "answer_lost", "reset", for_s=6.0, share=0.5, x=0.06),
    Trouble(0.0, "answer_lost", for_s=6.0, share=0.5, x=0.06),
    Trouble(0.0, "reset_conns", share=0.3, x=0.5),
    Trouble(0.0, "srv_cut", for_s=5.0, share=0.25),
    Trouble(0.0, "srv_cut", "fronts", for_s=5.0, share=0.25, x=0.4),
    Trouble(0.0, "srv_cut", "fronts one_way", for_s=5.0, share=0.25, x=0.4),
    Trouble(0.0, "srv_cut", "fronts reset", for_s=5.0, share=0.25, x=0.4),
    Trouble(0.0, "srv_grey", "mute", for_s=6.0, share=0.2, x=0.3),
    Trouble(0.0, "srv_grey", "reset", for_s=6.0, share=0.2, x=0.3),
    Trouble(0.0, "srv_grey", "hang", for_s=6.0, share=0.2, x=0.2),
    Trouble(0.0, "srv_grey", "errors", for_s=6.0, share=0.2, x=0.3),
    Trouble(0.0, "srv_grey", "shed", for_s=6.0, share=0.3, x=0.5),
    Trouble(0.0, "srv_grey", "busy", for_s=6.0, share=0.3, x=0.5),
    Trouble(0.0, "give_up", for_s=6.0, share=0.2),
    Trouble(0.0, "give_up", for_s=6.0, share=0.2, x=120.0),
    Trouble(0.0, "roll_term", "busy", share=0.6, gap_s=1.0),
    Trouble(0.0, "roll_term", share=0.5, gap_s=0.7),
    Trouble(0.0, "hup", share=0.6, gap_s=1.0),
    Trouble(0.0, "release", share=0.4, x=1.0, gap_s=0.8),
    Trouble(0.0, "config_storm", count=12, gap_s=0.4),
    Trouble(0.0, "config_change", "timeout"),
    Trouble(0.0, "config_change", "route"),
)
OTHER_TROUBLES = (
    Trouble(0.0, "retry_abuse", for_s=5.0, share=0.2, x=3.0),
    Trouble(0.0, "srv_slow", for_s=5.0, share=0.2, x=4.0),
    Trouble(0.0, "srv_grey", "slow", for_s=5.0, share=0.2, x=8.0),
    Trouble(0.0, "srv_crash", "dark", for_s=4.0),
    Trouble(0.0, "srv_crash", "gone", for_s=4.0),
    Trouble(0.0, "srv_crash", "across", for_s=3.0),
    Trouble(0.0, "replace_with_reuse", share=0.15),
    Trouble(0.0, "replace_with_reuse", "drain", share=0.15),
    Trouble(0.0, "replace_with_reuse", "dark", share=0.15),
    Trouble(0.0, "scale_out", share=0.3, gap_s=2.0),
    Trouble(0.0, "scale_in", share=0.15),
    Trouble(0.0, "scale_in", "spot", share=0.2),
    Trouble(0.0, "node_slow", for_s=5.0, share=0.2, x=5.0),
    Trouble(0.0, "disk_stall", for_s=3.5),
    Trouble(0.0, "disk_stall", "leader", for_s=3.5),
    Trouble(0.0, "disk_slow", "leader", for_s=5.0, x=30.0),
    Trouble(0.0, "clock_step", "back", for_s=6.0, share=0.4, x=2500.0),
    Trouble(0.0, "hup", share=0.5, gap_s=1.0),
    Trouble(0.0, "clock_step", "ahead", for_s=6.0, share=0.4, x=2500.0),
    Trouble(0.0, "disk_full", for_s=5.0),
    Trouble(0.0, "reset_conns", share=0.4, x=0.6),
    Trouble(0.0, "node_cut", "all", for_s=6.0, share=0.3),
    Trouble(0.0, "node_cut", "servers", for_s=5.0, share=0.3, x=0.5),
    Trouble(0.0, "node_cut", for_s=6.0, share=0.4),
    Trouble(0.0, "node_freeze", "leader race", for_s=4.0, count=1, on="core"),
    Trouble(0.0, "node_freeze", for_s=4.0, share=0.3),
    Trouble(0.0, "node_kill", "power", for_s=3.0, share=0.3),
    Trouble(0.0, "hot_tenant", for_s=6.0, x=7.0),
    Trouble(0.0, "hot_key", for_s=5.0, share=0.3),
    Trouble(0.0, "burst", for_s=4.0, x=1.8),
    Trouble(0.0, "revoke", count=3, gap_s=0.7),
    Trouble(0.0, "bad_config", count=6, gap_s=0.4),
    Trouble(0.0, "seed_turnover"),
    Trouble(0.0, "bad_config", "same_version", count=3, gap_s=0.4),
    Trouble(0.0, "bad_config", "shared_key", count=2, gap_s=0.4),
    Trouble(0.0, "roll_term", "remove", share=0.2, gap_s=2.0),
    Trouble(0.0, "config_race", count=4, gap_s=0.6),
    Trouble(0.0, "ack_lost", for_s=8.0, x=0.7),
    Trouble(0.0, "core_cut", "leader race hard", for_s=6.0),
    Trouble(0.0, "core_cut", "all lure", for_s=8.0),
    Trouble(0.0, "core_cut", "both", for_s=8.0),
)


def core_cuts(draw: random.Random) -> Iterator[Trouble]:
    """1: core machines cut off in turn for 20 s and more, with racing operators and lost acknowledgements."""
    yield Trouble(FIRST_AT_S, "ack_lost", for_s=LONGEST_DAY_S, x=0.7)
    at = FIRST_AT_S + draw.uniform(0.0, 4.0)
    while at < SHORTEST_DAY_S - 20.0:
        for_s = draw.uniform(20.0, 24.0)
        yield Trouble(at, "core_cut", draw.choice(CUTS), for_s=for_s, count=draw.choice((1, 1, 2)))
        yield Trouble(at + draw.uniform(0.0, 2.0), "config_race", count=draw.randint(5, 15), gap_s=1.2)
        if draw.random() < 0.5:
            yield Trouble(at + draw.uniform(2.0, 15.0), "node_cut", "all", for_s=draw.uniform(5.0, 20.0), share=0.3)
        if draw.random() < 0.4:
            yield Trouble(at + draw.uniform(2.0, 18.0), "release", share=0.3, x=1.0, gap_s=0.8)
        at += for_s + draw.uniform(0.0, 3.0)


def races(draw: random.Random) -> Iterator[Trouble]:
    """2: operators that race in numbers, whose acknowledgements are lost, on both sides of cuts."""
    yield Trouble(FIRST_AT_S, "ack_lost", for_s=LONGEST_DAY_S, x=0.7)
    at = FIRST_AT_S
    while at < SHORTEST_DAY_S - 10.0:
        pairs, gap_s = draw.randint(6, 20), draw.choice((0.15, 0.3, 0.6, 1.0))
        yield Trouble(at, "config_race", count=pairs, gap_s=gap_s)
        cut_s = draw.uniform(3.0, 9.0)
        yield Trouble(at + draw.uniform(0.0, 2.0), "core_cut", draw.choice(CUTS), for_s=cut_s, count=1)
        if draw.random() < 0.5:
            yield Trouble(at + draw.uniform(0.0, 5.0), "bad_config", count=4, gap_s=0.3)
        if draw.random() < 0.5:
            kill = draw.choice(("leader race", "leader race hard", "power leader race", "meet hard", "turn race"))
            yield Trouble(at + 5.0, "node_kill", kill, for_s=draw.uniform(1.0, 3.0), count=1, on="core")
        at += max(10.0, pairs * gap_s) + draw.uniform(0.0, 3.0)


def losses(draw: random.Random) -> Iterator[Trouble]:
    """3: a loss right after a repair or a replacement, the last one within moments of the one before."""
    at = FIRST_AT_S + draw.uniform(0.0, 2.0)
    while at < SHORTEST_DAY_S - 8.0:
        herd = draw.random() < 0.25
        loss = draw.choice(HERD_LOSSES if herd else CORE_LOSSES)
        yield _at(at, loss)
        if draw.random() < 0.3:
            yield Trouble(at + draw.uniform(0.0, 1.5), "config_race", count=3, gap_s=0.5)
        at += draw.uniform(1.0, 6.0) + (3.0 if herd else 0.0)
    for repair in draw.sample(CORE_LOSSES, 3):
        at = max(at + 1.0, SHORTEST_DAY_S - 3.0)
        yield _at(at, repair)  # each waits its turn: the one before has to be caught up with first


def many_changes(draw: random.Random) -> Iterator[Trouble]:
    """4: hundreds of configurations, then the losses of machines that have to catch up with them."""
    gap_s = draw.choice((0.1, 0.15, 0.2))
    count = int(50.0 / gap_s)
    yield Trouble(FIRST_AT_S, "config_storm", draw.choice((None, "idle", "route")), count=count, gap_s=gap_s)
    yield Trouble(draw.uniform(5.0, 15.0), "core_cut", draw.choice(CUTS), for_s=draw.uniform(20.0, 30.0), count=1)
    yield Trouble(draw.uniform(5.0, 10.0), "node_freeze", "turn", for_s=10.0, count=1, on="core")
    at = FIRST_AT_S + 48.0
    while at < SHORTEST_DAY_S - 8.0:
        yield _at(at, draw.choice(CORE_LOSSES + HERD_LOSSES))
        yield Trouble(at + draw.uniform(0.0, 2.0), "config_storm", count=20, gap_s=0.1)
        if draw.random() < 0.3:
            yield Trouble(at + draw.uniform(0.0, 3.0), "disk_slow", "leader", for_s=5.0, count=1, x=30.0)
        at += draw.uniform(4.0, 8.0)


def requests(draw: random.Random) -> Iterator[Trouble]:
    """5: answers spoilt, lost, early or surplus, links reset or cut, clients and processes that leave, together."""
    yield from _drawn(draw, REQUEST_TROUBLES, at_once=3)


def any_kinds(draw: random.Random) -> Iterator[Trouble]:
    """Every kind, alone, in pairs, and twice in a day, at any moment."""
    twice = draw.sample(OTHER_TROUBLES, 4)
    yield from _drawn(draw, OTHER_TROUBLES + REQUEST_TROUBLES + CORE_LOSSES + HERD_LOSSES, at_once=2)
    for one in twice:
        yield _at(draw.uniform(FIRST_AT_S, 45.0), one)
        yield _at(draw.uniform(45.0, SHORTEST_DAY_S - 10.0), one)


def together(draw: random.Random) -> Iterator[Trouble]:
    """Two of the points in one day."""
    for point in draw.sample((core_cuts, races, losses, many_changes, requests), 2):
        yield from point(draw)


Point = Callable[[random.Random], Iterator[Trouble]]
POINTS: dict[str, Point] = {
    each.__name__: each for each in (core_cuts, races, losses, many_changes, requests, any_kinds, together)
}


def day_of(point: str, seed: int) -> Day:
    """The day of a point and a seed: always the same one."""
    draw = random.Random(f"{point} {seed}")
    troubles = sorted((_rounded(each) for each in POINTS[point](draw)), key=lambda each: each.at)
    last = max(each.at for each in troubles)
    rest_s = LAST_LOSS_S if point == "losses" else QUIET_END_S
    length_s = round(max(SHORTEST_DAY_S, last + rest_s), 1)
    closing = draw.choice(WIPES if point == "losses" else CLOSINGS)
    return Day(f"{point}-{seed}", draw.randrange(1, 10**9), length_s, tuple(troubles), closing)


def _drawn(draw: random.Random, kinds: Sequence[Trouble], at_once: int) -> Iterator[Trouble]:
    """One to `at_once` of the kinds together, again and again."""
    at = FIRST_AT_S
    while at < SHORTEST_DAY_S - 10.0:
        for one in draw.sample(kinds, draw.randint(1, at_once)):
            yield _at(at + draw.uniform(0.0, 3.0), one)
        at += draw.uniform(4.0, 9.0)


def _at(at: float, one: Trouble) -> Trouble:
    return Trouble(at, one.kind, one.how, one.for_s, one.gap_s, one.share, one.count, one.x, one.on)


def _rounded(one: Trouble) -> Trouble:
    for_s = None if one.for_s is None else round(one.for_s, 2)
    return Trouble(round(one.at, 2), one.kind, one.how, for_s, one.gap_s, one.share, one.count, one.x, one.on)

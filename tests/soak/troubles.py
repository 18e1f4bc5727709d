"""A schedule of signals, restarts and changes that come in series and overlap, drawn from a seed."""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass

SERIES_PAUSE_S = (0.5, 3.0)  # between two series
STEP_PAUSE_S = (0.0, 0.8)  # between two troubles of a series
SERIES_LENGTH = (1, 5)


class TroubleKind(enum.Enum):
    """What is done to a process, or to the fleet."""

    STOP = "stop"  # SIGTERM, and a new start once it has ended
    STOP_TWICE = "stop twice"  # a second SIGTERM while it ends
    KILL = "kill"  # SIGKILL, and a new start
    RELOAD = "reload"  # SIGHUP
    CHANGE = "change"  # the operator changes the configuration
    HELD_ADDRESS = "held address"  # SIGTERM, and a new start while another socket holds one of its addresses
    EARLY_END = "early end"  # a stop, and a further SIGTERM or SIGINT soon after the new start
    SIGNALS = "signals"  # a series of signals that end nothing
    CROWD = "crowd"  # clients outside the limits, who stay for a moment
    FAULTY_SERVER = "faulty server"  # callers of a server that sends without end, who stay for a moment


FLEET_KINDS = (TroubleKind.STOP, TroubleKind.STOP_TWICE, TroubleKind.KILL, TroubleKind.RELOAD, TroubleKind.CHANGE)
PROCESS_KINDS = (TroubleKind.HELD_ADDRESS, TroubleKind.EARLY_END, TroubleKind.SIGNALS)
CROWD_KINDS = (TroubleKind.CROWD,)
FAULTY_SERVER_KINDS = (TroubleKind.FAULTY_SERVER,)


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: seconds from the start, kind, and the name of the process; empty for a change."""

    at: float
    kind: TroubleKind
    node: str = ""


def draw_troubles(seed: int, nodes: Sequence[str], seconds: float) -> list[Trouble]:
    """Return the troubles of a run of this length, in order. Each group of kinds has a schedule of its own."""
    fleet = _draw_series(random.Random(seed), FLEET_KINDS, nodes, seconds)
    processes = _draw_series(random.Random(f"processes {seed}"), PROCESS_KINDS, nodes, seconds)
    crowds = _draw_series(random.Random(f"crowds {seed}"), CROWD_KINDS, nodes, seconds)
    faulty = _draw_series(random.Random(f"faulty servers {seed}"), FAULTY_SERVER_KINDS, nodes, seconds)
    return sorted(fleet + processes + crowds + faulty, key=lambda trouble: trouble.at)


def _draw_series(
    draw: random.Random, kinds: Sequence[TroubleKind], nodes: Sequence[str], seconds: float
) -> list[Trouble]:
    troubles: list[Trouble] = []
    at = draw.uniform(*SERIES_PAUSE_S)
    while at < seconds:
        for _ in range(draw.randint(*SERIES_LENGTH)):
            kind = draw.choice(kinds)
            node = "" if kind is TroubleKind.CHANGE else draw.choice(list(nodes))
            troubles.append(Trouble(at, kind, node))
            at += draw.uniform(*STEP_PAUSE_S)
        at += draw.uniform(*SERIES_PAUSE_S)
    return [one for one in troubles if one.at < seconds]

"""Invariants of the balancer under random valid histories, for each repeat class, group and report mode."""

import random

import pytest
from build import MS, SECOND, settings
from hypothesis import given
from hypothesis import strategies as st
from world import InvariantError, World

from rosechute.load_balancing import Balancer, Settings, Submit, rules

MODES = {
    "blind": {"reporting": {"how": "none"}},
    "probed": {"reporting": {"how": "probe"}, "limits": {"mayProbe": True}},
    "copies": {"reporting": {"how": "answers"}, "limits": {"secondCopies": True}},
    "priced": {"prices": {"connection": 0.05, "handshake": 0.05}, "discovery": "subscribe"},
}


def site_settings(mode: str, group: str) -> Settings:
    classes = [
        {
            "name": n,
            "onTimeNs": 400 * MS,
            "hardLimitNs": SECOND,
            "repeat": n,
            "credit": 1.0 + i,
            "lateWorth": 0.3 * (i % 2),
            "group": group,
            "windowNs": 500 * MS,
        }
        for i, n in enumerate(["free", "single_shot", "guarded"])
    ]
    return settings(classes=classes, **MODES[mode])


@given(st.sampled_from(sorted(MODES)), st.sampled_from(["all", "zone", "cell"]), st.integers(0, 2**32))
def test_invariants_hold_under_random_events(mode, group, seed):
    world = World(Balancer, site_settings(mode, group), seed)
    for _ in range(120):
        world.step()
    world.pass_time(3 * SECOND)


@given(st.sampled_from(sorted(MODES)), st.integers(0, 2**32))
def test_same_seed_and_events_give_the_same_actions(mode, seed):
    logs = []
    for _ in range(2):
        world = World(Balancer, site_settings(mode, "zone"), seed)
        for _ in range(60):
            world.step()
        logs.append(world.log)
    assert logs[0] == logs[1]


# --- each check detects a fault that is planted in the balancer -------------------------------------


def finish_without_answer(self, now, call, hold_off):
    self._forget_call(call.tid)


def finish_twice(self, now, call, hold_off):
    self._forget_call(call.tid)
    self._actions += [rules.Fail(call.tid), rules.Fail(call.tid)]


def always_refuse(self, now, call, hold_off):
    self._forget_call(call.tid)
    self._actions.append(rules.Refuse(call.tid, 0))


def send_past_deadline(self, now, call, server, trial):
    done = ORIGINAL_SEND(self, now, call, server, trial)
    if done:
        self._actions[-1] = Submit(call.tid, server.name, call.deadline + SECOND)
    return done


def send_anywhere(self, now, call, server):
    return True


def ignore_lifecycle(self, now, entry):
    ORIGINAL_APPLY_ENTRY(self, now, entry._replace(lifecycle="up"))


ORIGINAL_SEND, ORIGINAL_APPLY_ENTRY = Balancer._send, Balancer._apply_entry
FAULTS = [
    ("_finish", finish_without_answer, "no final answer"),
    ("_finish", finish_twice, "second final answer"),
    ("_finish", always_refuse, "untrue"),
    ("_send", send_past_deadline, "outlive"),
    ("_may_send", send_anywhere, "may run twice|outside its group|more attempts|after the end"),
    ("_apply_entry", ignore_lifecycle, "draining, gone or unlisted"),
]


@pytest.mark.plain
@pytest.mark.parametrize(("name", "replacement", "message"), FAULTS, ids=[b.__name__ for _, b, _ in FAULTS])
def test_planted_fault_is_detected(monkeypatch, name, replacement, message):
    monkeypatch.setattr(Balancer, name, replacement)
    picker = random.Random(1)
    with pytest.raises(InvariantError, match=message):
        for seed in range(60):
            mode, group = picker.choice(["blind", "priced"]), picker.choice(["zone", "cell"])
            world = World(Balancer, site_settings(mode, group), seed)
            for _ in range(120):
                world.step()
            world.pass_time(3 * SECOND)

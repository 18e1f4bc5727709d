"""Hooks that feed a recorder from layers whose names a rename of the product leaves alone.

`install_early` goes in before the checkout's modules are imported: it replaces `random.Random` and the heap functions
of the simulated clocks. `install` goes in after: methods of the test harness and the protobuf classes.
"""

from __future__ import annotations

import functools
import heapq
import importlib
import random
import sys
from collections.abc import Callable
from typing import Any

from benchmarks.replay.recorder import Recorder

# Module prefixes of the simulated clocks: other users of `heapq` are not recorded.
CLOCKS = ("tests.", "rosechute.simulation.", "rosechute.lab.")
STEP = "step: "  # prefix of the hooks at which a step begins, beside the events of a simulated clock

MESSAGE_MODULES = ("rosechute.messages.coordination_pb2", "rosechute.messages.distribution_pb2")

# Alternatives in order, the first one that exists is taken: names of the harness differ between the checkouts.
Alternatives = tuple[tuple[str, str, str], ...]  # (module, class, method)


def _on_disk(*methods: str) -> Alternatives:
    owners = ("SimulatedFolder", "SimulatedDirectory")
    return tuple(("tests.fleet.simulated_disk", owner, method) for owner in owners for method in methods)


COORDINATION: dict[str, Alternatives] = {
    "send": (("tests.fleet.simulation.network", "Network", "send"),),
    "actions": (("tests.fleet.simulation.machine", "SimulatedRuntime", "act"),),
    "answer": (("tests.fleet.simulation.world", "World", "on_answer"),),
    "committed": (("tests.fleet.simulation.world", "World", "on_committed"),),
    "leadership": (
        ("tests.fleet.simulation.world", "World", "on_lease"),
        ("tests.fleet.simulation.world", "World", "on_leadership"),
    ),
    "disk write": _on_disk("write"),
    "disk truncate": _on_disk("truncate"),
    "disk sync": _on_disk("sync"),
    "disk names": _on_disk("sync_names", "sync_entries"),
}
DISTRIBUTION: dict[str, Alternatives] = {
    "dial": (("tests.fleet.distribution_network", "Network", "dial"),),
    "answer": (("tests.fleet.distribution_network", "Network", "answer"),),
    "closed": (("tests.fleet.distribution_network", "Network", "_tell_closed"),),
}
ROUTING: dict[str, Alternatives] = {"actions": (("tests.fleet.routing_fleet", "Edge", "_act"),)}
ROUTER: dict[str, Alternatives] = {
    STEP + "actions": (("tests.fleet.test_routing_properties", "Schedule", "take"),),
}
# A request as a server has read it: what the data plane sent.
DATA_PLANE: dict[str, Alternatives] = {STEP + "request": (("tests.fleet.data_model", "Arrival", "__init__"),)}
SIDECAR: dict[str, Alternatives] = {
    "trace": (("rosechute.simulation.trace", "Trace", "add"), ("rosechute.lab.trace", "Trace", "add")),
}


class HookError(RuntimeError):
    """No alternative of a hook exists in this checkout."""


class Hooks:
    """Installed hooks; `recorder` receives what they see, None while nothing is played."""

    def __init__(self) -> None:
        """Start without a recorder."""
        self.recorder: Recorder | None = None

    def record(self, kind: str, *values: Any) -> None:
        """Pass values on to the recorder of the run."""
        if self.recorder is not None:
            self.recorder.record(kind, *values)

    def install_early(self) -> None:
        """Replace `random.Random` and the heap functions; the checkout's modules must not be imported yet."""
        self._record_draws()
        self._record_clocks()

    def install(self, hooked: dict[str, Alternatives]) -> None:
        """Hook the first existing alternative of each row, and the serialization of messages."""
        for kind, alternatives in hooked.items():
            owner, name = _find(alternatives)
            setattr(owner, name, self._recording(kind, getattr(owner, name)))

    def install_messages(self) -> None:
        """Record the bytes of every message that is serialized."""
        for module in MESSAGE_MODULES:
            for each in vars(importlib.import_module(module)).values():
                if isinstance(each, type) and hasattr(each, "SerializeToString"):
                    self._record_serialization(each)

    def _record_draws(self) -> None:
        hooks = self

        class RecordingRandom(random.Random):
            """A random source whose draws are recorded."""

            def random(self) -> float:
                drawn = super().random()
                hooks.record("draw", drawn)
                return drawn

            def getrandbits(self, bits: int, /) -> int:
                drawn = super().getrandbits(bits)
                hooks.record("bits", bits, drawn)
                return drawn

        random.Random = RecordingRandom  # type: ignore[misc]

    def _record_clocks(self) -> None:
        push, pop = heapq.heappush, heapq.heappop

        def recording_push(heap: list[Any], item: Any) -> None:
            if self.recorder is not None and _called_by_clock():
                self.record("schedule", *_event_values(item))
            push(heap, item)

        def recording_pop(heap: list[Any]) -> Any:
            item = pop(heap)
            if self.recorder is not None and _called_by_clock():
                self.recorder.end_step()
                self.record("event", *_event_values(item))
            return item

        heapq.heappush, heapq.heappop = recording_push, recording_pop

    def _recording(self, kind: str, method: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(method)
        def recorded(owner: Any, *arguments: Any, **named: Any) -> Any:
            if self.recorder is not None:
                if kind.startswith(STEP):
                    self.recorder.end_step()
                values = [*arguments, *named.values()]
                self.record(kind, len(values), [_described(each) for each in values])
            return method(owner, *arguments, **named)

        return recorded

    def _record_serialization(self, message: Any) -> None:
        serialize = message.SerializeToString

        def recorded(self_: Any, **options: Any) -> bytes:
            data: bytes = serialize(self_, **options)
            self.record("message", serialize(self_, deterministic=True))
            return data

        message.SerializeToString = recorded


def _find(alternatives: Alternatives) -> tuple[Any, str]:
    for module, owner_name, name in alternatives:
        try:
            owner = getattr(importlib.import_module(module), owner_name)
        except (ImportError, AttributeError):
            continue
        if hasattr(owner, name):
            return owner, name
    raise HookError(f"none of {alternatives} exists in this checkout")


def _called_by_clock() -> bool:
    return str(sys._getframe(2).f_globals.get("__name__", "")).startswith(CLOCKS)


def _event_values(item: Any) -> list[Any]:
    """Return the time and the number of an event, and the plain values among its arguments."""
    values: list[Any] = []
    for part in item if isinstance(item, tuple) else ():
        arguments = part if isinstance(part, tuple) else (part,)
        values += [_described(each) for each in arguments if not callable(each)]
    return values


def _described(value: Any) -> Any:
    """Return a machine of the harness as its address, anything else as it is."""
    for name in ("control", "address", "name"):
        address = getattr(value, name, None)
        if isinstance(address, str):
            return address
    machine = getattr(value, "machine", None)
    return value if machine is None else _described(machine)

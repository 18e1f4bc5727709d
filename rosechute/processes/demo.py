"""A small fleet on loopback that serves on while a core process and an edge are killed; ends with a verdict."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from rosechute.fakes.fleet.judge import endings
from rosechute.fakes.fleet.scene import KINDS, Scene
from rosechute.processes import state

LEAST_SECONDS = 12.0
ACKNOWLEDGED_WITHIN_S = 20.0
READY_WITHIN_S = 20.0
FIRST_LEASES_S = 5.5  # a first leader leases no rates before any of an earlier one would have run out
TIMEOUT_MS = 4000
Tell = Callable[[str], None]


def main(seconds: float) -> int:
    """Run the demo for so long; 0 where every rule was kept, else 1."""
    with tempfile.TemporaryDirectory(prefix="rosechute-demo-") as folder:
        return 0 if asyncio.run(_demo(Path(folder), max(LEAST_SECONDS, seconds))) else 1


async def _demo(folder: Path, seconds: float) -> bool:
    """Start everything, play, and judge."""
    begun = time.monotonic()

    def tell(text: str) -> None:
        print(f"{time.monotonic() - begun:5.1f} s  {text}", flush=True)

    scene = Scene(folder)
    await scene.start()
    try:
        tell("started: 3 core processes, 3 edges, 12 servers in 3 zones")
        if not await _prepared(scene, tell):
            return False
        traffic = asyncio.create_task(scene.clients.play(KINDS, seconds))
        await _story(scene, seconds, tell)
        await traffic
        return await _judged(scene)
    finally:
        await scene.stop()


async def _prepared(scene: Scene, tell: Tell) -> bool:
    """Have the first configuration taken, the edges ready, and the leader free to lease rates of the quotas."""
    outcome = await scene.order(within_s=ACKNOWLEDGED_WITHIN_S)
    tell(f"first configuration: status {outcome.status} after {outcome.calls} calls")
    ready = outcome.status == 200 and await scene.ready(len(scene.fleet.gates()), READY_WITHIN_S)
    tell(f"{scene.entry.ready_count()} of {len(scene.fleet.gates())} edges are ready")
    if ready:
        await asyncio.sleep(FIRST_LEASES_S)
    else:
        _show_logs(scene)
    return ready


async def _story(scene: Scene, seconds: float, tell: Tell) -> None:
    """What goes wrong, and when."""
    step = seconds / 8
    await asyncio.sleep(step)
    victim = await _leader(scene)
    await scene.fleet.kill(victim)
    tell(f"killed {victim}; {_served(scene)}")
    await asyncio.sleep(step)
    outcome = await scene.order(lambda wanted: wanted["routes"][0].update(timeout_ms=TIMEOUT_MS))
    tell(f"a change of the configuration without it: status {outcome.status} after {outcome.calls} calls")
    await scene.fleet.start(victim)
    tell(f"started {victim} again; {_served(scene)}")
    await asyncio.sleep(step)
    edge = scene.fleet.of("edge")[0].name
    await scene.fleet.kill(edge)
    tell(f"killed {edge}; {_served(scene)}")
    await asyncio.sleep(step)
    await scene.fleet.start(edge)
    tell(f"started {edge} again; {_served(scene)}")
    await asyncio.sleep(step)
    server = next(iter(scene.engines))
    scene.drain(server)
    tell(f"{server} drains; {_served(scene)}")
    await asyncio.sleep(2 * step)
    tell(f"{scene.entry.ready_count()} edges are ready; {_served(scene)}")


async def _leader(scene: Scene) -> str:
    """The core process that leads, as it tells itself; the first one where none does."""
    for member in scene.fleet.of("core"):
        told = (await state.fetch_state(member.state)).value_or({})
        if told.get("core", {}).get("leader") is True:
            return member.name
    return scene.fleet.of("core")[0].name


def _served(scene: Scene) -> str:
    """How it goes, in a few words."""
    done = scene.clients.done
    return f"{sum(one.served for one in done)} of {len(done)} requests served"


async def _judged(scene: Scene) -> bool:
    """Print the verdicts; whether all rules were kept."""
    verdicts = await scene.verdicts()
    for verdict in verdicts:
        print(f"{'kept  ' if verdict.kept else 'BROKEN'}  {verdict.rule}: {verdict.figures}")
    kept = all(verdict.kept for verdict in verdicts)
    print(f"how tries ended: {endings(scene.clients.done)}")
    print("all rules kept" if kept else "a rule was broken")
    if not kept:
        _show_logs(scene)
    return kept


def _show_logs(scene: Scene) -> None:
    """Print the end of every process's log."""
    for member in scene.fleet.members.values():
        lines = member.log.read_text(encoding="utf-8", errors="replace").splitlines() if member.log.exists() else []
        for text in lines[-5:]:
            print(f"{member.name}: {text}")

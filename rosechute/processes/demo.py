"""Demo: a small fleet on loopback that keeps serving while a core process and an edge are killed.

At the end it checks the rules of the fleet scenarios and prints the result of each.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from rosechute.fakes.fleet.judge import count_endings
from rosechute.fakes.fleet.scene import KINDS, FleetDeployment
from rosechute.processes import state

MIN_DURATION_S = 12.0
CONFIGURATION_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 20.0
FIRST_LEASES_S = 5.5  # a new leader grants no rate leases until any lease of an earlier leader would have expired
CHANGED_TIMEOUT_MS = 4000
PrintProgress = Callable[[str], None]


def main(seconds: float) -> int:
    """Run the demo for this time, at least `MIN_DURATION_S`; return exit code 0 if every rule was kept, else 1."""
    with tempfile.TemporaryDirectory(prefix="rosechute-demo-") as folder:
        return 0 if asyncio.run(_demo(Path(folder), max(MIN_DURATION_S, seconds))) else 1


async def _demo(folder: Path, seconds: float) -> bool:
    """Start the fleet, run clients and faults against it, and return whether every rule was kept."""
    started_at = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - started_at:5.1f} s  {text}", flush=True)

    scene = FleetDeployment(folder)
    await scene.start()
    try:
        print_progress("started: 3 core processes, 3 edges, 12 servers in 3 zones")
        if not await _prepare(scene, print_progress):
            return False
        traffic = asyncio.create_task(scene.clients.play(KINDS, seconds))
        await _inject_faults(scene, seconds, print_progress)
        await traffic
        return await _print_results(scene)
    finally:
        await scene.stop()


async def _prepare(scene: FleetDeployment, print_progress: PrintProgress) -> bool:
    """Commit a first configuration, and wait until the edges are ready and the leader may grant rate leases.

    Returns:
        Whether the configuration was accepted and all edges are ready.
    """
    outcome = await scene.replace_configuration(within_s=CONFIGURATION_TIMEOUT_S)
    print_progress(f"first configuration: status {outcome.status} after {outcome.calls} calls")
    ready = outcome.status == 200 and await scene.wait_ready(len(scene.fleet.edge_endpoints()), READY_TIMEOUT_S)
    print_progress(f"{scene.entry.ready_count()} of {len(scene.fleet.edge_endpoints())} edges are ready")
    if ready:
        await asyncio.sleep(FIRST_LEASES_S)
    else:
        _show_logs(scene)
    return ready


async def _inject_faults(scene: FleetDeployment, seconds: float, print_progress: PrintProgress) -> None:
    """Kill and restart the leader and an edge, change the configuration and drain a server, at fixed intervals."""
    step = seconds / 8
    await asyncio.sleep(step)
    leader = await _find_leader(scene)
    await scene.fleet.kill(leader)
    print_progress(f"killed {leader}; {_served_summary(scene)}")
    await asyncio.sleep(step)
    outcome = await scene.replace_configuration(
        lambda wanted: wanted["routes"][0].update(timeout_ms=CHANGED_TIMEOUT_MS)
    )
    print_progress(f"configuration changed while it is down: status {outcome.status} after {outcome.calls} calls")
    await scene.fleet.start(leader)
    print_progress(f"started {leader} again; {_served_summary(scene)}")
    await asyncio.sleep(step)
    edge = scene.fleet.by_role("edge")[0].name
    await scene.fleet.kill(edge)
    print_progress(f"killed {edge}; {_served_summary(scene)}")
    await asyncio.sleep(step)
    await scene.fleet.start(edge)
    print_progress(f"started {edge} again; {_served_summary(scene)}")
    await asyncio.sleep(step)
    server = next(iter(scene.engines))
    scene.drain(server)
    print_progress(f"{server} drains; {_served_summary(scene)}")
    await asyncio.sleep(2 * step)
    print_progress(f"{scene.entry.ready_count()} edges are ready; {_served_summary(scene)}")


async def _find_leader(scene: FleetDeployment) -> str:
    """Return the name of the core process whose state says that it leads, or of the first one if none does."""
    for member in scene.fleet.by_role("core"):
        reported = (await state.fetch_state(member.state)).value_or({})
        if reported.get("core", {}).get("leader") is True:
            return member.name
    return scene.fleet.by_role("core")[0].name


def _served_summary(scene: FleetDeployment) -> str:
    """Return how many of the finished requests were served."""
    done = scene.clients.results
    return f"{sum(request.is_served for request in done)} of {len(done)} requests served"


async def _print_results(scene: FleetDeployment) -> bool:
    """Print the result of each rule; return whether all were kept."""
    verdicts = await scene.check_rules()
    for verdict in verdicts:
        print(f"{'kept  ' if verdict.is_kept else 'BROKEN'}  {verdict.rule}: {verdict.figures}")
    kept = all(verdict.is_kept for verdict in verdicts)
    print(f"attempts by result: {count_endings(scene.clients.results)}")
    print("all rules kept" if kept else "at least one rule was broken")
    if not kept:
        _show_logs(scene)
    return kept


def _show_logs(scene: FleetDeployment) -> None:
    """Print the last lines of the log of each process."""
    for member in scene.fleet.nodes.values():
        lines = member.log.read_text(encoding="utf-8", errors="replace").splitlines() if member.log.exists() else []
        for text in lines[-5:]:
            print(f"{member.name}: {text}")

"""One tenant at five times its rate: the others' served share and p99, without limits and with them.

    python -m benchmarks.overload [--seconds 10] [--seed 1]

Four stand-in servers with two places each and a mean of 40 ms can serve 200 requests a second. Two tenants
send 60 a second each, and 300 in the overloaded runs for one of them. The limit is 75 a second for each tenant.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import uvloop

from rosechute.fakes.load import LoadResult, RequestKind
from rosechute.fakes.scene import SidecarDeployment
from rosechute.fakes.server import ServerBehavior
from rosechute.proxy.core.log import setup

LIMITS = """version = 1
[[route]]
name = "rooms"
path = "/list-rooms/*"
rate = { per_s = 75, burst = 40 }
limit_by = "tenant"
"""
CALM, LOUD = "community-hirers", "charity-partners"


async def run(file: Path | None, loud_per_s: float, seconds: float, seed: int) -> LoadResult:
    """One run."""
    scene = SidecarDeployment(
        {f"s{i}": ServerBehavior(slots=2, queue=8, service_s=0.04) for i in range(4)}, file=file, seed=seed
    )
    application = await scene.start()
    kinds = [
        RequestKind("/list-rooms/north", 60, CALM, wait_s=1.5),
        RequestKind("/list-rooms/south", loud_per_s, LOUD, wait_s=1.5),
    ]
    outcome = await application.play(kinds, seconds)
    await scene.stop()
    return outcome


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    setup(level="error")
    print(f"{'':26}{'the other tenant':>34}{'the loud one':>34}")
    print(f"{'':26}" + f"{'sent':>8}{'served':>9}{'p50 ms':>8}{'p99 ms':>9}" * 2)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "routes.toml")
        path.write_text(LIMITS, encoding="utf-8")
        for name, file, rate in (
            ("calm, without limits", None, 60),
            ("calm, with limits", path, 60),
            ("5 times, without limits", None, 300),
            ("5 times, with limits", path, 300),
        ):
            outcome = uvloop.run(run(file, rate, chosen.seconds, chosen.seed))
            cells = ""
            for tenant in (CALM, LOUD):
                own = outcome.filter(tenant=tenant)
                cells += (
                    f"{len(own.results):8}{own.share():9.3f}{own.quantile_ms(0.5):8.0f}{own.quantile_ms(0.99):9.0f}"
                )
            print(f"{name:26}{cells}")


if __name__ == "__main__":
    main()

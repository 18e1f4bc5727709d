"""A retry storm: all servers fail half of their requests. Attempts a request, by budget.

    python -m benchmarks.storm [--seconds 8] [--per-second 100] [--seed 1]

The module has a budget of its own for all requests, a fifth of them; a route's budget can only be tighter. The
row "no budget at all" takes the module's own away, to show what both save from: it is no setting.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import uvloop

from rosechute.fakes.load import RequestKind
from rosechute.fakes.scene import SidecarDeployment
from rosechute.fakes.server import ServerBehavior
from rosechute.proxy.core.log import setup

ROUTE = """version = 1
[[route]]
name = "rooms"
path = "/list-rooms/*"
attempts = 5
%s
"""


async def run(
    file: Path | None, seconds: float, per_s: float, seed: int, endless: bool
) -> tuple[float, float, float]:
    """Attempts a request, the share served, and p99 in milliseconds."""
    behavior = {f"s{i}": ServerBehavior(slots=8, service_s=0.02, fail_share=0.5) for i in range(6)}
    scene = SidecarDeployment(behavior, file=file, seed=seed)
    application = await scene.start()
    if endless:
        module = scene.sidecar.core.module
        count = module._count_request

        def counted(now: int, number: int) -> None:
            count(now, number)
            module._tokens = 1e9

        module._count_request = counted  # type: ignore[method-assign]
    outcome = await application.play([RequestKind("/list-rooms/north", per_s)], seconds)
    await scene.stop()
    return scene.attempts() / len(outcome.results), outcome.share(), outcome.quantile_ms(0.99)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--per-second", type=float, default=100.0)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    setup(level="error")
    print(f"{'':34}{'attempts a request':>20}{'served':>9}{'p99 ms':>9}")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "routes.toml")
        for name, budget, endless in (
            ("no budget at all", "", True),
            ("the module's own", "", False),
            ("and the route's, ratio 0.1", "retry_budget = { ratio = 0.1 }", False),
            ("and the route's, ratio 0.02", "retry_budget = { ratio = 0.02 }", False),
        ):
            path.write_text(ROUTE % budget, encoding="utf-8")
            attempts, share, p99 = uvloop.run(run(path, chosen.seconds, chosen.per_second, chosen.seed, endless))
            print(f"{name:34}{attempts:20.2f}{share:9.3f}{p99:9.0f}")


if __name__ == "__main__":
    main()

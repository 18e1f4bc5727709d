"""Why the decision module refuses in a scenario of the lab: each refusal by the term that decided it.

    python -m benchmarks.refusals calm [--seeds 5]

`shed` stands for the crowding, beside its level at the time and the share of own answers that counted as slow;
`hopeless` for an expected time over the aim; `held` for a request that waited in vain. The module runs from its
sources, with its methods wrapped; the trace is the same as without.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter
from typing import Any

from rosechute.load_balancing.rules import Balancer
from rosechute.simulation import rivals
from rosechute.simulation.library import load
from rosechute.simulation.run import run

reasons: Counter[str] = Counter()
levels: list[float] = []
slow: list[bool] = []


class Watched(Balancer):
    """The module, telling why."""

    _why = ""

    def _should_shed(self, *told: Any) -> bool:
        shed = super()._should_shed(*told)
        if shed:
            self._why = "shed"
            levels.append(self._crowding.level)
        return shed

    def _is_likely_late(self, *told: Any) -> bool:
        hopeless = super()._is_likely_late(*told)
        if hopeless:
            self._why = "hopeless"
        return hopeless

    def _finish(self, *told: Any) -> None:
        reasons[self._why or "held"] += 1
        self._why = ""
        super()._finish(*told)

    def _adopt(self, *told: Any) -> None:
        super()._adopt(*told)
        self._telling = True

    def handle(self, now: int, event: Any) -> Any:
        if self._telling:
            self._telling = False
            felt = self._crowding.observe_answer
            self._crowding.observe_answer = lambda at, was: (slow.append(was), felt(at, was))[1]  # type: ignore
        return super().handle(now, event)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("scenario")
    parser.add_argument("--seeds", type=int, default=5)
    chosen = parser.parse_args()
    scenario = load(chosen.scenario)
    rivals.Balancer = Watched  # type: ignore
    results = [run(scenario, "module", seed).result for seed in range(1, chosen.seeds + 1)]
    print(f"refused {statistics.mean(r['refused'] for r in results):.4f} of all requests; by reason: {dict(reasons)}")
    if levels:
        print(f"crowding when shed: median {statistics.median(levels):.2f}, least {min(levels):.2f}")
    if slow:
        print(f"own answers that counted as slow: {statistics.mean(slow):.3f} of {len(slow)}")


if __name__ == "__main__":
    main()

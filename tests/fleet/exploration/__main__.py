"""`python -m tests.fleet.exploration run --depth 7 --faults 2 --processes 2`, or `replay`, or `roots`."""

from __future__ import annotations

import fire

from tests.fleet.exploration.command import Exploration

if __name__ == "__main__":
    fire.Fire(Exploration)

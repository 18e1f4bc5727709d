"""Long days of trouble for the operators' bench, written by a seed, and a player that sums up which rules they break.

    python -m benchmarks.fleet_days write losses 7 benchmarks/days/losses-7.toml
    python -m benchmarks.fleet_days play BENCH SITE --points losses,any_kinds --seeds 1,2,3 --jobs 2 --why "..."

A point is one thing that operators met (see `points`); the same point and seed give the same day. BENCH is the path
of the bench's program, SITE that of a deployment.
"""

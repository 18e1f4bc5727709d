"""Differential replay: two checkouts play the same seeded events, and what they do must be the same, step by step.

    python -m benchmarks.replay BEFORE AFTER [--scenarios coordination,quota] [--share 0.5]

Each checkout plays its own simulated deployments (`tests/fleet`, `rosechute.simulation`) in processes of its own.
`recorder` digests what comes out without names: messages, disk operations, random draws, scheduled times, results.
`hooks` says where it is taken, `scenarios` what is played, `player` is one process, `comparison` starts the
processes and finds the first difference.
"""

"""Trials of the routing policy: the project as it is beside copies with one mechanism changed, on the same days.

    python -m benchmarks.policy_trials play --bench PATH --sites PATH,PATH --variants all --why "..."
    python -m benchmarks.policy_trials table

Each variant (`variants`) is a set of replacements in the sources of a scratch copy, so nothing of it can be reached
in service. Days are played without processor time, so that two plays of the same sources differ by next to nothing,
and a difference is the variant's. Results go to a CSV file, and a trial that stands there is not played again.
"""

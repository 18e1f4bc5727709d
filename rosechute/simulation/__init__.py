"""Deterministic simulator of clients, sidecars and servers, with fault injection, an invariant checker and baselines.

Routing decisions in a run are made by the production load balancing module; a discrete-event model surrounds it.
Apart from `store` and `sweep` the model is pure: it takes a scenario and a seed and returns records, and uses neither
the system clock nor I/O. The design is described in docs/design-lab.md.
"""

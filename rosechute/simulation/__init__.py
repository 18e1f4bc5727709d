"""The lab: a deterministic emulator of the served systems, with faults, a judge and rivals. See docs/design-lab.md.

What is decided in a run comes from the real decision module; what surrounds it is a discrete-event model. Everything
here is pure but for `store` and `sweep`: a scenario and a seed in, records out, no clock and no I/O.
"""

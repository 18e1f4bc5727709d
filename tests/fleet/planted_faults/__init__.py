"""Mutation testing of the fleet: faults are planted one at a time in a copy of the sources, and tests must find them.

`python -m tests.fleet.planted_faults run` plants them, `... names` lists them, `... table` prints the table of
docs/fleet/planted-faults.md. The work tree itself is never changed.
"""

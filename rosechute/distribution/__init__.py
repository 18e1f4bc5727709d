"""Distribution of the configuration and of endpoint lists from the core's leader to the edges, and edge membership.

The package does no I/O and reads no clock: it takes times and messages and returns actions. The processes own the
links and carry out the actions.
"""

"""Simulated clusters of core machines: network, disks, clocks, operators and checkers in one process."""

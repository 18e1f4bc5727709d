"""Tests of the router fleet: parts of it in one process, on simulated networks and clocks."""

"""Soak of a fleet of real processes: clients that keep their connections, and series of signals and changes."""

"""rosechute: the product around the sidecar: its command, the operator's file, and each subsystem."""

__version__ = "0.3.0"

"""rosechute: a load-balancing sidecar and fleet, with the command line, the operator's file and the simulator."""

__version__ = "0.3.0"

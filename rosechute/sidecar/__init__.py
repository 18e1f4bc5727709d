"""The sidecar: applies the decisions of `rosechute.load_balancing` to real connections."""

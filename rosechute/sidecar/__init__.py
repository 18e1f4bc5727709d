"""rosechute.sidecar: the sidecar that carries the decisions of `rosechute.load_balancing` over real sockets."""

"""Application of an operator configuration file in a running sidecar."""

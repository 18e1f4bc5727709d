"""The operator's file at work in a running sidecar."""

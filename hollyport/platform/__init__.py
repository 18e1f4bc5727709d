"""The platform's own parts: configuration, discovery, the operators' address, reload and takeover."""

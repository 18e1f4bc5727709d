"""Distribution from the control plane to the edges: membership leases, home edges, subscriptions, hints."""

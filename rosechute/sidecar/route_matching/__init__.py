"""Route matching: path patterns, and a routing table whose lookup time does not depend on its size."""

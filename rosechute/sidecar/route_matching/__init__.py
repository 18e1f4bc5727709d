"""Which route a request takes: patterns, and a table whose look-up does not grow with the number of routes."""

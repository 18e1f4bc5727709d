"""Entry points of the edge and core processes, and the command line."""

"""Distribution of configuration and lists from the leader of the core to the edges, and membership of the edges.

Pure: clock and messages in, actions out. The processes around it own the links.
"""

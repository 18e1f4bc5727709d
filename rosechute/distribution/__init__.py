"""Distribution of the configuration and of endpoint lists from the core's leader to the edges, and edge membership.

Pure: takes the time and messages, returns actions. The processes own the links and carry the actions out.
"""

"""Stand-ins on loopback for what the router fleet works with: the platform's list and entry, model servers, the
operator, and clients; and the fleet's own processes, to be started and killed. For the demo and for tests.
"""

"""Routing and quota decisions of an edge, without I/O: callers pass the time and carry out the decisions.

`router` selects servers, queues requests and limits retries. `token_cache` applies the quotas of tenants.
"""

"""Decisions of an edge on requests: which server, how long they wait, and whether the quota allows them.

Pure. Routing: pools, picks, prefixes, waiting requests and retry budgets (`router`). Quotas: `token_cache` and the
modules that it imports.
"""

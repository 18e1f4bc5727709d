"""Routing of requests to model servers: pools, picks, prefixes, waiting requests and retry budgets. Pure."""

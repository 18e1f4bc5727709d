"""Limits of routes and tenants: request rates, requests in flight and waiting, and retry budgets.

The package does no I/O and reads no clock: callers pass the time in whole nanoseconds.
"""

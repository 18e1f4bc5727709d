"""Limits of routes and tenants: rates, requests in flight and waiting, and budgets of further attempts.

All pure: whole nanoseconds and calls in, verdicts out.
"""

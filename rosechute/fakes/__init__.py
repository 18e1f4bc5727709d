"""Stand-ins on loopback for what a sidecar works with: servers, discovery, and an application that asks.

Written from the platform's protocol page, for the demo, the tests and the measurements. They remember all that
a judge needs to say whether the rules were kept.
"""

"""Fakes on loopback for the peers of the router fleet: the platform's list and entry, model servers, the operator
and clients. For the demo and the tests, which also start and kill the processes of the fleet itself.
"""

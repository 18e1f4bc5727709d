"""The protocol-independent core: calls and attempts between clients, servers and the decision module."""

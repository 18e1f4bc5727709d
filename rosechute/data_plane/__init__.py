"""The data plane of an edge: clients' requests in, servers' answers and streams out."""

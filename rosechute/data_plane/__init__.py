"""Data plane of an edge: forwards clients' requests to model servers, and the responses and streams back."""

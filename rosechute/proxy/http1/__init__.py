"""HTTP/1.1 on both sides: connections from clients, and pools of connections to servers."""

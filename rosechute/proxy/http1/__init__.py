"""HTTP/1.1 on both sides: the application's connections, and the pools of connections to servers."""

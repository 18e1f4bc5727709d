"""The proxy for the application's calls: HTTP/1.1 (`http1`), and the protocol-independent core (`core`)."""

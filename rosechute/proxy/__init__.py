"""The proxy that carries the application's calls: HTTP/1.1 (`http1`) and, below it, what knows no wire (`core`)."""

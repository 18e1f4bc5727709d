"""Control plane of a core machine: operator API, replica runtime, endpoint list reader and quota allocation."""

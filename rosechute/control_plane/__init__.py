"""The control plane of a core machine: operator's API, replica runtime, list reader, quota buckets."""

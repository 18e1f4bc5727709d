"""The control plane of a core machine: operator's API, replica runtime, reader of the platform's list, quota buckets."""

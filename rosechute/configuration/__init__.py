"""Process settings (`process`) and the operator's configuration (`operator`, `route_table`), with their `errors`."""

"""Process settings and the operator's configuration: reading, checking and look-up."""

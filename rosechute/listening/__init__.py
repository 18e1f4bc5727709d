"""Listeners for callers other than clients: limits on their connections and on the memory that these hold."""

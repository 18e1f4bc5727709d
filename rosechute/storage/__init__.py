"""Durable records of a core machine: two slots that are written in turn, with a short log between."""

"""Durable records: two slots that are written in turn, with a short log between."""

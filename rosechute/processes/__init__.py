"""Thin programs that assemble the planes, and the command line."""

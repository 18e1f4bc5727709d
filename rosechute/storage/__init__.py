"""Durable records of a core machine: two alternating snapshot slots, with a short log after the newer one.

`layout` encodes and decodes slots and log entries. `files` provides the directory that holds them. `record_store`
decides what is written, synced and loaded, and blocks on the disk; `writer` runs it in a thread, and `loading` opens
it in one.
"""

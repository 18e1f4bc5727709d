"""The operator's file: its form (`spec`), reading it (`reading`), what holds in the end (`effective`), and
the proof that it keeps the rules (`proof`)."""

"""The `rosechute` command."""

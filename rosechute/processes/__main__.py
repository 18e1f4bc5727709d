"""Run the command line: `python -m rosechute.processes`."""

from rosechute.processes.main import main

main()

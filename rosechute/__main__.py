"""Entry point of `python -m rosechute`, the same as the `rosechute` command."""

from rosechute.cli.main import main

if __name__ == "__main__":
    main()

"""Start the sidecar with the libraries of the virtual environment that runs this script.

    .venv/bin/python -S deploy/start_sidecar.py

A signal that arrives before the first line has its default action and may end the process. `-S` and a script in place
of `-m` leave out what the interpreter would load before that line.
"""

import sys

ROOT = __file__.rpartition("/deploy/")[0]
sys.path[0] = ROOT

from rosechute import process_start  # noqa: E402 - from this checkout, whatever the working directory

process_start.prepare()

import os  # noqa: E402 - loads modules of its own, so after the signals are handled

VERSION = f"python{sys.version_info.major}.{sys.version_info.minor}"
ENVIRONMENT = os.path.dirname(os.path.dirname(sys.executable))
sys.path.append(os.path.join(ENVIRONMENT, "lib", VERSION, "site-packages"))

from rosechute import native  # noqa: E402 - `main` installs it before any module is loaded that may be compiled


def main() -> int:
    """Run the sidecar; return its exit status."""
    native.install_finder()
    from rosechute.sidecar import __main__ as sidecar

    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())

"""Start a process of the fleet with the libraries that the build has installed.

    python3 -S deploy/start.py edge
    python3 -S deploy/start.py core

A signal that arrives before the first line has its default action and may end the process. `-S` and a script in place
of `-m` leave out what the interpreter would load before that line.
"""

import sys

ROOT = __file__.rpartition("/deploy/")[0]
sys.path[0] = ROOT

from rosechute import process_start  # noqa: E402 - from this checkout, whatever the working directory

process_start.prepare_fleet_process()

import os  # noqa: E402 - loads modules of its own, so after the signals are handled

LIBRARIES = os.path.join(ROOT, "target", "deps")
if LIBRARIES not in sys.path and os.path.isdir(LIBRARIES):
    sys.path.append(LIBRARIES)


def main() -> int:
    """Run the process of the role that the argument names; return its exit status."""
    match sys.argv[1:]:
        case ["edge"]:
            from rosechute.processes import edge

            return edge.main()
        case ["core"]:
            from rosechute.processes import core

            return core.main()
    sys.exit("usage: python3 -S deploy/start.py edge|core")


if __name__ == "__main__":
    sys.exit(main())

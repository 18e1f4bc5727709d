"""The build, which can compile the modules that each request passes through: ROSECHUTE_COMPILE=1.

ROSECHUTE_COMPILE=lab compiles the lab's model as well, which then plays about twice as fast.

Everything else about the project is in pyproject.toml. Compiled by mypyc from the same sources, types and all;
without the variable nothing is compiled, and the program is the same.
"""

import os
import sys

from setuptools import setup

# Each group is one library, within which calls need no look-up. The protocols of ports.py are apart: the compiler
# (mypyc 1.19.1) fails on their properties where what uses them is in the same library.
GROUPS = [
    [
        "dunefield/interface.py",
        "dunefield/backoff.py",
        "dunefield/state.py",
        "dunefield/crowding.py",
        "dunefield/rules.py",
        "hollyport/core/calls.py",
        "hollyport/core/clock.py",
        "hollyport/core/flow.py",
        "hollyport/http1/quick.py",
        "hollyport/http1/admission.py",
        "hollyport/http1/backend.py",
        "hollyport/http1/pool.py",
        "hollyport/http1/upstream.py",
        "hollyport/http1/message.py",
        "hollyport/http1/connection.py",
        "hollyport/http1/client.py",
    ],
    ["hollyport/core/ports.py"],
]
LAB = [
    f"rosechute/lab/{name}.py"
    for name in (
        "draw",
        "engine",
        "server",
        "network",
        "listing",
        "trace",
        "judge",
        "instance",
        "clients",
        "figures",
        "rivals",
    )
]

extensions = []
asked = os.environ.get("ROSECHUTE_COMPILE")
if asked in ("1", "lab"):
    try:
        from mypyc.build import mypycify
    except ImportError:
        sys.exit(
            "ROSECHUTE_COMPILE=1 needs mypy: pip install -r requirements-build.txt -r requirements.txt, "
            "then pip install --no-build-isolation ."
        )
    for group in GROUPS + ([LAB] if asked == "lab" else []):
        extensions += mypycify(group, opt_level="3", debug_level="0", target_dir=".compiled.objects")

setup(ext_modules=extensions)

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
        "rosechute/load_balancing/interface.py",
        "rosechute/load_balancing/backoff.py",
        "rosechute/load_balancing/state.py",
        "rosechute/load_balancing/crowding.py",
        "rosechute/load_balancing/rules.py",
        "rosechute/proxy/core/calls.py",
        "rosechute/proxy/core/clock.py",
        "rosechute/proxy/core/flow.py",
        "rosechute/proxy/http1/quick.py",
        "rosechute/proxy/http1/admission.py",
        "rosechute/proxy/http1/backend.py",
        "rosechute/proxy/http1/pool.py",
        "rosechute/proxy/http1/upstream.py",
        "rosechute/proxy/http1/message.py",
        "rosechute/proxy/http1/connection.py",
        "rosechute/proxy/http1/client.py",
    ],
    ["rosechute/proxy/core/ports.py"],
]
LAB = [
    f"rosechute/simulation/{name}.py"
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

"""Optional compilation of the modules on the request path with mypyc.

ROSECHUTE_COMPILE=1 compiles the modules on the request path; ROSECHUTE_COMPILE=lab also compiles the simulator's
model, which then runs about twice as fast. Without the variable nothing is compiled; the program behaves the same.

All other metadata of the project is in pyproject.toml.
"""

import os
import sys

from setuptools import setup

# Each group becomes one library; calls within a library need no look-up. The protocols of ports.py are a separate
# group: mypyc 1.19.1 fails on their properties if the modules that use them are in the same library.
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
        "rosechute/proxy/http1/framing.py",
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

# Interpreted and compiled modules must compute the same. GCC on arm64 fuses multiply and add by default.
FLOATING_POINT_OPTION = "-ffp-contract=off"

extensions = []
compile_mode = os.environ.get("ROSECHUTE_COMPILE")
if compile_mode in ("1", "lab"):
    try:
        from mypyc.build import mypycify
    except ImportError:
        sys.exit(
            "ROSECHUTE_COMPILE=1 needs mypy: pip install -r requirements-build.txt -r requirements.txt, "
            "then pip install --no-build-isolation ."
        )
    for group in GROUPS + ([LAB] if compile_mode == "lab" else []):
        extensions += mypycify(group, opt_level="3", debug_level="0", target_dir=".compiled.objects")
for extension in extensions:
    extension.extra_compile_args.append(FLOATING_POINT_OPTION)

setup(ext_modules=extensions)

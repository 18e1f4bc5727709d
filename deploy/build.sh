#!/bin/sh
# The platform's build: an environment, byte code, and the modules on each request's way compiled where that can be done.
#
# Run from the project's root. What the sidecar needs must be there in the end, or this fails; that the modules could
# not be compiled is only told, as the sidecar then runs from the same sources, at more processor time a request.
set -eu

test -x .venv/bin/python || python3 -m venv .venv
# What is installed follows the pins, also where an environment is there already.
if ! cmp -s requirements.txt .venv/requirements.txt; then
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/requirements.txt
fi
# Byte code is made now: the file system is read-only later, and restarts are on the clock.
.venv/bin/python -m compileall -q rosechute/__init__.py rosechute/native.py rosechute/sidecar \
    rosechute/proxy rosechute/load_balancing

if .venv/bin/python deploy/compile.py --check; then
    exit 0
fi
compile() {
    test -x .venv-build/bin/python || python3 -m venv .venv-build
    if ! cat requirements.txt requirements-build.txt | cmp -s - .venv-build/requirements.txt; then
        .venv-build/bin/pip -q install -r requirements.txt -r requirements-build.txt
        cat requirements.txt requirements-build.txt > .venv-build/requirements.txt
    fi
    timeout 600 .venv-build/bin/python deploy/compile.py
}
if [ "${ROSECHUTE_PLAIN:-}" != 1 ] && ! (compile); then
    echo "build: not compiled (see above); the sidecar runs from its sources" >&2
fi

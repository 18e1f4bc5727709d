#!/bin/sh
# Build of the sidecar: virtual environment, byte code and, where possible, compiled modules for the request path.
#
# Run from the project's root. Fails if the environment can't be made. A failed compilation is only reported: the
# sidecar then runs from the same sources, with more CPU time per request.
set -eu

test -x .venv/bin/python || python3 -m venv .venv
# Installs the pinned versions, also into an existing environment.
if ! cmp -s requirements.txt .venv/requirements.txt; then
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/requirements.txt
fi
# Byte code is compiled now: the file system is read-only at run time, and restarts must be fast.
.venv/bin/python -m compileall -q rosechute/__init__.py rosechute/native.py rosechute/process_start.py rosechute/sidecar \
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
    echo "build: compilation failed (see above); the sidecar runs from source" >&2
fi

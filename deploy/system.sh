#!/bin/sh
# Build of the fleet: pinned libraries with byte code under target/, and byte code of the fleet's packages.
#
# Run from the project's root. Installs nothing if the libraries match the pins already.
set -eu

PINS=requirements-fleet.txt
LIBRARIES=target/deps
STAMP=target/deps.stamp

# Content of the stamp file: the interpreter and the pins that the libraries were installed for.
expected_stamp() {
    python3 --version
    cat "$PINS"
}

if ! test -d "$LIBRARIES" || ! expected_stamp | cmp -s - "$STAMP"; then
    rm -rf "$LIBRARIES" "$LIBRARIES.new" "$STAMP"
    mkdir -p target
    python3 -m pip install -q --disable-pip-version-check --no-compile --target "$LIBRARIES.new" -r "$PINS"
    mv "$LIBRARIES.new" "$LIBRARIES"
    python3 -m compileall -q "$LIBRARIES"
    expected_stamp > "$STAMP"
fi
# The tree is read-only while the fleet runs, and restarts must be fast: compile the packages now.
python3 -m compileall -q rosechute

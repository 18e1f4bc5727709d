#!/bin/sh
# The fleet's build: the pinned libraries and their byte code under target/, and byte code of the fleet's own packages.
#
# Run from the project's root. Does nothing where the libraries are those of the pins already.
set -eu

PINS=requirements-fleet.txt
LIBRARIES=target/deps
STAMP=target/deps.stamp

# The stamp holds the pins and the interpreter that the libraries were installed for.
wanted() {
    python3 --version
    cat "$PINS"
}

if ! test -d "$LIBRARIES" || ! wanted | cmp -s - "$STAMP"; then
    rm -rf "$LIBRARIES" "$LIBRARIES.new" "$STAMP"
    mkdir -p target
    python3 -m pip install -q --disable-pip-version-check --no-compile --target "$LIBRARIES.new" -r "$PINS"
    mv "$LIBRARIES.new" "$LIBRARIES"
    python3 -m compileall -q "$LIBRARIES"
    wanted > "$STAMP"
fi
# The tree is read-only while the fleet runs, and restarts are on the clock: compile what the processes load.
python3 -m compileall -q rosechute

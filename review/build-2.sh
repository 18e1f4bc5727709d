#!/bin/sh
# Build of the stand-ins that the scripts of the second review start: byte code of those here and of the project's own.
#
# Run after deploy/system.sh, whose libraries under target/deps the stand-ins use. Needs no network.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps${PYTHONPATH:+:$PYTHONPATH}"
python3 -m compileall -q rosechute/fakes review
python3 -c 'import review.standins'

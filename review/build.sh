#!/bin/sh
# Builds the stand-ins of all scripts under target/review. They lie beside the first case
# and need Python's standard library only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r review/1/tests/standins target/review/
python3 -m compileall -q target/review
PYTHONPATH=target/review python3 -c "import standins.deployment, standins.servers"

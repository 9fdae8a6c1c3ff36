#!/bin/sh
# Checks and compiles the stand-ins of the scripts 6 to 10, under target/review-2. They
# need Python's standard library only, and run from review/6/tests.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/6/tests/harness.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/review-2 python3 -c "import harness"

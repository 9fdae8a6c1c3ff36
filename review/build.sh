#!/bin/sh
# Builds the stand-ins of the scripts, which need Python's standard library only.
set -eu
cd "$(dirname "$0")/tests"
python3 -m compileall -q standins
python3 -c "import standins.deployment, standins.servers, standins.clients"

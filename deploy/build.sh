#!/bin/sh
# Puts the libraries and the workspace's packages under target/deps.
set -eu
# Compiled libraries of another interpreter or machine cannot be loaded.
machine=$(python3 -c "import sys, sysconfig as s; print(sys.implementation.cache_tag, s.get_platform())")
wanted="$machine $(cksum < deploy/requirements.txt)"
if [ "$(cat target/libraries 2>/dev/null)" != "$wanted" ]; then
  rm -rf target/deps target/libraries
  python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
  echo "$wanted" > target/libraries
fi
rm -rf target/deps/endive_*
cp -r packages/endive_core/src/endive_core packages/endive_node/src/endive_node \
  packages/endive_gateway/src/endive_gateway platform/src/endive_platform target/deps/
python3 -m compileall -q target/deps/endive_*

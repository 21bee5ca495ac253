#!/bin/sh
# Prepares the stand-ins of all cases. They are Python programs of the standard library
# alone, so nothing is compiled; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
sys.path.insert(0, ".")
import standins.deployment
import standins.worker
'
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }

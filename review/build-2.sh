#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6, which need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_2

#!/bin/sh
# Builds the second review's stand-ins: they are Python, so they are compiled once and imported.
# Needs the build of the deploy file (.venv) and no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q runloft/lab review/kit2.py review/kit2_objects.py review/[6-9] review/10
PYTHONPATH=.:review .venv/bin/python -c "import kit2_objects"

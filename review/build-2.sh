#!/bin/sh
# Builds the second review's stand-ins: they are Python, so they are compiled once and imported.
# Needs the build of the deploy file (.venv) and no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q runloft/lab review/kit2.py review/kit2_objects.py
for number in 6 7 8 9 10; do
  .venv/bin/python -m py_compile "review/$number/case.py"
done
PYTHONPATH=.:review .venv/bin/python -c "import kit2_objects"

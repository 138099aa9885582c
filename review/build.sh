#!/bin/sh
# The stand-ins are Python files that run in the program's own environment, which the deploy file's build makes.
# Nothing is fetched: this only checks that they load and compiles them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/kit.py review/[0-9]/*.py
PYTHONPATH=review .venv/bin/python -c "import kit"

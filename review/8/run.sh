#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
../../.venv/bin/python case.py &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do  # a signal ended the first wait; the case ends its processes
  wait "$pid"
  code=$?
done
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac

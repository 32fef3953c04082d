#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gooseberryroad ] || [ ! -x target/review-harness ]; then
  echo "build with the command of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 2 115 target/review-harness config review/5
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=review/bin/second/incomplete
if [ ! -x "$program" ]; then
  echo "not run: $program is missing, build it with review/build-2.sh"
  [ "${CI:-}" = true ] && exit 0
  exit 2
fi
exec "$program" review/10

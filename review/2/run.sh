#!/usr/bin/env bash
# Exits with 1 if an upstream read other bytes than the client had sent, with 0 if not, and with 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x review/bin/early ] && [ -x target/figpier ] || exit 2
exec review/bin/early "$folder"

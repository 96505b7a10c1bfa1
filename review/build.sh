#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for name in early stop late slashes founding; do
  [ ! -d "review/testdata/$name" ] || go build -o review/bin/ "./review/testdata/$name"
done

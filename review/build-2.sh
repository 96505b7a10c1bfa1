#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin/second/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin/second
for main in review/testdata/second/*/main.go; do
  name=$(basename "$(dirname "$main")")
  go build -o review/bin/second/ "./review/testdata/second/$name"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/testdata/*/main.go; do
  go build -o review/bin/ "./$(dirname "$main")"
done

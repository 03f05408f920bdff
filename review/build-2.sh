#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They are plain modules without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [0-9]*/case.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done

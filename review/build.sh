#!/bin/sh
# The stand-ins are plain JavaScript without dependencies, so there is nothing to compile; this checks that Node reads them.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done

#!/bin/sh
# Prepares what the scripts of the third review start besides the hosts' program, which the build of the deploy file makes. All stand-ins are plain JavaScript for Node, so they are only checked here.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -e target/jujubewelld-host.mjs ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }

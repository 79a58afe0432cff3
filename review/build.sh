#!/usr/bin/env bash
# Builds what the scripts of the cases start. The build of the deploy file has
# made the fleet's program, and the stand-ins in review and in the cases are
# plain JavaScript for Node.js, so this only checks that all of it can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/fleet.mjs ] || { echo "target/fleet.mjs is missing: run the build of deploy/system.toml"; exit 1; }
for file in review/*.mjs review/[0-9]*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done

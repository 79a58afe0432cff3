#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain modules without
# dependencies, so there is only their syntax to check; the programs under test are
# built by the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lab-3.mjs 1[1-5]/run.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done

#!/usr/bin/env bash
# Builds what the scripts start beside the project's own programs. The stand-ins are plain JavaScript without dependencies,
# so that there is nothing to compile; the programs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
test -f ../target/spoolgate.js || echo "target/spoolgate.js is missing: run the build of deploy/system.toml first"

#!/bin/bash
# The stand-ins of cases 4 to 8 are plain scripts for Node: nothing has to be compiled. This looks whether they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done

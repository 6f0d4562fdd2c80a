#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain JavaScript without dependencies, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs standins-3/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done

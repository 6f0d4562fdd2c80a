#!/usr/bin/env bash
# The stand-ins of the cases are JavaScript without a build; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done

#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts under review/kit, which need no build. This checks that each can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit/*.mjs [0-9]/*.mjs; do node --check "$file"; done

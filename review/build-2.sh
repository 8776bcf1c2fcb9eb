#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the program of the deploy file. Their stand-ins are in
# review/kit-2 and in the folders of the cases; they are plain modules for Node.js without dependencies, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/kit-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -f "$module" ]; then node --check "$module"; fi
done

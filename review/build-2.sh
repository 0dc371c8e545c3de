#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are plain JavaScript modules, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/run.mjs 10/run.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done

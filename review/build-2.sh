#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are plain modules of Node.js
# under review/lib-2 and need no build; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done

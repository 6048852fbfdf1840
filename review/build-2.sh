#!/bin/sh
# Prepares the cases review/6 to review/10. Their stand-ins are in review/lib-2, in plain JavaScript for Node and without any
# package, so there is nothing to compile: this checks that they can be loaded.
cd "$(dirname "$0")/lib-2" || exit 2
for file in wire.js standins.js harness.js; do
  node --check "$file" || exit 2
done
exec node -e "require('./harness.js')"

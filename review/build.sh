#!/bin/sh
# The stand-ins are JavaScript for the Node that the project's client is tested with. Nothing is compiled or fetched;
# this checks that Node is there and can read them.
set -e
cd "$(dirname "$0")"
for file in lib/*.js */case.js; do
    node --check "$file"
done

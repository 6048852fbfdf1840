#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../target/release/mintstall || exit 2
node case.js
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac

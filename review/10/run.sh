#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -f target/hornbeam-router.jar ] || [ ! -f target/review-2/StaleEntry.class ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
rm -f "$here/record.txt"
java -Xmx1g -cp target/review-2 StaleEntry "$here"
code=$?
grep -q "the rule \(held\|was broken\)" "$here/record.txt" 2>/dev/null || code=2
exit $code

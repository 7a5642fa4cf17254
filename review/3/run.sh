#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the kills and the lost answer out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/hornbeam-router.jar ] && [ -f review/target/LateRelease.class ] || exit 2
timeout 110 java -cp review/target:target/hornbeam-router.jar LateRelease review/3/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2

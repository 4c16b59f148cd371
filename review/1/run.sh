#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/kit ] && [ -x target/release/waxwing-node ] || exit 2
exec target/review/kit lost-quorum review/1/record.txt

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 110 target/review-2/StaleCall "$folder" review/8/record.txt "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -eq 0 ] || [ "$result" -eq 1 ] || result=2
exit "$result"

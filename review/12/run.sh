#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hawthorntide ] && [ -x target/review-3/release/evacuation ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-3/release/evacuation "$folder" review/12/record.txt
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac

#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the
# deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cuminvaned ] && [ -x target/review-2/silent_connection ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 target/review-2/silent_connection "$here/record.txt" "${TROUBLE:-1}" "$folder"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"

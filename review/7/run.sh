#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/lentild ] && [ -x target/stand-2 ] || exit 2
timeout 110 target/stand-2 late "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

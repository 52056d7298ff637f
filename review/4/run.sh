#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x "$root/target/jasminespread-gateway" ] && [ -x "$root/review/out/late_state" ] || exit 2
timeout 115 "$root/review/out/late_state" "$root/target/jasminespread-gateway" "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
[ $status -le 1 ] || status=2
exit $status

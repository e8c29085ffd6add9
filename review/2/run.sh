#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/limereel ] && [ -x target/review/PlannedStop ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 100 target/review/PlannedStop "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

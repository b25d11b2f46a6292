#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/vanillafalld ] && [ -x target/review/case_3 ] || exit 2
WORK="$(mktemp -d)" || exit 2
trap 'rm -rf "$WORK"' EXIT
timeout -k 5 110 target/review/case_3 review/3/record.txt "$WORK" "${TROUBLE:-1}"
CODE=$?
[ "$CODE" -le 1 ] || exit 2
exit "$CODE"

#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
HERE="$(cd "$(dirname "$0")" && pwd)"
NUMBER="$(basename "$HERE")"
cd "$HERE/../.." || exit 2
PROGRAM=target/bin/vanillafalld
CASE="target/review-2/case-$NUMBER"
[ -x "$PROGRAM" ] && [ -x "$CASE" ] || { echo "not built"; exit 2; }
exec "$CASE" "$PROGRAM" "$HERE" "${TROUBLE:-1}"

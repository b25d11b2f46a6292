#!/usr/bin/env bash
# Injects failures into a fleet of real daemons in proxy mode while callers send
# requests, and compares the outcomes that the callers received with what ran.
# See docs/operating/soak.md.
#
#   scripts/soak.sh [--orderly | --restores | --silences | --customers] FIRST_SEED [LAST_SEED] [SECONDS]
#
# The seed determines the schedule, which is printed if the run fails. Exit code
# 0 only if no seed failed. SOAK_KEEP names a directory in which schedules and
# logs are kept; without it they are removed at the end. SOAK_DAEMONS,
# SOAK_CALLERS and SOAK_PORT set the size of the fleet and the ports.
set -uo pipefail
KIND=()
case "${1:-}" in --orderly | --restores | --silences | --customers) KIND=("$1") && shift ;; esac
FIRST="${1:?first seed}"
LAST="${2:-$FIRST}"
LENGTH="${3:-20}"
set --
source "$(dirname "$0")/lib.sh"
[ -x "$BUILD/tools/vf_soak" ] || { install_packages && build; } || exit 1
WORK="${SOAK_KEEP:-$(mktemp -d)}"
[ -n "${SOAK_KEEP:-}" ] || trap 'rm -rf "$WORK"' EXIT
FAILED=0
for seed in $(seq "$FIRST" "$LAST"); do
  directory="$WORK/seed-$seed"
  mkdir -p "$directory"
  if "$BUILD/tools/vf_soak" --daemon "$BUILD/bin/vanillafalld" \
    --relay "$BUILD/standins/relay_standin" --directory "$directory" \
    --seed "$seed" --seconds "$LENGTH" --daemons "${SOAK_DAEMONS:-6}" \
    --callers "${SOAK_CALLERS:-12}" --port "${SOAK_PORT:-21000}" \
    ${KIND[@]+"${KIND[@]}"} >"$directory/schedule" 2>&1; then
    grep '^seed' "$directory/schedule"
  else
    FAILED=$((FAILED + 1))
    cat "$directory/schedule"
  fi
done
echo "$((LAST - FIRST + 1 - FAILED)) passed, $FAILED failed"
[ "$FAILED" -eq 0 ]

#!/usr/bin/env bash
# Disturbs a fleet of real daemons in proxy mode while callers work, and holds
# what callers were told against what ran. docs/operating/soak.md tells more.
#
#   scripts/soak.sh [--orderly] FIRST_SEED [LAST_SEED] [SECONDS]
#
# The seed fixes the schedule, which is printed. Exit code 0 only if nothing was
# broken. SOAK_KEEP is a directory for schedules and logs, which are removed
# otherwise; SOAK_DAEMONS, SOAK_CALLERS and SOAK_PORT change size and ports.
set -uo pipefail
ORDERLY=()
[ "${1:-}" = --orderly ] && ORDERLY=(--orderly) && shift
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
    ${ORDERLY[@]+"${ORDERLY[@]}"} >"$directory/schedule" 2>&1; then
    grep '^seed' "$directory/schedule"
  else
    FAILED=$((FAILED + 1))
    cat "$directory/schedule"
  fi
done
echo "$((LAST - FIRST + 1 - FAILED)) passed, $FAILED failed"
[ "$FAILED" -eq 0 ]

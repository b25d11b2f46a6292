#!/usr/bin/env bash
# Injects failures into a fleet of real processes while callers send requests,
# and compares the outcomes that the callers received with what the backend
# servers ran.
#
#   scripts/prove.sh SEED [SECONDS]
#   scripts/prove.sh --leaving SEED [SECONDS]
#
# With --leaving the only failures are daemons and backend servers that are
# asked to drain and return later, and every request must be answered.
# The seed determines the schedule of failures and the requests of the callers;
# the schedule is printed first. Exit code 0 only if no invariant was violated.
# PROVE_KEEP names a directory in which the histories and logs are kept.
set -uo pipefail
LEAVING=no
[ "${1:-}" = --leaving ] && LEAVING=yes && shift
SEED="${1:?seed}"
SECONDS_TO_RUN="${2:-15}"
PORTS="${PROVE_PORTS:-19000}"
RATE="${PROVE_RATE:-300}"
# Longest pause of a daemon, and longest time for which a relay holds bytes.
MAX_PAUSE_MS="${PROVE_PAUSE_MS:-1500}"
REQUEST_TIMEOUT_MS=1000
RESEND_MS=1500
# A resend can be delayed by all of these together: the time in which the caller
# resends, a paused entry, a held connection, a paused owner, and the request
# timeout in the entry and in the owner. The guards must still remember the key
# when it arrives. With a shorter window a key can run twice;
# PROVE_RESEND_WINDOW=1s shows it.
MIN_RESEND_WINDOW_MS=$((RESEND_MS + 3 * MAX_PAUSE_MS + 2 * REQUEST_TIMEOUT_MS))
RESEND_WINDOW="${PROVE_RESEND_WINDOW:-$(((MIN_RESEND_WINDOW_MS + 999) / 1000))s}"
# Clears the arguments, which `source` would otherwise pass on to lib.sh.
set --
source "$(dirname "$0")/lib.sh"
WORK="${PROVE_KEEP:-$(mktemp -d)}"
mkdir -p "$WORK"
rm -rf "$WORK"/documents "$WORK"/files "$WORK"/history-* "$WORK"/daemon-*
SERVICE_FILES="$WORK/files"
# With --leaving there is no relay: it would accept connections to a daemon that
# has stopped, so that a request would be lost instead of not being sent.
RELAYED=$([ "$LEAVING" = yes ] && echo no || echo yes)
MORE_LIMITS=$'drain_timeout = "4s"\nrequest_timeout = "1s"'
BACKEND_FLAGS=(--crash-on poison)
source "$(dirname "$0")/fleet.sh"
[ -x "$BUILD/tools/vf_load" ] || { install_packages && build; } || exit 1

cleanup() {
  stop_all
  [ -n "${PROVE_KEEP:-}" ] || rm -rf "$WORK"
}
trap cleanup EXIT

VIOLATIONS=0
violation() {
  echo "VIOLATION: $*"
  VIOLATIONS=$((VIOLATIONS + 1))
}

# Copies the samples, with the ports and the resend window of this script.
write_service_files() {
  local file
  mkdir -p "$SERVICE_FILES"
  for file in "$ROOT"/samples/*.toml; do
    sed -e "s/127\.0\.0\.1:18\([0-9]\{3\}\)/127.0.0.1:$((PORTS / 1000))\1/" \
      -e "s/^resend_window = \"[0-9a-z]*\"/resend_window = \"$RESEND_WINDOW\"/" \
      "$file" >"$SERVICE_FILES/$(basename "$file")"
  done
}

# ---- Planning of the schedule ----
SCHEDULE=()
# For each daemon, the time at which its next failure may begin. It keeps the
# pauses of a daemon from adding up to a longer pause.
declare -A NEXT_FAILURE_AT
# Schedules the action $2... at $1 ms.
schedule() { SCHEDULE+=("$(printf '%06d' "$1") ${*:2}"); }
# Sets DRAWN to a random number from $1 to $2. The number is not printed,
# because drawing it in a subshell would not advance the random sequence of this
# shell.
draw_between() { DRAWN=$(($1 + RANDOM % ($2 - $1 + 1))); }
# Sets PICKED to one of the arguments at random.
pick_one() {
  local list=("$@")
  PICKED=${list[$((RANDOM % ${#list[@]}))]}
}

# Schedules a random failure at $1 ms, and its end, which lies before the end of
# the run. Schedules nothing if the drawn daemon may not fail yet.
plan_failure() {
  local begin=$1 until daemon backend
  draw_between 1 7 && daemon=$DRAWN
  pick_one "${BACKENDS[@]}" && backend=$PICKED
  draw_between 300 2500 && until=$((begin + DRAWN))
  [ "$until" -lt "$LATEST_END" ] || until=$LATEST_END
  [ "$begin" -ge "${NEXT_FAILURE_AT[$daemon]:-0}" ] || return 0
  local kind=$((RANDOM % 16))
  if [ "$LEAVING" = yes ]; then
    pick_one 2 2 8 && kind=$PICKED
  fi
  case $kind in
    0 | 1) schedule "$begin" kill_daemon "$daemon" && schedule "$until" revive_daemon "$daemon" ;;
    2) schedule "$begin" term_daemon "$daemon" && schedule "$until" revive_daemon "$daemon" ;;
    3 | 4 | 5)
      draw_between 200 "$MAX_PAUSE_MS" && until=$((begin + DRAWN))
      [ "$until" -lt "$LATEST_END" ] || until=$LATEST_END
      NEXT_FAILURE_AT[$daemon]=$((until + 500))
      schedule "$begin" freeze_daemon "$daemon" && schedule "$until" wake_daemon "$daemon"
      ;;
    6 | 7) schedule "$begin" kill_backend "$backend" && schedule "$until" revive_backend "$backend" ;;
    8) schedule "$begin" drain_backend "$backend" && schedule "$until" undrain_backend "$backend" ;;
    9)
      pick_one hang=1 fail_percent=60 slow_ms=400 cut_after=10 "flap_ms=300&hang=1"
      schedule "$begin" mode_backend "$backend" "$PICKED" &&
        schedule "$until" mode_backend "$backend" work_ms=3
      ;;
    10 | 11 | 12)
      [ "$until" -lt $((begin + MAX_PAUSE_MS)) ] || until=$((begin + MAX_PAUSE_MS))
      NEXT_FAILURE_AT[$daemon]=$((until + 500))
      pick_one hold=in hold=out hold=both delay_ms=60 "hold=in&share=50" "hold=out&share=50"
      schedule "$begin" mode_relay "$daemon" "$PICKED" && schedule "$until" mode_relay "$daemon" reset=0
      ;;
    13) schedule "$begin" mode_relay "$daemon" reset=1 ;;
    14)
      pick_one mode=down mode=stale "mode=ok&delay_ms=700"
      schedule "$begin" mode_platform "$PICKED" && schedule "$until" mode_platform mode=ok
      ;;
    15) draw_between 1 4 && schedule "$begin" publish_floor "$DRAWN" ;;
  esac
}

plan_schedule() {
  local time=500
  RANDOM=$SEED
  LATEST_END=$((SECONDS_TO_RUN * 1000 - 1000))
  while [ "$time" -lt "$LATEST_END" ]; do
    plan_failure "$time"
    draw_between 150 700 && time=$((time + DRAWN))
  done
  mapfile -t SCHEDULE < <(printf '%s\n' "${SCHEDULE[@]}" | sort -s -k1,1)
}

# ---- Actions of the schedule ----
declare -A IS_DOWN BACKEND_ADDRESS BACKEND_DOWN OWNER_OF
PUBLISHED_NUMBER=1
TIMED_OUT_DRAINS=0
is_alive() { kill -0 "$1" 2>/dev/null; }

kill_daemon() {
  IS_DOWN[$1]=yes
  kill -9 "${DAEMON_PID[$1]}" 2>/dev/null
}
term_daemon() {
  [ -z "${IS_DOWN[$1]:-}" ] || return 0
  IS_DOWN[$1]=draining
  kill "${DAEMON_PID[$1]}"
}
revive_daemon() {
  [ -n "${IS_DOWN[$1]:-}" ] || return 0
  kill -CONT "${DAEMON_PID[$1]}" 2>/dev/null
  wait "${DAEMON_PID[$1]}" 2>/dev/null
  local code=$?
  if [ "${IS_DOWN[$1]}" = draining ]; then
    case $code in
      0) ;;
      4) TIMED_OUT_DRAINS=$((TIMED_OUT_DRAINS + 1)) ;;
      *) violation "daemon $1 ended its drain with exit code $code" ;;
    esac
  fi
  start_daemon "$1"
  # A signal that arrives before the daemon has installed its signal handlers
  # would end it without a drain.
  wait_for 2 curl -sf -m 1 "http://$(operator_address "$1")/config"
  IS_DOWN[$1]=
}
freeze_daemon() { kill -STOP "${DAEMON_PID[$1]}" 2>/dev/null; }
wake_daemon() { kill -CONT "${DAEMON_PID[$1]}" 2>/dev/null; }
kill_backend() {
  BACKEND_DOWN[$1]=yes
  kill -9 "${BACKEND_PID[$1]}" 2>/dev/null
  wait "${BACKEND_PID[$1]}" 2>/dev/null
}
revive_backend() {
  is_alive "${BACKEND_PID[$1]}" && return 0
  wait "${BACKEND_PID[$1]}" 2>/dev/null
  BACKEND_DOWN[$1]=
  start_backend "$1" "${BACKEND_ADDRESS[$1]}"
}
mode_backend() { post "http://${BACKEND_ADDRESS[$1]}/admin/mode?$2"; }
drain_backend() { mode_backend "$1" drain=1; }
undrain_backend() {
  mode_backend "$1" work_ms=3
  local i
  for i in "${DAEMONS[@]}"; do
    post "http://$(operator_address "$i")/undrain?subject=$1"
  done
}
mode_relay() { post "http://$RELAY_ADMIN/admin/mode?route=$1&$2"; }
mode_platform() { post "http://$PLATFORM/admin/mode?$1"; }
publish_floor() {
  sed -i "s/^floor = [0-9]*/floor = $1/" "$SERVICE_FILES/order-desk.toml"
  "$BUILD/bin/vanillafall" bundle "$SERVICE_FILES" --out "$WORK/documents" >/dev/null
  PUBLISHED_NUMBER=$(sed 's/^{"number": *\([0-9]*\).*/\1/' "$WORK/documents/manifest.json")
  publish "$WORK/documents"
}
post() { curl -s -m 1 -o "$WORK/post" -X POST "$1"; }

# Restarts backend servers that crashed. A daemon that ended by itself is
# reported as a violation and restarted.
check_processes() {
  local name i
  for name in "${BACKENDS[@]}"; do
    [ -n "${BACKEND_DOWN[$name]:-}" ] || is_alive "${BACKEND_PID[$name]}" ||
      revive_backend "$name"
  done
  for i in "${DAEMONS[@]}"; do
    [ -n "${IS_DOWN[$i]:-}" ] || is_alive "${DAEMON_PID[$i]}" || {
      wait "${DAEMON_PID[$i]}"
      violation "daemon $i ended by itself with exit code $?"
      start_daemon "$i"
    }
  done
}

elapsed_ms() { echo $((${EPOCHREALTIME/./} / 1000 - STARTED_AT_MS)); }

# Runs each action at its time and checks the processes in between.
run_schedule() {
  local time action
  STARTED_AT_MS=$((${EPOCHREALTIME/./} / 1000))
  while read -r time action; do
    while [ "$(elapsed_ms)" -lt "$((10#$time))" ]; do
      check_processes
      sleep 0.05
    done
    $action
  done < <(printf '%s\n' "${SCHEDULE[@]}")
}

write_service_files
BACKENDS=()
while read -r name address; do
  BACKENDS+=("$name")
  BACKEND_ADDRESS[$name]=$address
done < <(list_backends)
plan_schedule
echo "== seed $SEED, $SECONDS_TO_RUN s, $RATE requests/s, pauses to $MAX_PAUSE_MS ms, resend window $RESEND_WINDOW, schedule (ms, action):"
printf '   %s\n' "${SCHEDULE[@]}"
if (: <"/dev/tcp/127.0.0.1/$PORTS") 2>/dev/null; then
  echo "prove: the ports from $PORTS are in use; set PROVE_PORTS"
  exit 2
fi
start_fleet || exit 1
sleep "${RESEND_WINDOW%s}" # a guard abstains for the resend window after its start

LOAD_FLAGS=(--poison-permille 3)
[ "$LEAVING" = no ] || LOAD_FLAGS=(--must-answer)
CALLERS=()
for i in "${DAEMONS[@]}"; do
  CALLERS+=("$(caller_address "$i")")
done
"$BUILD/tools/vf_load" --seed "$SEED" --ms $((SECONDS_TO_RUN * 1000)) \
  "${LOAD_FLAGS[@]}" --resend-ms $RESEND_MS --rate "$RATE" --settle-ms 3000 --history "$WORK" \
  --out "$WORK/callers.jsonl" "${CALLERS[@]}" >"$WORK/figures" 2>"$WORK/evidence" &
LOAD=$!
run_schedule
wait "$LOAD"
LOAD_CODE=$?
check_processes
for i in "${DAEMONS[@]}"; do
  wait_for 10 has_manifest "$i" "$PUBLISHED_NUMBER" ||
    violation "daemon $i holds configuration $(manifest_number "$i"), published is $PUBLISHED_NUMBER"
done
cat "$WORK/figures" "$WORK/evidence"
echo "drains_cut $TIMED_OUT_DRAINS count"
[ "$LOAD_CODE" -eq 0 ] || violation "vf_load ended with exit code $LOAD_CODE"
if [ "$VIOLATIONS" -ne 0 ]; then
  echo "prove: seed $SEED broke invariants"
  exit 1
fi
echo "prove: seed $SEED, every invariant held"

#!/usr/bin/env bash
# Runs every measurement of the project on this machine, with limited load on
# loopback, and prints one line per figure: "name value unit".
#
#   scripts/measure.sh [--quick] [--out DIR]
#
# The same figures are written to DIR (default: measurements) as
# measurements.jsonl and report.html. With --quick the script ends within a
# minute after the build. The exit code is 1 if a measurement failed; its
# figures are then missing or partial, and the last lines name it.
set -uo pipefail
QUICK=()
OUT=measurements
while [ "$#" -gt 0 ]; do
  case "$1" in
    --quick) QUICK=(--quick) ;;
    --out) OUT="${2:?directory}" && shift ;;
    *) echo "usage: measure.sh [--quick] [--out DIR]" && exit 2 ;;
  esac
  shift
done
source "$(dirname "$0")/lib.sh"
PORTS=20000
WORK=$(mktemp -d)
SERVICE_FILES="$WORK/files"
BACKEND_FLAGS=(--slots 64)
source "$(dirname "$0")/fleet.sh"
install_packages && build || exit 1
trap 'stop_all; rm -rf "$WORK"' EXIT
mkdir -p "$OUT" "$SERVICE_FILES"
JSON="$OUT/measurements.jsonl"
: >"$JSON"
MACHINE="$(nproc) cores, $(date -u +%Y-%m-%dT%H:%MZ), load before $(cut -d' ' -f1 /proc/loadavg)"
FAILED=()

# Prints the lines of stdin that are figures and appends them to $JSON. $1 is
# the name of the measurement.
record_figures() {
  awk -v command="$1" -v cores="$(nproc)" -v json="$JSON" '
    NF == 3 && $2 ~ /^-?[0-9.]+(e[-+]?[0-9]+)?$/ {
      print
      printf "{\"name\": \"%s\", \"value\": %s, \"unit\": \"%s\", \"command\": \"%s\", \"cores\": %s}\n",
        $1, $2, $3, command, cores >> json
    }'
}

# Runs measurement $1 with the command $2..., for at most 900 s.
measure() {
  local name=$1
  shift
  echo "# $name: $*; $MACHINE"
  timeout 900 "$@" 2>"$WORK/errors" | record_figures "$name"
  local code=${PIPESTATUS[0]}
  if [ "$code" -ne 0 ]; then
    FAILED+=("$name ended with exit code $code")
    tail -n 5 "$WORK/errors"
  fi
}

# Starts two daemons and one backend server, which daemon 1 owns. A request
# through daemon 1 passes one daemon, a request through daemon 2 passes both.
start_path() {
  DAEMONS=(1 2)
  cat >"$SERVICE_FILES/measure.toml" <<END
service = "measure"
floor = 1
callers = ["*"]
[[route]]
prefix = "/measure"
class = "measure"
[[backend_server]]
name = "measure-1"
address = "127.0.0.1:$((PORTS + 301))"
owner = "$(peer_address 1)"
data_centre = "hervanta"
slots = 64
END
  start_fleet >"$WORK/start.log" || { cat "$WORK/start.log" && return 1; }
}

measure_path() {
  local rounds=10000 time=10000
  [ "${#QUICK[@]}" -gt 0 ] && rounds=2000 && time=3000
  start_path || { FAILED+=("latency could not start") && return; }
  measure latency "$BUILD/tools/vf_latency" --direct "127.0.0.1:$((PORTS + 301))" \
    --one "$(caller_address 1)" --two "$(caller_address 2)" --rounds "$rounds" --ms "$time" \
    --pid "${DAEMON_PID[1]}" --pid "${DAEMON_PID[2]}"
  stop_all
}

measure_path
for bench in "$BUILD"/tools/bench_* "$BUILD"/bin/bench_*; do
  [ -f "$bench" ] && [ -x "$bench" ] &&
    measure "$(basename "$bench")" "$bench" "${QUICK[@]}"
done
PROVE_SECONDS=60
[ "${#QUICK[@]}" -gt 0 ] && PROVE_SECONDS=8
measure prove "$ROOT/scripts/prove.sh" 1 "$PROVE_SECONDS"
if [ -x "$ROOT/scripts/measure_config.sh" ]; then
  if [ "${#QUICK[@]}" -eq 0 ]; then
    measure measure_config "$ROOT/scripts/measure_config.sh"
  else
    echo "# measure_config: not run with --quick"
  fi
fi
"$BUILD/tools/vf_report" --machine "$MACHINE" "$JSON" "$OUT/report.html" ||
  FAILED+=("vf_report failed")
echo "# figures in $JSON, plots in $OUT/report.html"
if [ "${#FAILED[@]}" -gt 0 ]; then
  printf 'FAILED: %s\n' "${FAILED[@]}"
  exit 1
fi

#!/usr/bin/env bash
#   scripts/measure_config.sh [SIZE]...
#
# Measures, with real processes on loopback, how soon a configuration change is
# in force and what the control traffic costs. SIZE is a number of daemons; the
# default sizes are 10, 40 and 120. Prints lines of "name value unit", where the
# name ends with the size. Uses ports 21000 to 24999 and takes about 70 s per
# size.
set -uo pipefail
SIZES=("$@")
[ "$#" -eq 0 ] && SIZES=(10 40 120)
# Clears the arguments, which `source` would otherwise pass on to lib.sh.
set --
source "$(dirname "$0")/lib.sh"

CHANGES=5
QUIET_SECONDS=20
# How long to wait for a change to reach every daemon; longer than a change may
# take.
SPREAD_SECONDS=6
DATA_CENTRES=7
SERVICES=20
PLATFORM=127.0.0.1:24000
WORK=$(mktemp -d)
trap 'stop_all; rm -rf "$WORK"' EXIT

peer_address() { echo "127.0.0.1:$((22000 + $1))"; }
operator_address() { echo "127.0.0.1:$((23000 + $1))"; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }
print_figure() { echo "$1 $2 $3"; }

write_settings() {
  cat >"$WORK/daemon-$1.toml" <<END
instance = "i-$1"
data_centre = "dc-$(($1 % DATA_CENTRES))"
region = "r-$(($1 % 2))"
caller_address = "127.0.0.1:$((21000 + $1))"
peer_address = "$(peer_address "$1")"
operator_address = "$(operator_address "$1")"
platform_address = "$PLATFORM"
seeds = ["$(peer_address 1)", "$(peer_address 2)"]

[log]
level = "error"

[limits]
drain_timeout = "100ms"
END
}

# Writes service file number $1 for a fleet of $2 daemons. The resend window is
# $3 seconds.
write_service() {
  local server owner
  mkdir -p "$WORK/files"
  {
    echo "service = \"service-$1\""
    echo "floor = 1"
    echo "callers = [\"*\"]"
    echo "resend_window = \"$3s\""
    echo "[[route]]"
    echo "prefix = \"/s$1\""
    echo "class = \"work\""
    for server in 0 1 2; do
      owner=$((($1 * 3 + server) % $2 + 1))
      echo "[[backend_server]]"
      echo "name = \"s$1-$server\""
      echo "address = \"127.0.0.1:$((24100 + $1 * 3 + server))\""
      echo "owner = \"$(peer_address "$owner")\""
      echo "data_centre = \"dc-$((owner % DATA_CENTRES))\""
      echo "slots = 3"
    done
  } >"$WORK/files/service-$1.toml"
}

# Publishes the documents, with the manifest last. Sets PUBLISHED_AT_MS to the
# moment just before the manifest is published.
publish() {
  local file
  "$BUILD/bin/vanillafall" bundle "$WORK/files" --out "$WORK/documents" >/dev/null
  for file in "$WORK"/documents/service-*.json "$WORK/documents/manifest.json"; do
    PUBLISHED_AT_MS=$(now_ms)
    curl -sf -X PUT --data-binary "@$file" \
      "http://$PLATFORM/v1/values/$(basename "$file" .json)" >/dev/null
  done
}

# Publishes the list of $1 instances.
publish_instances() {
  local i list=""
  for ((i = 1; i <= $1; i++)); do
    list+="${list:+,}{\"instance\":\"i-$i\",\"region\":\"r-$((i % 2))\",\"state\":\"live\","
    list+="\"data_centre\":\"dc-$((i % DATA_CENTRES))\",\"peer_address\":\"$(peer_address "$i")\"}"
  done
  curl -sf -X PUT --data-binary "[$list]" \
    "http://$PLATFORM/v1/values/instances" >/dev/null
}

# Prints the manifest number of daemon $1 and the time in ms since when that
# manifest is in force.
latest_config() {
  local requested_at page
  requested_at=$(now_ms)
  page=$(curl -sf -m 5 "http://$(operator_address "$1")/config") || return 1
  echo "$page" | awk -v requested_at="$requested_at" -F'[:,]' '
    /"in_force_age_ms"/ {age = $2 + 0}
    /"manifest_number"/ {number = $2 + 0}
    END {printf "%d %.0f\n", number, requested_at - age}'
}

has_manifest() { [ "$(latest_config "$1" | cut -d' ' -f1)" = "$2" ]; }

# Prints the sum of metric $1 over the first $2 daemons.
sum_metric() {
  local i total=0 value
  for ((i = 1; i <= $2; i++)); do
    value=$(curl -sf -m 5 "http://$(operator_address "$i")/metrics" |
      awk -v name="$1" '$1 == name {printf "%d", $2}')
    total=$((total + ${value:-0}))
  done
  echo "$total"
}

# Prints the processor time that all daemons have used, in clock ticks.
cpu_ticks() {
  local pid total=0 ticks
  for pid in "${DAEMON_PIDS[@]}"; do
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat" 2>/dev/null)
    total=$((total + ${ticks:-0}))
  done
  echo "$total"
}

# Prints the resident memory of all daemons together, in kB.
rss_kb() {
  local pid total=0 kb
  for pid in "${DAEMON_PIDS[@]}"; do
    kb=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status" 2>/dev/null)
    total=$((total + ${kb:-0}))
  done
  echo "$total"
}

get_platform_calls() { curl -sf "http://$PLATFORM/admin/calls"; }
ratio() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.2f", a / b}'; }

# Starts the platform and $1 daemons, and waits until all have a configuration.
start_fleet() {
  local i
  DAEMON_PIDS=()
  rm -rf "$WORK/documents" "$WORK/files"
  start "$BUILD/standins/platform_standin" --address "$PLATFORM"
  wait_for 5 get_platform_calls
  for ((i = 0; i < SERVICES; i++)); do
    write_service "$i" "$1" 900
  done
  publish
  publish_instances "$1"
  for ((i = 1; i <= $1; i++)); do
    write_settings "$i"
    start "$BUILD/bin/vanillafalld" "$WORK/daemon-$i.toml" 2>>"$WORK/log"
    DAEMON_PIDS+=("$LAST_PID")
  done
  for ((i = 1; i <= $1; i++)); do
    wait_for 30 has_manifest "$i" 1 || { echo "daemon $i has no configuration"; return 1; }
  done
}

# Measures the cost of control while the configuration stays the same. All but
# the platform calls are per daemon.
measure_quiet() {
  local bytes ticks platform_calls
  sleep 5
  bytes=$(sum_metric vanillafall_control_bytes_total "$1")
  ticks=$(cpu_ticks)
  platform_calls=$(get_platform_calls)
  local begin
  begin=$(now_ms)
  sleep "$QUIET_SECONDS"
  local seconds
  platform_calls=$(($(get_platform_calls) - platform_calls))
  ticks=$(($(cpu_ticks) - ticks))
  seconds=$(ratio $(($(now_ms) - begin)) 1000)
  bytes=$(($(sum_metric vanillafall_control_bytes_total "$1") - bytes))
  # The two sums of the metric are taken about `seconds` apart, so that their
  # difference can be divided by `seconds`.
  print_figure "platform_calls_per_s_$1" "$(ratio "$platform_calls" "$seconds")" calls/s
  print_figure "control_bytes_per_s_$1" "$(awk -v b="$bytes" -v s="$seconds" -v n="$1" 'BEGIN {printf "%.0f", b / s / n}')" B/s
  print_figure "control_cpu_percent_$1" \
    "$(awk -v t="$ticks" -v hz="$(getconf CLK_TCK)" -v s="$seconds" -v n="$1" \
      'BEGIN {printf "%.3f", 100 * t / hz / s / n}')" percent
  print_figure "control_rss_mb_$1" "$(ratio "$(rss_kb)" $(($1 * 1024)))" MB
}

# Publishes changes one after another and prints how soon they are in force. A
# daemon on which a change is not in force after SPREAD_SECONDS is counted with
# that time.
measure_changes() {
  local change i number in_force_at
  : >"$WORK/times"
  for ((change = 2; change <= CHANGES + 1; change++)); do
    write_service 0 "$1" $((900 + change))
    publish
    sleep "$SPREAD_SECONDS"
    for ((i = 1; i <= $1; i++)); do
      read -r number in_force_at < <(latest_config "$i")
      if [ "${number:-0}" = "$change" ]; then
        echo $((in_force_at - PUBLISHED_AT_MS)) >>"$WORK/times"
      else
        echo "late: daemon $i has manifest ${number:-none}, expected $change" >&2
        echo $((SPREAD_SECONDS * 1000)) >>"$WORK/times"
      fi
    done
  done
  sort -n "$WORK/times" | awk -v size="$1" '
    {times[NR] = $1 < 0 ? 0 : $1}
    END {
      print "config_in_force_p50_ms_" size, times[int((NR - 1) * 0.5) + 1], "ms"
      print "config_in_force_p99_ms_" size, times[int((NR - 1) * 0.99) + 1], "ms"
      print "config_in_force_last_ms_" size, times[NR], "ms"
    }'
}

install_packages && build || exit 1
print_figure machine_load_1min "$(cut -d' ' -f1 /proc/loadavg)" runnable
for size in "${SIZES[@]}"; do
  start_fleet "$size" || exit 1
  measure_quiet "$size"
  measure_changes "$size"
  stop_all
done

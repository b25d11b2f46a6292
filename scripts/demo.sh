#!/usr/bin/env bash
# Demonstrates a whole fleet on loopback. Exit code 0 only if no request was
# lost, run twice or given the answer of another request. With --hold the fleet
# keeps running until Ctrl-C.
set -uo pipefail
source "$(dirname "$0")/lib.sh"
source "$(dirname "$0")/fleet.sh"

HOLD=no
[ "${1:-}" = --hold ] && HOLD=yes
install_packages && build || exit 1
WORK=$(mktemp -d)
trap 'stop_all; rm -rf "$WORK"' EXIT
FAILURES=0
REQUEST_COUNT=0

fail() {
  echo "WRONG: $*"
  FAILURES=$((FAILURES + 1))
}

# Sends one request: daemon number, customer, method, path, key. Sets STATUS,
# OUTCOME, REASON and BODY, and checks that the answer belongs to this request;
# a non-empty $6 skips the check, for resends that get the first answer.
send() {
  REQUEST_COUNT=$((REQUEST_COUNT + 1))
  local id="r$REQUEST_COUNT"
  local key=()
  [ -n "${5:-}" ] && key=(-H "Idempotency-Key: $5")
  STATUS=$(curl -s -m 12 -o "$WORK/body" -D "$WORK/headers" -w '%{http_code}' \
    -X "$3" -H "Vanillafall-Tenant: $2" -H "X-Request-Id: $id" "${key[@]}" \
    "http://$(caller_address "$1")$4")
  OUTCOME=$(sed -n 's/^Vanillafall-Outcome: \(.*\)\r$/\1/p' "$WORK/headers")
  REASON=$(sed -n 's/^Vanillafall-Reason: \(.*\)\r$/\1/p' "$WORK/headers")
  BODY=$(cat "$WORK/body")
  if [ "$STATUS" = 200 ] && [ -z "${6:-}" ] &&
    ! grep -q "\"path\": \"${4%%\?*}\", \"request\": \"$id\"" "$WORK/body"; then
    fail "request $id got an answer that is not its own: $BODY"
  fi
}

# Fails unless the last request ended with outcome/reason $1; $2 describes it.
expect_outcome() {
  [ "$OUTCOME/$REASON" = "$1" ] ||
    fail "$2: got $STATUS $OUTCOME/$REASON, expected $1"
}

# Prints how often the backend servers ran the key $1.
count_runs() { cat "$WORK"/history-* 2>/dev/null | grep -c " $1 "; }

# Compares how often the key $1 ran with the outcome $2 that its caller got.
check_key() {
  local runs
  runs=$(count_runs "$1")
  [ "$runs" -le 1 ] || fail "key $1 ran $runs times"
  [ "$2" = "done" ] && [ "$runs" -ne 1 ] && fail "key $1 is done but ran $runs times"
  [ "$2" = "not run" ] && [ "$runs" -ne 0 ] && fail "key $1 was not run but ran $runs times"
  return 0
}

# Prints a UUID of version 7. It carries its creation time, so that guards that
# have just started need not abstain for the whole resend window.
new_key() {
  local now
  now=$(date +%s%3N)
  printf '%08x-%04x-7000-8000-%012x' $((now >> 16)) $((now & 0xffff)) "$REQUEST_COUNT"
}

# Sends a request for paid work, with a new key, through daemon $1 for customer
# $2 to path $3. The outcome is checked at the end of the script. $4 is the name
# under which KEY_OF keeps the key.
declare -A REPORTED KEY_OF
send_paid() {
  KEY_OF[$4]=$(new_key)
  send "$1" "$2" POST "$3" "${KEY_OF[$4]}"
  REPORTED[${KEY_OF[$4]}]="$OUTCOME"
}

echo "== starting platform, 7 daemons in 7 data centres, 24 backend servers"
start_fleet || exit 1
sleep 6 # guards abstain for keys created before their start plus the clock skew

echo "== lookups, bookings and paid work through every daemon"
for i in 1 2 3 4 5 6 7; do
  send "$i" stylist GET "/fittings/$i" && expect_outcome done/ok "lookup at daemon $i"
  send "$i" clerk GET "/courts/$i" && expect_outcome done/ok "court status at daemon $i"
  send_paid "$i" opera /restyle/jobs "restyle-$i" && expect_outcome done/ok "restyle at daemon $i"
  send_paid "$i" clerk /switch-on/court "switch-$i" && expect_outcome done/ok "switch-on at daemon $i"
done

echo "== refusals with their reasons"
send 1 stranger POST /restyle/jobs k1 && expect_outcome "not run/caller-not-allowed" stranger
send 1 court-desk POST /charges && expect_outcome "not run/missing-idempotency-key" "charge without key"
send 1 clerk GET /nowhere && expect_outcome "not run/unknown-route" "unknown route"

echo "== the same key again, through another daemon"
send 5 opera POST /restyle/jobs "${KEY_OF[restyle-1]}" repeat && expect_outcome done/ok "resend"
[ "$(count_runs "${KEY_OF[restyle-1]}")" = 1 ] || fail "the resend ran again"

echo "== court-desk-1 hangs while its health endpoint reports healthy"
curl -s -X POST "http://127.0.0.1:18313/admin/mode?hang=1" >/dev/null
UNANSWERED=0
for n in $(seq 1 60); do
  send $((n % 7 + 1)) clerk GET "/courts/$n"
  [ "$OUTCOME" = "done" ] || UNANSWERED=$((UNANSWERED + 1))
done
echo "   60 lookups while it hung: $UNANSWERED without an answer"
curl -s -X POST "http://127.0.0.1:18313/admin/mode" >/dev/null

echo "== daemon 2 is killed"
kill -9 "${DAEMON_PID[2]}"
for n in $(seq 1 20); do
  send $((n % 2 * 2 + 1)) stylist GET "/fittings/after-$n"
  [ "$OUTCOME" = "done" ] || fail "lookup after the kill: $OUTCOME/$REASON"
  send_paid $((n % 2 * 2 + 1)) opera /restyle/jobs "after-kill-$n"
done

echo "== a changed service file is in force everywhere"
mkdir -p "$WORK/files" && cp "$ROOT"/samples/*.toml "$WORK/files"
sed -i 's/^floor = 4/floor = 3/' "$WORK/files/order-desk.toml"
"$BUILD/bin/vanillafall" bundle "$WORK/files" --out "$WORK/documents"
publish "$WORK/documents"
for i in 1 3 4 5 6 7; do
  wait_for 5 has_manifest "$i" 2 || fail "daemon $i did not load the changed configuration"
done

echo "== outcomes that callers received, compared with what ran"
for key in "${!REPORTED[@]}"; do
  check_key "$key" "${REPORTED[$key]}"
done
printf '   %s\n' "${REPORTED[@]}" | sort | uniq -c

echo "== events of daemon 4, which owns court-desk-1"
"$BUILD/bin/vanillafall" events "$(operator_address 4)" | tail -n 12

if [ "$HOLD" = yes ]; then
  echo "== the fleet keeps running; try these commands, and end with Ctrl-C"
  echo "  curl -i -H 'Vanillafall-Tenant: clerk' http://$(caller_address 1)/courts/1"
  echo "  $BUILD/bin/vanillafall status $(operator_address 1) $(operator_address 4)"
  echo "  $BUILD/bin/vanillafall explain court-desk-1 $(operator_address 4)"
  trap 'exit 0' INT
  while true; do sleep 1; done
fi

if [ "$FAILURES" -ne 0 ]; then
  echo "demo: $FAILURES things went wrong"
  exit 1
fi
echo "demo: nothing was lost, doubled or mixed up"

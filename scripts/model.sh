#!/usr/bin/env bash
# Checks models/keys.pml with Spin: its properties must hold for the model as it
# is, and must fail as soon as one of its rules is removed. Exits with 1 on any
# other result.
set -euo pipefail
source "$(dirname "$0")/lib.sh" spin
install_packages
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

# Explores model $1 with the switches $2... and prints the report of Spin.
check() {
  local model=$1
  shift
  (
    cd "$WORK"
    spin -a "$@" "$ROOT/models/$model" >spin.log
    gcc -O2 -w -DSAFETY -DMEMLIM=2500 -o pan pan.c
    timeout 50 ./pan -m200000
  )
}

expect_holds() {
  check "$@" >"$WORK/report" || true
  if ! grep -q 'errors: 0' "$WORK/report" ||
    grep -qE 'Search not completed|max search depth too small' "$WORK/report"; then
    cat "$WORK/report"
    echo "model: $* does not hold"
    exit 1
  fi
  echo "model: $* holds, $(awk '/states, stored/ {print $1}' "$WORK/report") states"
}

expect_fails() {
  check "$@" >"$WORK/report" || true
  if ! grep -q 'errors: 1' "$WORK/report"; then
    cat "$WORK/report"
    echo "model: $* holds, although a rule was removed"
    exit 1
  fi
  echo "model: $* fails, as it must"
}

expect_holds keys.pml
expect_holds keys.pml -DLATE_VOTES
expect_fails keys.pml -DLATE_VOTES -DNO_RELEASE_MEMORY
for rule in NO_JOINT_RULE RETIRE_AT_ONCE NO_ABSTENTION NO_STALE_REFUSAL \
  MINORITY; do
  expect_fails keys.pml "-D$rule"
done

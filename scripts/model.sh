#!/usr/bin/env bash
# Checks the models of models/ with Spin: each must hold as it is, and must fail
# once one of its rules is taken away. Fails on any other result.
set -euo pipefail
source "$(dirname "$0")/lib.sh" spin
install_packages
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

# Runs one model with the given switches; prints the checker's report.
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
    echo "model: $* holds, though a rule was taken away"
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

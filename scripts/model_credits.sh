#!/usr/bin/env bash
# Checks models/credits.pml with Spin: no state of the model may spend more than
# the allowance or a credit that is too old, and one must be found as soon as
# one mechanism is removed.
set -euo pipefail
source "$(dirname "$0")/lib.sh" spin gcc
install_packages
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
cd "$WORK"

# Explores every state of the model with the given switches and prints the
# result. Fails if the search did not cover all states.
explore() {
  spin -a "$@" "$ROOT/models/credits.pml" >spin.log
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
  ./pan -m2000000 -w25 >pan.log 2>&1
  grep -E "errors:|states, stored" pan.log
  if grep -qE "max search depth too small|out of memory|memory limit" pan.log; then
    echo "the search did not cover all states"
    return 1
  fi
}

echo "as designed:"
explore
grep -q "errors: 0" pan.log
for switch in TAKE_ANY_REPLY COUNT_FROM_REPLY RESTART_FULL RETURN_ANY; do
  echo "with -D$switch, which must fail:"
  explore "-D$switch"
  grep -q "assertion violated" pan.log
done
echo "model: credits stay within the allowance, and each mechanism is needed"

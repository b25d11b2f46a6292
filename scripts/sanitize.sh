#!/usr/bin/env bash
# Builds and runs the unit tests with sanitizers, with one build directory for
# each combination of sanitizers.
#
#   scripts/sanitize.sh [address,undefined|thread]...
#
# Without arguments it runs both combinations. Exit code 0 only if every test
# passed and no sanitizer reported anything. Tests that KNOWN-RED.txt lists are
# skipped, as in test.sh. SANITIZE_JOBS sets the number of parallel jobs.
set -uo pipefail
KINDS=("$@")
[ "$#" -eq 0 ] && KINDS=(address,undefined thread)
set --
source "$(dirname "$0")/lib.sh"
JOBS="${SANITIZE_JOBS:-4}"
export ASAN_OPTIONS=detect_leaks=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export TSAN_OPTIONS=halt_on_error=0:second_deadlock_stack=1
install_packages
KNOWN_FAILURES=$(sed -n '/^[^#]/s/;.*//p' "$ROOT/KNOWN-RED.txt" | paste -sd'|')
CODE=0
for kind in "${KINDS[@]}"; do
  directory="$ROOT/build-${kind//,/-}"
  cmake -S "$ROOT" -B "$directory" -G Ninja -DVF_SANITIZE="$kind" \
    -DCMAKE_CXX_FLAGS=-Wno-error=maybe-uninitialized >/dev/null || exit 1
  mapfile -t targets < <(ninja -C "$directory" -t targets all |
    sed -n 's/^\(.*_test\): CXX_EXECUTABLE_LINKER.*/\1/p')
  ninja -C "$directory" -j "$JOBS" --quiet "${targets[@]}" || exit 1
  # The prove_* tests start real processes from a build without sanitizers.
  ctest --test-dir "$directory" --output-on-failure -j "$JOBS" \
    -E "^(prove_.*${KNOWN_FAILURES:+|$KNOWN_FAILURES})$" || CODE=1
  echo "sanitize: $kind ended with $([ "$CODE" -eq 0 ] && echo no report || echo reports)"
done
exit "$CODE"

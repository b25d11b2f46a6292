#!/usr/bin/env bash
# Checks the formatting of all C++ sources and runs clang-tidy over them.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
PACKAGES+=(clang-format clang-tidy)
install_packages
cd "$ROOT"
mapfile -t SOURCES < <(git ls-files '*.cc' '*.h' ':!packages/*/generated/*')
clang-format --dry-run --Werror "${SOURCES[@]}"
cmake -S . -B "$BUILD" -G Ninja >/dev/null
mapfile -t UNITS < <(git ls-files '*.cc' | grep -v catch_main)
printf '%s\n' "${UNITS[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$BUILD" --quiet 2>/dev/null
echo "lint: ${#SOURCES[@]} files are clean"

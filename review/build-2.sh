#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. They
# need nothing but a C++ compiler. The daemon itself is built by the deploy
# file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
CXX="${CXX:-g++}"
FLAGS=(-std=c++20 -O2 -Wall -Wextra -I. -pthread)
"$CXX" "${FLAGS[@]}" -c review/fleet-2/fleet.cc -o "$OUT/fleet.o"
for source in review/*/scenario.cc; do
  number="$(basename "$(dirname "$source")")"
  "$CXX" "${FLAGS[@]}" "$source" "$OUT/fleet.o" -o "$OUT/case-$number"
done

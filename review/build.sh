#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-g++}" -std=c++20 -O1 -I. "$source" review/standin/world.cc \
    -o "target/review/case_$number" -pthread
done

#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" review/fleet-3/*.cc \
    -o "target/review-3/$(basename "$source" .cc)"
done

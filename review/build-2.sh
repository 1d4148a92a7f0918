#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-g++}" -std=c++20 -O2 -Wall -pthread -o "target/review-2/$name" "$source"
done

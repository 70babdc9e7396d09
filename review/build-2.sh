#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
  name=$(basename "$source" .cc)
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done

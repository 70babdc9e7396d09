#!/bin/bash
# Builds the stand-ins of all cases; needs only g++. The balancer itself comes
# from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
    -o "bin/case-$(dirname "$source")"
done

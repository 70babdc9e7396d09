#!/usr/bin/env bash
# Prints the source folders in order of dependency: each folder before the folders that it includes headers from.
# Exits non-zero if the dependencies form a cycle.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard 'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h' |
  xargs grep -Ho '^#include "[a-z]*/' |
  sed -E 's#^(src/)?([a-z]+)/[^:]*:\#include "([a-z]+)/#\2 \3#' | sort -u | tsort

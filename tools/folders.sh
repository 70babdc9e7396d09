#!/usr/bin/env bash
# Prints the folders of the sources, each before those it uses; exits non-zero if two folders use each other.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard 'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h' |
  xargs grep -Ho '^#include "[a-z]*/' |
  sed -E 's#^(src/)?([a-z]+)/[^:]*:\#include "([a-z]+)/#\2 \3#' | sort -u | tsort

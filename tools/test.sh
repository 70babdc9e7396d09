#!/usr/bin/env bash
# Builds everything, checks format, folder dependencies, the page of commands and lint, and runs all tests.
# Exits non-zero at the first step that fails.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { echo "== $*"; }

step setup
tools/setup.sh
step format
tools/format.sh --check || { echo "test: run tools/format.sh" >&2; exit 1; }
step folders
tools/folders.sh >/dev/null || { echo "test: two folders use each other" >&2; exit 1; }
step build
cmake --preset release >/dev/null
cmake --build --preset release
step commands
tools/commands.sh | diff - docs/COMMANDS.md || { echo "test: run tools/commands.sh > docs/COMMANDS.md" >&2; exit 1; }
step lint
git ls-files 'src/*.cc' 'platform/*.cc' | grep -v '^src/control/' | xargs -P "$(nproc)" -n 2 clang-tidy -p build/release --quiet 2>build/lint.log ||
  { echo "test: clang-tidy found something" >&2; exit 1; }
step tests
ctest --preset release --output-on-failure
if [ -f KNOWN-RED.txt ]; then
  step "known red, not in this run"
  cat KNOWN-RED.txt
fi
